package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
)

const (
	// entryMemory is for how long an entry node counts that no longer asks.
	entryMemory = 5 * time.Second
)

// handle sets the handlers for the other nodes' requests.
func (c *Controller) handle(mux *peer.Mux) {
	mux.Handle(nodelink.Watch, typed(c.serveWatch))
	mux.Handle(nodelink.Demand, typed(c.serveDemand))
	mux.Handle(nodelink.Join, typed(c.serveJoin))
	mux.Handle(nodelink.Announce, typed(func(ctx context.Context, _ string, r nodelink.AnnounceRequest) (any, error) {
		return c.announce(ctx, r)
	}))
	mux.Handle(nodelink.Configure, typed(func(ctx context.Context, _ string, r confstate.Configure) (any, error) {
		result, err := c.configure(ctx, r)
		return nodelink.ConfigureAnswer{Result: result}, err
	}))
	mux.Handle(nodelink.Read, typed(func(ctx context.Context, _ string, _ struct{}) (any, error) {
		index, err := c.rep.ReadBarrier(ctx)
		if err != nil {
			return nil, c.refusal(err)
		}
		return nodelink.ReadAnswer{Index: index}, nil
	}))
}

// typed decodes a request for its handler.
func typed[T any](fn func(ctx context.Context, from string, request T) (any, error)) peer.HandlerFunc {
	return func(ctx context.Context, from string, params json.RawMessage) (any, error) {
		var request T
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, errors.Wrap(err, "decode request")
		}
		return fn(ctx, from, request)
	}
}

// leads returns an error that names the leader unless this node may act as it.
func (c *Controller) leads() error {
	if c.rep.LeaseValid() {
		return nil
	}
	return c.notLeader()
}

func (c *Controller) notLeader() error {
	leader := c.leader()
	if leader == c.cfg.Listen.Links {
		// It leads, but cannot prove it at this moment.
		return peer.Errorf(nodelink.CodeUnavailable, "leadership is not confirmed")
	}
	return peer.Errorf(nodelink.CodeNotLeader, "%s", leader)
}

// refusal converts an error of the replica for another node.
func (c *Controller) refusal(err error) error {
	if c.rep.LeaseValid() {
		return peer.Errorf(nodelink.CodeUnavailable, "%s", err.Error())
	}
	return c.notLeader()
}

// serveWatch answers with what the asking node does not know, or waits for it.
func (c *Controller) serveWatch(ctx context.Context, from string, r nodelink.WatchRequest) (any, error) {
	end := time.NewTimer(time.Duration(r.WaitMillis) * time.Millisecond)
	defer end.Stop()
	for {
		next := c.news.next()
		if err := c.leads(); err != nil {
			return nil, err
		}
		answer, fresh, err := c.watch(ctx, from, r)
		if err != nil || fresh {
			return answer, err
		}
		select {
		case <-next:
		case <-end.C:
			return answer, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// watch collects the news for a node and reports whether there are any.
func (c *Controller) watch(ctx context.Context, from string, r nodelink.WatchRequest) (answer nodelink.WatchAnswer, fresh bool, err error) {
	if v := c.store.view.Load(); r.Entry && v != nil && v.configure.Version > r.Version {
		// A configuration does not wait for the loop, which may be busy with upstreams.
		// Control nodes have it from the log.
		return nodelink.WatchAnswer{Term: r.Term, Revision: r.Revision, Configuration: &v.configure}, true, nil
	}
	leading := false
	var news *newsList
	doErr := c.loop.Do(ctx, func() {
		if leading = c.term != 0; !leading {
			return
		}
		if r.Entry {
			c.entries[from] = boottime.Now()
		}
		answer.Term, answer.Revision = c.term, c.lists.revision
		since := r.Revision
		if answer.Whole = r.Term != c.term; answer.Whole {
			since = 0
		}
		news = c.lists.since(c.registry, newsKey{since, r.Entry})
		answer.Entries = len(c.entries)
	})
	if doErr != nil {
		return answer, false, doErr
	}
	if !leading {
		return answer, false, c.notLeader()
	}
	fresh = answer.Whole || len(news.upstreams) > 0
	if answer.Upstreams, err = news.encode(); err != nil {
		return answer, false, err
	}
	for _, m := range c.store.memberList() {
		answer.Members = append(answer.Members, m.Link)
	}
	return answer, fresh, nil
}

// serveDemand takes an entry node's report.
func (c *Controller) serveDemand(ctx context.Context, from string, r nodelink.DemandRequest) (any, error) {
	if err := c.leads(); err != nil {
		return nil, err
	}
	var answer nodelink.DemandAnswer
	err := c.loop.Do(ctx, func() {
		if c.planner == nil {
			return
		}
		now := boottime.Now()
		c.planner.SetDemand(from, r.Report, now)
		c.plan(now)
		known := r.Loads
		if answer.Whole = r.Term != c.term; answer.Whole {
			known = 0
		}
		answer.Term = c.term
		answer.Running, answer.Loads = c.planner.Running(known)
		asked := map[nodelink.Forecast]bool{}
		for _, w := range r.Report.Waiting {
			f := nodelink.Forecast{Service: w.Service, Model: w.Model}
			if asked[f] {
				continue
			}
			asked[f] = true
			if in, ok := c.planner.Forecast(w.Service, w.Model, now); ok {
				f.In = in
				answer.Forecasts = append(answer.Forecasts, f)
			}
		}
	})
	return answer, err
}

// announce takes what an upstream says of itself. It is acknowledged only where
// this node leads, so that all entry nodes in touch hear of it.
func (c *Controller) announce(ctx context.Context, r nodelink.AnnounceRequest) (nodelink.AnnounceAnswer, error) {
	answer := nodelink.AnnounceAnswer{Operators: c.cfg.Listen.Operators}
	if err := c.leads(); err != nil {
		return answer, err
	}
	leading := false
	err := c.loop.Do(ctx, func() {
		if leading = c.term != 0; leading {
			c.take(r, boottime.Now())
		}
	})
	if err == nil && !leading {
		err = c.notLeader()
	}
	return answer, err
}

// take puts an announcement into the registry and the planner.
func (c *Controller) take(r nodelink.AnnounceRequest, now time.Duration) {
	before := c.registry.Revision()
	u := r.Upstream
	if r.Leave {
		outcome := c.registry.Leave(u.ID, u.Born, now)
		c.metrics.Count("departure: " + outcome.String())
		c.log.Event("upstream left", eventlog.Fields{"upstream": u.ID, "born": u.Born, "outcome": outcome.String()})
	} else {
		c.takeState(u, now)
	}
	c.dropEnded(before)
	if c.registry.Revision() != before {
		c.news.wake()
	}
}

// dropEnded has the planner forget the upstreams that have ended since a revision of
// the registry: those that left, fell silent, or whose address another one has.
func (c *Controller) dropEnded(since uint64) {
	for _, u := range c.registry.Since(since) {
		if u.Gone {
			c.planner.Remove(u.ID)
		}
	}
}

func (c *Controller) takeState(u fleet.Upstream, now time.Duration) {
	known, ok := c.registry.Get(u.ID)
	if ok {
		u.Closing = known.Closing
	}
	outcome := c.registry.Announce(u, now)
	c.metrics.Count("announcement: " + outcome.String())
	if outcome != fleet.Taken {
		c.log.Event("announcement dropped", eventlog.Fields{"upstream": u.ID, "born": u.Born, "seq": u.Seq})
		return
	}
	c.planner.SetUpstream(u, now)
	c.show(now)
	if !ok || known.Leaving != u.Leaving || known.Born != u.Born {
		c.log.Event("upstream changed", eventlog.Fields{
			"upstream": u.ID, "born": u.Born, "seq": u.Seq, "service": u.Service, "addr": u.Addr,
			"leaving": u.Leaving, "residents": modelNames(u.Residents),
		})
	}
}

func modelNames(residents []fleet.Resident) []string {
	names := make([]string, len(residents))
	for i, r := range residents {
		names[i] = r.Model
	}
	return names
}

// show puts what the planner knows of upstreams into the registry.
func (c *Controller) show(now time.Duration) {
	for _, id := range c.planner.Changed() {
		if residents, closing, ok := c.planner.View(id, now); ok {
			c.registry.SetResidents(id, residents, closing)
		}
	}
}

// serveJoin answers a control node that wants to be a member.
func (c *Controller) serveJoin(ctx context.Context, _ string, r nodelink.JoinRequest) (any, error) {
	if err := c.leads(); err != nil {
		return nil, err
	}
	members := c.store.members()
	known, ok := members[r.Member.ID]
	if !ok && !r.Fresh {
		c.log.Event("retired member came back", eventlog.Fields{"member": r.Member.ID, "node": r.Member.Node})
		return nodelink.JoinAnswer{Members: c.store.memberList(), Retired: true}, nil
	}
	if !ok || known != r.Member {
		if _, err := c.propose(ctx, confstate.Command{Join: &r.Member}); err != nil {
			return nil, c.refusal(err)
		}
		c.log.Event("member joined", eventlog.Fields{"member": r.Member.ID, "node": r.Member.Node, "link": r.Member.Link})
	}
	return nodelink.JoinAnswer{Members: c.store.memberList()}, nil
}

// propose puts a command into the log.
func (c *Controller) propose(ctx context.Context, command confstate.Command) (applied, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return applied{}, errors.Wrap(err, "encode command")
	}
	result, err := c.rep.Propose(ctx, data)
	if err != nil {
		return applied{}, err
	}
	return result.(applied), nil
}

// configure decides a configuration and waits until it is on enough disks.
func (c *Controller) configure(ctx context.Context, r confstate.Configure) (confstate.Result, error) {
	a, err := c.propose(ctx, confstate.Command{Configure: &r})
	if err != nil {
		return 0, c.refusal(err)
	}
	if err := c.durable(ctx, a.index); err != nil {
		return 0, err
	}
	return a.result, nil
}

// durablePoll is how often the members' progress is looked at; about a sync.
const durablePoll = time.Millisecond

// durable waits until an entry is on one disk more than may be lost. A majority
// has it already; that is too few while the group is still small.
func (c *Controller) durable(ctx context.Context, index uint64) error {
	for {
		status := c.rep.Status()
		copies := 0
		for _, match := range status.Match {
			if match >= index {
				copies++
			}
		}
		if copies > c.cfg.Losses {
			return nil
		}
		select {
		case <-time.After(durablePoll):
		case <-ctx.Done():
			return peer.Errorf(nodelink.CodeUnavailable, "entry %d is on %d disks", index, copies)
		}
	}
}

// keepEntries forgets the entry nodes that no longer ask.
func (c *Controller) keepEntries(now time.Duration) {
	for name, at := range c.entries {
		if now-at > entryMemory {
			delete(c.entries, name)
		}
	}
	c.news.setFollowers(len(c.entries))
}
