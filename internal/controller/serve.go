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
	"github.com/agateslip/agateslip/internal/replica"
)

const (
	// entryNodeTTL is how long an entry node counts as watching after its latest watch
	// request.
	entryNodeTTL = 5 * time.Second
	// entryNodeSurvey is how long after the beginning of a term some entry nodes may not have found the new
	// leader. A node tries all control nodes within that time.
	entryNodeSurvey = 3 * time.Second
)

// registerHandlers registers the handlers of requests from other nodes.
func (c *Controller) registerHandlers(mux *peer.Mux) {
	mux.Handle(nodelink.Watch, typedHandler(c.serveWatch))
	mux.Handle(nodelink.Demand, typedHandler(c.serveDemand))
	mux.Handle(nodelink.Quotas, typedHandler(c.serveQuotas))
	mux.Handle(nodelink.RecordStreams, typedHandler(c.serveRecordStreams))
	mux.Handle(nodelink.FindStream, typedHandler(c.serveFindStream))
	mux.Handle(nodelink.ConfirmUpstream, typedHandler(c.serveConfirmUpstream))
	mux.Handle(nodelink.LastOrder, typedHandler(c.serveLastOrder))
	mux.Handle(nodelink.Join, typedHandler(c.serveJoin))
	mux.Handle(nodelink.Announce, typedHandler(func(ctx context.Context, _ string, r nodelink.AnnounceRequest) (any, error) {
		return c.announceAsLeader(ctx, r)
	}))
	mux.Handle(nodelink.Configure, typedHandler(func(ctx context.Context, _ string, r confstate.Configure) (any, error) {
		result, err := c.configureAsLeader(ctx, r)
		return nodelink.ConfigureAnswer{Result: result}, err
	}))
	mux.Handle(nodelink.Read, typedHandler(func(ctx context.Context, _ string, _ struct{}) (any, error) {
		index, err := c.raftReplica.ReadBarrier(ctx)
		if err != nil {
			return nil, c.peerError(err)
		}
		return nodelink.ReadAnswer{Index: index}, nil
	}))
}

// typedHandler wraps fn in a handler that decodes the request from JSON.
func typedHandler[T any](fn func(ctx context.Context, from string, request T) (any, error)) peer.HandlerFunc {
	return func(ctx context.Context, from string, params json.RawMessage) (any, error) {
		var request T
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, errors.Wrap(err, "decode request")
		}
		return fn(ctx, from, request)
	}
}

// requireLeader returns nil while this node holds a valid leader lease, and otherwise the
// error of notLeaderError.
func (c *Controller) requireLeader() error {
	if c.raftReplica.LeaseValid() {
		return nil
	}
	return c.notLeaderError()
}

// currentVersion returns the version of a configuration that covers every change which was acknowledged before the
// call. It is zero while this node has not yet applied all that earlier leaders acknowledged. It returns an error as
// requireLeader does.
func (c *Controller) currentVersion() (uint64, error) {
	status, leads := c.raftReplica.CurrentStatus()
	if !leads {
		return 0, c.notLeaderError()
	}
	return c.stateMachine.versionThrough(status.Term), nil
}

// notLeaderError returns the error for requests that only the leader may answer. It names
// the leader if that is another node.
func (c *Controller) notLeaderError() error {
	leader := c.leader()
	if leader == c.cfg.Listen.Links {
		// This node leads, but its leader lease is not valid at the moment.
		return peer.Errorf(nodelink.CodeUnavailable, "leadership is not confirmed")
	}
	return peer.Errorf(nodelink.CodeNotLeader, "%s", leader)
}

// peerError converts an error of the replica to one that a calling node can interpret.
func (c *Controller) peerError(err error) error {
	if c.raftReplica.LeaseValid() {
		return peer.Errorf(nodelink.CodeUnavailable, "%s", err.Error())
	}
	return c.notLeaderError()
}

// serveWatch answers a watch request with the changes that the caller lacks. If there are
// none, it waits for some, for at most the time in the request.
func (c *Controller) serveWatch(ctx context.Context, from string, r nodelink.WatchRequest) (any, error) {
	end := time.NewTimer(time.Duration(r.WaitMillis) * time.Millisecond)
	defer end.Stop()
	for {
		next := c.notifier.nextRound()
		current, err := c.currentVersion()
		if err != nil {
			return nil, err
		}
		answer, changed, err := c.collectChanges(ctx, from, r)
		answer.Current = current
		if err != nil || changed {
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

// collectChanges returns the answer to a watch request and reports whether it contains
// changes.
func (c *Controller) collectChanges(ctx context.Context, from string, r nodelink.WatchRequest) (answer nodelink.WatchAnswer, changed bool, err error) {
	if v := c.stateMachine.active.Load(); r.Entry && v != nil && v.Version > r.Version {
		// Send the configuration without waiting for the loop, which may be busy with
		// upstreams. Control nodes receive the configuration through the log.
		return nodelink.WatchAnswer{Term: r.Term, Revision: r.Revision, Configuration: v}, true, nil
	}
	leading := false
	var list *changeList
	doErr := c.loop.Do(ctx, func() {
		if leading = c.term != 0; !leading {
			return
		}
		answer.Term, answer.Revision = c.term, c.changes.revision
		since := r.Revision
		if answer.Whole = r.Term != c.term; answer.Whole {
			since = 0
		}
		if r.Entry {
			c.noteEntryNode(from, r.Detours)
			if r.DetoursRevision != c.detoursRevision || answer.Whole {
				answer.Detours, answer.DetoursRevision = c.detoursFor(from), c.detoursRevision
			}
			answer.Quarantine = c.quarantineSince(r.QuarantineRevision, answer.Whole)
			answer.Bases = c.baseVersions()
			brittle, revision := c.slots.Services(boottime.Now())
			answer.Brittle, answer.BrittleRevision = &brittle, revision
		}
		list = c.changes.changedSince(c.registry, changeKey{since, r.Entry})
		answer.Entries = c.countEntryNodes(r.Term == 0, boottime.Now())
	})
	if doErr != nil {
		return answer, false, doErr
	}
	if !leading {
		return answer, false, c.notLeaderError()
	}
	changed = len(list.upstreams) > 0 || tellsNews(&answer, &r)
	if answer.Upstreams, err = list.encode(); err != nil {
		return answer, false, err
	}
	for _, m := range c.stateMachine.memberList() {
		answer.Members = append(answer.Members, m.Link)
	}
	return answer, changed, nil
}

// tellsNews reports whether an answer tells a node at once what it does not know, apart from upstreams.
func tellsNews(answer *nodelink.WatchAnswer, r *nodelink.WatchRequest) bool {
	return answer.Whole || answer.Quarantine != nil || answer.BrittleRevision != r.BrittleRevision
}

// serveDemand passes an entry node's report to the planner and answers with the running
// calls of the engines and forecasts for the models that calls wait for.
func (c *Controller) serveDemand(ctx context.Context, from string, r nodelink.DemandRequest) (any, error) {
	current, err := c.currentVersion()
	if err != nil {
		return nil, err
	}
	answer := nodelink.DemandAnswer{Current: current}
	leading := false
	err = c.loop.Do(ctx, func() {
		// A new leader may not have begun its term yet.
		if leading = c.planner != nil; !leading {
			return
		}
		now := boottime.Now()
		c.markLeaving(from, r.Leaving, now)
		c.recordRateLimits(from, r.RateLimits)
		c.recordBrittle(from, r.Brittle, now)
		answer.Permits = c.grantPermits(from, r.PermitWants, now)
		answer.Slots = c.grantSlots(from, r.SlotWants, now)
		c.recordCrashEvidence(from, &r, now)
		answer.Trials = c.grantTrials(from, r.Trials, now)
		c.planner.SetDemand(from, r.Report, now)
		c.plan(now)
		known := r.CountsRevision
		if answer.Whole = r.Term != c.term; answer.Whole {
			known = 0
		}
		answer.Term = c.term
		answer.Running, answer.Tokens, answer.CountsRevision = c.planner.Running(known)
		forecasted := map[nodelink.Forecast]bool{}
		for _, w := range r.Report.Waiting {
			f := nodelink.Forecast{Service: w.Service, Model: w.Model}
			if forecasted[f] {
				continue
			}
			forecasted[f] = true
			if in, ok := c.planner.Forecast(w.Service, w.Model, now); ok {
				f.In = in
				answer.Forecasts = append(answer.Forecasts, f)
			}
		}
		for _, m := range r.Overloaded {
			if in, ok := c.planner.ForecastAnother(m.Service, m.Model, now); ok {
				answer.Forecasts = append(answer.Forecasts, nodelink.Forecast{Service: m.Service, Model: m.Model, In: in, Another: true})
			}
		}
	})
	if err == nil && !leading {
		err = c.notLeaderError()
	}
	return answer, err
}

// announceAsLeader records an announcement. Only the leader acknowledges one, so that all
// connected entry nodes learn of it, and a departure only once the next leader will know of it, too.
func (c *Controller) announceAsLeader(ctx context.Context, r nodelink.AnnounceRequest) (nodelink.AnnounceAnswer, error) {
	answer := nodelink.AnnounceAnswer{Address: c.cfg.Listen.Operators}
	if err := c.requireLeader(); err != nil {
		return answer, err
	}
	if c.mustIgnore(&r) {
		return answer, nil
	}
	var departure confstate.Departure
	leading, departs := false, false
	err := c.loop.Do(ctx, func() {
		if leading = c.term != 0; leading {
			departure, departs = c.departureOf(&r)
			c.recordAnnouncement(r, boottime.Now())
		}
	})
	switch {
	case err != nil:
	case !leading:
		err = c.notLeaderError()
	case departs:
		err = c.keepDeparture(ctx, departure)
	}
	return answer, err
}

// mustIgnore reports whether an announcement or a departure names no upstream to use. The control node that
// received it should have refused it, but may run another version of the software.
func (c *Controller) mustIgnore(r *nodelink.AnnounceRequest) bool {
	err := checkAnnouncement(r)
	if err == nil {
		return false
	}
	c.metrics.Count("announcement: unusable")
	c.log.Event("announcement unusable", eventlog.Fields{"upstream": r.Upstream.ID, "error": err.Error()})
	return true
}

// checkAnnouncement returns an error if an announcement or a departure names no upstream to use.
func checkAnnouncement(r *nodelink.AnnounceRequest) error {
	if r.Leave {
		return fleet.Incarnation{ID: r.Upstream.ID, Born: r.Upstream.Born}.Check()
	}
	return r.Upstream.Check()
}

// recordAnnouncement updates the registry and the planner from an announcement or a
// notice of departure.
func (c *Controller) recordAnnouncement(r nodelink.AnnounceRequest, now time.Duration) {
	before := c.registry.Revision()
	u := r.Upstream
	if r.Leave {
		outcome := c.registry.Leave(u.ID, u.Born, now)
		c.metrics.Count("departure: " + outcome.String())
		c.log.Event("upstream left", eventlog.Fields{"upstream": u.ID, "born": u.Born, "outcome": outcome.String()})
	} else {
		c.applyAnnouncement(u, now)
	}
	c.removeGoneUpstreams(before)
	if c.registry.Revision() != before {
		c.notifier.notify()
	}
}

// markLeaving records the upstreams that told an entry node that they are leaving.
func (c *Controller) markLeaving(from string, leaving []fleet.Incarnation, now time.Duration) {
	for _, u := range leaving {
		if !c.registry.MarkLeaving(u.ID, u.Born) {
			continue
		}
		c.log.Event("upstream is leaving", eventlog.Fields{"upstream": u.ID, "born": u.Born, "toldBy": from})
		if known, ok := c.registry.Get(u.ID); ok {
			c.planner.SetUpstream(known, now)
		}
		c.notifier.notify()
	}
}

// removeGoneUpstreams removes from the planner the upstreams that have ended since a
// revision of the registry: those that left, fell silent, or whose address another
// upstream took over.
func (c *Controller) removeGoneUpstreams(since uint64) {
	for _, u := range c.registry.Since(since) {
		if u.Gone {
			c.planner.Remove(u.ID)
		}
	}
}

// applyAnnouncement updates the registry and the planner from an announcement, unless the
// registry refuses it as outdated.
func (c *Controller) applyAnnouncement(u fleet.Upstream, now time.Duration) {
	known, ok := c.registry.Get(u.ID)
	if ok {
		u.Closing = known.Closing
	}
	outcome := fleet.Stale
	if !c.correctAnnouncement(&u) {
		outcome = c.registry.Announce(u, now)
	}
	c.metrics.Count("announcement: " + outcome.String())
	if outcome != fleet.Taken {
		c.log.Event("announcement dropped", eventlog.Fields{"upstream": u.ID, "born": u.Born, "seq": u.Seq})
		return
	}
	c.planner.SetUpstream(u, now)
	c.publishResidents(now)
	if !ok || known.Leaving != u.Leaving || known.Born != u.Born {
		c.log.Event("upstream changed", eventlog.Fields{
			"upstream": u.ID, "born": u.Born, "seq": u.Seq, "service": u.Service, "addr": u.Addr, "software": u.Software,
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

// publishResidents copies the planner's current view of the upstreams that it changed
// into the registry.
func (c *Controller) publishResidents(now time.Duration) {
	for _, id := range c.planner.Changed() {
		if residents, closing, ok := c.planner.View(id, now); ok {
			c.registry.SetResidents(id, residents, closing)
		}
	}
}

// serveJoin handles a join request. It adds or updates the member, or answers that the
// member was retired if it is unknown although it has a log. That answer ends the member,
// which deletes its log: it is given only once every earlier change is applied, which a new
// leader may not have done yet.
func (c *Controller) serveJoin(ctx context.Context, _ string, r nodelink.JoinRequest) (any, error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	known, ok := c.stateMachine.members()[r.Member.ID]
	if !ok && !r.Fresh {
		if _, err := c.raftReplica.ReadBarrier(ctx); err != nil {
			return nil, c.peerError(err)
		}
		known, ok = c.stateMachine.members()[r.Member.ID]
	}
	if !ok && !r.Fresh {
		c.log.Event("retired member asked to join", eventlog.Fields{"member": r.Member.ID, "node": r.Member.Node})
		return nodelink.JoinAnswer{Members: c.stateMachine.memberList(), Retired: true}, nil
	}
	if !ok || known != r.Member {
		if _, err := c.propose(ctx, confstate.Command{Join: &r.Member}); err != nil {
			return nil, c.peerError(err)
		}
		c.log.Event("member joined", eventlog.Fields{"member": r.Member.ID, "node": r.Member.Node, "link": r.Member.Link})
		select {
		case c.memberJoined <- struct{}{}:
		default:
		}
	}
	return nodelink.JoinAnswer{Members: c.stateMachine.memberList()}, nil
}

// propose appends a command to the log and returns its result once it is applied.
func (c *Controller) propose(ctx context.Context, command confstate.Command) (applyResult, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return applyResult{}, errors.Wrap(err, "encode command")
	}
	result, err := c.raftReplica.Propose(ctx, data)
	if err != nil {
		return applyResult{}, err
	}
	return result.(applyResult), nil
}

// configureAsLeader proposes a configuration and waits until it is durable. One that cannot come into force, because its version is
// not higher than an applied one, leaves its document out of the log.
func (c *Controller) configureAsLeader(ctx context.Context, r confstate.Configure) (confstate.Result, error) {
	known, settled := c.stateMachine.active.Load().Settles(r)
	if settled {
		r.Document = nil
	}
	a, err := c.propose(ctx, confstate.Command{Configure: &r})
	switch {
	case errors.Is(err, replica.ErrOutcomeUnknown):
		return 0, peer.Errorf(nodelink.CodeUndecided, "%s", err.Error())
	case err != nil:
		return 0, c.peerError(err)
	}
	if err := c.waitDurable(ctx, a.index); err != nil {
		return 0, err
	}
	if settled {
		return known, nil
	}
	return a.result, nil
}

// durablePollInterval is the interval of checks of the members' progress. A sync of a
// disk takes about as long.
const durablePollInterval = time.Millisecond

// waitDurable waits until an entry is on one disk more than may be lost at once. A
// committed entry is on a majority of the voters, which is too few while the group is
// smaller than its target size.
func (c *Controller) waitDurable(ctx context.Context, index uint64) error {
	for {
		status := c.raftReplica.Status()
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
		case <-time.After(durablePollInterval):
		case <-ctx.Done():
			return peer.Errorf(nodelink.CodeUndecided, "entry %d is on %d disks", index, copies)
		}
	}
}

// countEntryNodes returns the number of entry nodes, or zero while a new leader has not heard of all of them:
// nodes divide what they share by it, and keep to the number that they know. A node that has just started knows
// none.
func (c *Controller) countEntryNodes(justStarted bool, now time.Duration) int {
	if now-c.ledSince < entryNodeSurvey && !justStarted {
		return 0
	}
	return len(c.entryNodes)
}

// expireEntryNodes removes the entry nodes that no longer watch, and updates the number
// of watchers.
func (c *Controller) expireEntryNodes(now time.Duration) {
	for name, n := range c.entryNodes {
		if now-n.watchedAt > entryNodeTTL {
			delete(c.entryNodes, name)
			c.detoursRevision++
		}
	}
	c.notifier.setWatchers(len(c.entryNodes))
}
