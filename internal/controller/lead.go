package controller

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/origin"
	"github.com/agateslip/agateslip/raft"
	"github.com/agateslip/agateslip/ratelimit"
	"github.com/agateslip/agateslip/residency"
)

const (
	// planInterval is the interval of planning when no event triggers it.
	planInterval = 50 * time.Millisecond
	// minPlanPause is the minimum time between two planning rounds, so that reports which
	// arrive together are planned for together.
	minPlanPause = 4 * time.Millisecond
	// planPauseFactor is the ratio of the pause after a planning round to the duration of
	// the round. It leaves most of the loop's time to watch requests and announcements at
	// any deployment size.
	planPauseFactor = 4
	// orderTimeout bounds an order or a report query. A healthy engine answers at once.
	orderTimeout = 700 * time.Millisecond
	// claimTimeout bounds the proposal that makes this node the orderer.
	claimTimeout = 2 * time.Second
)

// lead checks leadership at every change of role, term or leader and at every
// planInterval, and performs the leader's duties while this node leads.
func (c *Controller) lead(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		_, changed := c.raftReplica.WatchStatus()
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

// tick begins or ends a term of leadership as the Raft status demands. A term begins once the log of
// earlier leaders is applied. While this node leads, it expires silent upstreams and plans.
func (c *Controller) tick(ctx context.Context, now time.Duration) {
	status, leads := c.raftReplica.CurrentStatus()
	if !leads {
		if c.term != 0 && status.Role != raft.Leader {
			c.stepDown(status)
		}
		return
	}
	if c.term != status.Term {
		if !c.stateMachine.hasAppliedTerm(status.Term) {
			// What earlier leaders put in the log, such as evidence, is not known yet.
			if c.term != 0 {
				c.stepDown(status)
			}
			return
		}
		c.beginTerm(status.Term, now)
	}
	if c.fence == 0 && !c.claimPending {
		c.claimOrderer(ctx)
	}
	before := c.registry.Revision()
	for _, id := range c.registry.Expire(now) {
		c.metrics.Count("upstream fell silent")
		c.log.Event("upstream fell silent", eventlog.Fields{"upstream": id})
	}
	c.applyDepartures(now)
	c.removeGoneUpstreams(before)
	c.expireEntryNodes(now)
	c.reviewBrittle(now)
	c.reviewQuarantine(ctx, now)
	c.reviewOrigins(ctx, now)
	c.plan(now)
	if c.registry.Revision() != before {
		c.notifier.notify()
	}
}

// beginTerm starts a term of leadership. The new registry and planner start from the copy
// of the previous leader's registry.
func (c *Controller) beginTerm(term uint64, now time.Duration) {
	upstreams := c.registry.Since(0)
	c.registry = fleet.NewRegistry(fleet.Timeouts{
		Silence: maxMissedHeartbeats * time.Duration(c.cfg.Heartbeat), Tombstone: tombstoneTTL,
	})
	c.registry.Merge(upstreams, now)
	c.changes.beginRound(c.registry.Revision())
	limits := residency.DefaultLimits()
	limits.MaxStoreLoads, limits.MaxAdapterLoads = c.cfg.Store.Width, min(c.cfg.Store.AdapterWidth, limits.MaxAdapterLoads)
	c.planner = residency.New(limits)
	c.departuresUntil = 0
	c.applyDepartures(now)
	c.quarantine = newQuarantineWatch(c.stateMachine.evidence(), now)
	c.permits, c.slots = ratelimit.NewAllocator(), ratelimit.NewSlots(now)
	c.quotas = quotaWatch{shares: ratelimit.NewQuotas(term, now)}
	c.brittleRevision = 0
	c.origins, c.proposingOrigins = origin.NewTracker(now), false
	c.plannedVersion, c.loggedWidths = 0, map[string]int{}
	for _, u := range c.registry.Live() {
		c.planner.SetUpstream(u, now)
	}
	c.term, c.ledSince, c.leaseWaitStart, c.fence = term, now, now, 0
	c.metrics.Count("terms led")
	c.log.Event("leading", eventlog.Fields{"term": term, "upstreams": len(upstreams)})
	c.notifier.notify()
}

// stepDown ends the term of leadership.
func (c *Controller) stepDown(status raft.Status) {
	c.log.Event("no longer leading", eventlog.Fields{"term": c.term, "now": status.Term, "leader": status.Leader})
	c.term, c.fence = 0, 0
	c.planner, c.permits, c.slots, c.origins = nil, nil, nil, nil
	c.quotas = quotaWatch{}
	c.notifier.notify()
}

// claimOrderer proposes this node as the one that sends orders to engines. Orders of
// another, previous orderer may still be in flight, so this node sends none before the
// order lease has passed.
func (c *Controller) claimOrderer(ctx context.Context) {
	c.claimPending = true
	term := c.term
	go func() {
		claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		previous, err := c.previousOrderer(claimCtx)
		if err == nil {
			err = c.loop.Do(claimCtx, func() {
				if c.term == term {
					c.waitForOrderLease(ctx, previous)
				}
			})
		}
		if err == nil {
			_, err = c.propose(claimCtx, confstate.Command{SetOrderer: &c.cfg.Node})
		}
		c.loop.Post(func() {
			c.claimPending = false
			if err != nil {
				c.log.Event("orders not claimed", eventlog.Fields{"term": term, "error": err.Error()})
				return
			}
			orderer := c.stateMachine.orderer()
			if c.term != term || orderer.Node != c.cfg.Node {
				return
			}
			c.fence, c.lastFence = orderer.Fence, orderer.Fence
			c.log.Event("sending orders", eventlog.Fields{
				"term": term, "fence": c.fence, "before": previous.Node, "waitMillis": max(0, c.ordersAllowedAt-boottime.Now()).Milliseconds(),
			})
		})
	}()
}

// previousOrderer returns the orderer that the replicated state names. A new leader may not
// have applied the log up to that name yet, so it is read after a barrier.
func (c *Controller) previousOrderer(ctx context.Context) (confstate.Orderer, error) {
	if _, err := c.raftReplica.ReadBarrier(ctx); err != nil {
		return confstate.Orderer{}, err
	}
	return c.stateMachine.orderer(), nil
}

// waitForOrderLease lets this node send no orders until the order lease of the previous
// orderer has passed, unless that is this process. A process that has restarted does not
// know how long its predecessor still had to wait, so it waits as for another node.
func (c *Controller) waitForOrderLease(ctx context.Context, previous confstate.Orderer) {
	if previous.Node != "" && previous.Fence != c.lastFence {
		c.ordersAllowedAt = max(c.ordersAllowedAt, c.leaseWaitStart+time.Duration(c.cfg.OrderLease))
	}
	if c.ordersAllowedAt > boottime.Now() {
		go c.shortenOrderWait(ctx, c.term, c.ordersAllowedAt)
	}
}

// plan runs a planning round, unless it is too early for one, and starts the resulting
// steps.
func (c *Controller) plan(now time.Duration) {
	if c.planner == nil {
		return
	}
	if v := c.stateMachine.decoded.Load(); v != nil && v.version != c.plannedVersion {
		c.plannedVersion = v.version
		c.planner.SetServices(v.conf.Services)
		c.log.Event("configuration planned", eventlog.Fields{
			"version": v.version, "streamSeconds": c.origins.Cover(v.conf.LongestStream()).Seconds(),
		})
	}
	if c.fence == 0 || now < c.ordersAllowedAt {
		return
	}
	if now < c.nextPlanAt {
		c.schedulePlan(c.nextPlanAt-now, &c.planTimer)
		return
	}
	defer func() {
		ended := boottime.Now()
		c.metrics.Observe("planning", ended-now)
		c.nextPlanAt = ended + max(minPlanPause, planPauseFactor*(ended-now))
	}()
	before := c.registry.Revision()
	for _, step := range c.planner.Plan(now) {
		if step.Order != nil {
			c.ordersInFlight++
		}
		go c.executeStep(step, c.term, c.fence)
	}
	c.publishResidents(now)
	if at, ok := c.planner.NextAdapterUsable(); ok {
		c.schedulePlan(max(0, at-now), &c.adapterTimer)
	}
	c.logStoreWidths()
	c.logBusiestModels(now)
	if c.registry.Revision() != before {
		c.notifier.notify()
	}
}

// logStoreWidths logs the limits of parallel loads from the weight stores that the
// planner has changed.
func (c *Controller) logStoreWidths() {
	for service, width := range c.planner.StoreLoadLimits() {
		if before := c.loggedWidths[service]; before != width {
			c.loggedWidths[service] = width
			c.log.Event("store width learned", eventlog.Fields{"service": service, "before": before, "width": width})
		}
	}
}

const (
	// busiestModelsInterval is the interval of the log lines on the busiest models, and
	// busiestModels their number.
	busiestModelsInterval = 5 * time.Second
	busiestModels         = 12
)

// logBusiestModels logs, now and then, what the planner believes of the busiest models.
func (c *Controller) logBusiestModels(now time.Duration) {
	if now < c.busiestModelsAt {
		return
	}
	c.busiestModelsAt = now + busiestModelsInterval
	c.log.Event("busiest models", eventlog.Fields{"models": c.planner.BusiestModels(busiestModels, now)})
}

// schedulePlan runs a planning round after a pause, unless the given timer is pending.
func (c *Controller) schedulePlan(delay time.Duration, pending *bool) {
	if *pending {
		return
	}
	*pending = true
	time.AfterFunc(delay, func() {
		c.loop.Post(func() {
			*pending = false
			c.plan(boottime.Now())
		})
	})
}

// executeStep sends an order or a report query to an engine and passes the answer to the
// planner, if that is still the planner of the same term. Without a valid leader lease it
// sends nothing.
func (c *Controller) executeStep(step residency.Step, term, fence uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	u := step.Upstream
	if step.Order != nil {
		defer c.loop.Post(func() {
			c.ordersInFlight--
			c.lastOrderAt = boottime.Now()
		})
	}
	if !c.raftReplica.LeaseValid() {
		c.postToPlanner(term, func(p *residency.Planner, now time.Duration) {
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
		c.postToPlanner(term, func(p *residency.Planner, now time.Duration) {
			if p.Reported(u.ID, u.Born, report, now) {
				c.metrics.Count("order miscounted")
				c.log.Event("order miscounted", eventlog.Fields{"upstream": u.ID, "accepted": report.Accepted})
			}
		})
		return
	}
	o := *step.Order
	sent := time.Now()
	answer, from := c.orders.Order(ctx, u, o, c.cfg.Node, fence)
	c.metrics.Observe("order", time.Since(sent))
	c.metrics.Count("order: " + answer.String())
	c.log.Event("order sent", eventlog.Fields{
		"upstream": u.ID, "load": o.Load, "model": o.Model, "adapter": o.Adapter,
		"accepted": o.Accepted, "fence": fence, "answer": answer.String(),
		"conn": from.Conn, "connCalls": from.Calls, "named": from.Named, "disturbed": from.Disturbed,
	})
	if answer == residency.Fenced {
		// Another node was the last to send orders. Claim the role again. If the
		// replicated state names another orderer by then, the wait for its order lease
		// starts from now.
		c.loop.Post(func() {
			if c.fence == fence {
				c.fence = 0
				c.leaseWaitStart = boottime.Now()
			}
		})
	}
	c.postToPlanner(term, func(p *residency.Planner, now time.Duration) { p.Answered(u.ID, u.Born, answer, now) })
}

// postToPlanner runs fn on the loop with the planner and then plans, if this node still
// leads in the term.
func (c *Controller) postToPlanner(term uint64, fn func(p *residency.Planner, now time.Duration)) {
	c.loop.Post(func() {
		if c.term != term || c.planner == nil {
			return
		}
		now := boottime.Now()
		fn(c.planner, now)
		c.plan(now)
	})
}
