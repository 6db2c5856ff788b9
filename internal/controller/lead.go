package controller

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/raft"
	"github.com/agateslip/agateslip/residency"
)

const (
	// planInterval is the cadence of planning without events.
	planInterval = 50 * time.Millisecond
	// planPause is the least time between two rounds of planning, so that reports
	// that come together are weighed together.
	planPause = 4 * time.Millisecond
	// planShare is how many times as long as a round of planning took the next one
	// waits, so that news and announcements have most of the loop's time at any size.
	planShare = 4
	// orderTime bounds an order; its answer comes at once from a sound engine.
	orderTime = 700 * time.Millisecond
	// claimTime bounds the claim of the right to send orders.
	claimTime = 2 * time.Second
)

// lead runs the leader's duties while this node leads.
func (c *Controller) lead(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		_, changed := c.rep.Changed()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
		if err := c.loop.Do(ctx, func() { c.tick(ctx, boottime.Now()) }); err != nil {
			return err
		}
	}
}

// tick takes up or lays down the lead, and plans.
func (c *Controller) tick(ctx context.Context, now time.Duration) {
	status, leads := c.rep.Observe()
	if !leads {
		if c.term != 0 && status.Role != raft.Leader {
			c.resign(status)
		}
		return
	}
	if c.term != status.Term {
		c.assume(status.Term, now)
	}
	if c.fence == 0 && !c.claiming {
		c.claim(ctx, now)
	}
	before := c.registry.Revision()
	for _, id := range c.registry.Expire(now) {
		c.metrics.Count("upstream fell silent")
		c.log.Event("upstream fell silent", eventlog.Fields{"upstream": id})
	}
	c.dropEnded(before)
	c.keepEntries(now)
	c.plan(now)
	if c.registry.Revision() != before {
		c.news.wake()
	}
}

// assume begins a term with what this node heard from the leader before.
func (c *Controller) assume(term uint64, now time.Duration) {
	known := c.registry.Since(0)
	c.registry = fleet.NewRegistry(fleet.Timeouts{
		Silence: silentHeartbeats * time.Duration(c.cfg.Heartbeat), Tombstone: tombstone,
	})
	c.registry.Merge(known, now)
	c.lists.begin(c.registry.Revision())
	limits := residency.DefaultLimits()
	limits.MaxStoreLoads, limits.MaxAdapterLoads = c.cfg.Store.Width, min(c.cfg.Store.AdapterWidth, limits.MaxAdapterLoads)
	c.planner = residency.New(limits)
	c.planned, c.widths = 0, map[string]int{}
	for _, u := range c.registry.Live() {
		c.planner.SetUpstream(u, now)
	}
	c.term, c.led, c.fence, c.ordering = term, now, 0, 0
	c.metrics.Count("terms led")
	c.log.Event("leading", eventlog.Fields{"term": term, "upstreams": len(known)})
	c.news.wake()
}

func (c *Controller) resign(status raft.Status) {
	c.log.Event("no longer leading", eventlog.Fields{"term": c.term, "now": status.Term, "leader": status.Leader})
	c.term, c.fence = 0, 0
	c.planner = nil
	c.news.wake()
}

// claim makes this node the one that sends orders. The last one's orders may
// still be on their way, so it waits for its lease first.
func (c *Controller) claim(ctx context.Context, now time.Duration) {
	last := c.store.orderer()
	c.claiming = true
	term := c.term
	if last.Node != "" && last.Node != c.cfg.Node {
		c.ordering = c.led + time.Duration(c.cfg.OrderLease)
	} else {
		c.ordering = now
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, claimTime)
		defer cancel()
		_, err := c.propose(ctx, confstate.Command{SetOrderer: &c.cfg.Node})
		c.loop.Post(func() {
			c.claiming = false
			holder := c.store.orderer()
			if err != nil || c.term != term || holder.Node != c.cfg.Node {
				return
			}
			c.fence = holder.Fence
			c.log.Event("sending orders", eventlog.Fields{
				"term": term, "fence": c.fence, "before": last.Node, "waitMillis": max(0, c.ordering-boottime.Now()).Milliseconds(),
			})
		})
	}()
}

// plan sends what the planner wants sent.
func (c *Controller) plan(now time.Duration) {
	if c.planner == nil {
		return
	}
	if v := c.store.view.Load(); v != nil && v.configure.Version != c.planned {
		c.planned = v.configure.Version
		c.planner.SetServices(v.conf.Services)
	}
	if c.fence == 0 || now < c.ordering {
		return
	}
	if now < c.planAgain {
		c.planLater(c.planAgain - now)
		return
	}
	defer func() {
		ended := boottime.Now()
		c.metrics.Observe("planning", ended-now)
		c.planAgain = ended + max(planPause, planShare*(ended-now))
	}()
	before := c.registry.Revision()
	for _, step := range c.planner.Plan(now) {
		go c.carryOut(step, c.term, c.fence)
	}
	c.show(now)
	c.noteWidths()
	if c.registry.Revision() != before {
		c.news.wake()
	}
}

// noteWidths logs what the planner has learned of the weight stores.
func (c *Controller) noteWidths() {
	for service, width := range c.planner.StoreLoadLimits() {
		if before := c.widths[service]; before != width {
			c.widths[service] = width
			c.log.Event("store width learned", eventlog.Fields{"service": service, "before": before, "width": width})
		}
	}
}

// planLater plans after a pause.
func (c *Controller) planLater(pause time.Duration) {
	if c.planWaits {
		return
	}
	c.planWaits = true
	time.AfterFunc(pause, func() {
		c.loop.Post(func() {
			c.planWaits = false
			c.plan(boottime.Now())
		})
	})
}

// carryOut sends one order or question and hands the answer to the planner of
// the same term.
func (c *Controller) carryOut(step residency.Step, term, fence uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	u := step.Upstream
	if !c.rep.LeaseValid() {
		c.answered(term, func(p *residency.Planner, now time.Duration) {
			if step.Report {
				p.Reported(u.ID, u.Born, nil, now)
				return
			}
			p.Answered(u.ID, u.Born, residency.Refused, now)
		})
		return
	}
	if step.Report {
		report, err := c.orders.Report(ctx, u)
		c.metrics.Count("engine asked")
		fields := eventlog.Fields{"upstream": u.ID, "addr": u.Addr}
		if err != nil {
			fields["error"] = err.Error()
		} else {
			fields["accepted"], fields["busy"] = report.Accepted, report.Busy
		}
		c.log.Event("engine asked", fields)
		c.answered(term, func(p *residency.Planner, now time.Duration) { p.Reported(u.ID, u.Born, report, now) })
		return
	}
	o := *step.Order
	sent := time.Now()
	answer := c.orders.Order(ctx, u, o, c.cfg.Node, fence)
	c.metrics.Observe("order", time.Since(sent))
	c.metrics.Count("order: " + answer.String())
	c.log.Event("order sent", eventlog.Fields{
		"upstream": u.ID, "load": o.Load, "model": o.Model, "adapter": o.Adapter,
		"accepted": o.Accepted, "fence": fence, "answer": answer.String(),
	})
	if answer == residency.Fenced {
		// Another node was the last to send orders; this one claims anew.
		c.loop.Post(func() {
			if c.fence == fence {
				c.fence = 0
				c.led = boottime.Now()
			}
		})
	}
	c.answered(term, func(p *residency.Planner, now time.Duration) { p.Answered(u.ID, u.Born, answer, now) })
}

// answered runs fn with the planner if it is still that of the term.
func (c *Controller) answered(term uint64, fn func(p *residency.Planner, now time.Duration)) {
	c.loop.Post(func() {
		if c.term != term || c.planner == nil {
			return
		}
		now := boottime.Now()
		fn(c.planner, now)
		c.plan(now)
	})
}
