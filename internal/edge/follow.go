package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/ratelimit"
)

const (
	// linkHeartbeat and linkSilence detect a dead connection to a control node within
	// two seconds, before its changes would arrive too late.
	linkHeartbeat = 300 * time.Millisecond
	linkSilence   = 800 * time.Millisecond
	// linkBackoff is the longest pause between attempts to connect.
	linkBackoff = 200 * time.Millisecond
	// watchWait is how long the leader may hold back its answer to a watch request
	// while nothing changes.
	watchWait = time.Second
	// watchTimeout bounds a watch request.
	watchTimeout = watchWait + 700*time.Millisecond
	// connectTimeout is how long a request that could not be sent to a control node is
	// repeated before another node is tried.
	connectTimeout = 500 * time.Millisecond
	// retryPause is the pause before a control node is asked again.
	retryPause = 25 * time.Millisecond
	// unlistedGrace is how long an upstream stays in use after the leader stopped
	// listing it. A new leader lists an upstream only after its next announcement; the
	// time covers two announcements and the delivery of a message.
	unlistedGrace = 3500 * time.Millisecond
)

// leaderFinder selects the control node to ask. It starts with the seeds and also tries
// the members that the leader reports.
type leaderFinder struct {
	mu      sync.Mutex
	seeds   []string
	members []string
	// target is the link address of the control node to ask; rotation counts the
	// changes made without a hint.
	target   string
	rotation int
}

// newLeaderFinder returns a finder that starts with the first seed.
func newLeaderFinder(seeds []string) *leaderFinder {
	return &leaderFinder{seeds: seeds, target: seeds[0]}
}

// current returns the link address of the control node to ask.
func (f *leaderFinder) current() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target
}

// next selects another control node: the one named by hint, or else the next of the
// members and seeds in turn.
func (f *leaderFinder) next(hint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hint != "" && hint != f.target {
		f.target = hint
		return
	}
	candidates := slices.Concat(f.members, f.seeds)
	f.rotation++
	f.target = candidates[f.rotation%len(candidates)]
}

// setMembers replaces the known members; an empty list is ignored.
func (f *leaderFinder) setMembers(members []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(members) > 0 {
		f.members = members
	}
}

// followLeader watches the leader for changes of configuration, upstreams and members,
// and applies them until ctx ends.
func (e *Edge) followLeader(ctx context.Context) error {
	reached, _, err := e.cfg.DetourAddrs()
	if err != nil {
		return err
	}
	request := nodelink.WatchRequest{Entry: true, Detours: reached}
	// stateAt is when the latest answer arrived that told more than a configuration. The wait for the next one
	// is not prolonged by configurations that come meanwhile.
	stateAt := boottime.Now()
	for ctx.Err() == nil {
		target := e.leader.current()
		e.mesh.SetPeers([]peer.Peer{{Name: target, Addr: target}})
		askedAt := boottime.Now()
		request.WaitMillis = max(0, e.watchHold()-(askedAt-stateAt)).Milliseconds()
		answer, err := e.watchControlNode(ctx, target, request)
		if err != nil {
			if ctx.Err() == nil {
				e.switchControlNode(ctx, target, err)
			}
			continue
		}
		e.leader.setMembers(answer.Members)
		if answer.DetoursRevision != 0 {
			e.detours.SetHelpers(answer.Detours)
			request.DetoursRevision = answer.DetoursRevision
		}
		// Before the configuration, which puts calls in progress that wait for the first one.
		e.noteCurrent(askedAt, answer.Current)
		if answer.Configuration != nil {
			e.applyConfiguration(answer.Configuration)
		}
		if answer.Entries > 0 {
			e.entryNodes.Store(int64(answer.Entries))
		}
		upstreams, err := answer.Upstreams.Decode()
		if err != nil {
			e.switchControlNode(ctx, target, err)
			continue
		}
		// Do fails only when the node stops, which ends this loop.
		err = e.loop.Do(ctx, func() {
			// Before the upstreams: a node that has just started must not send the calls that
			// wait for one before it knows which of them to refuse.
			if answer.Quarantine != nil {
				e.applyQuarantine(answer.Quarantine)
			}
			e.dispatcher.SetEntryNodes(int(e.entryNodes.Load()), e.cfg.Node)
			if answer.Brittle != nil {
				e.applyBrittle(*answer.Brittle)
			}
			if answer.Bases != nil {
				stateAt = boottime.Now()
				e.applyBases(*answer.Bases, askedAt)
			}
			e.applyUpstreams(answer.Whole, upstreams)
			if answer.Configuration == nil { // such an answer tells nothing else
				e.upstreamsAskedAt = askedAt
			}
		})
		if err != nil {
			continue
		}
		request.Term, request.Revision = answer.Term, answer.Revision
		if answer.Brittle != nil {
			request.BrittleRevision = answer.BrittleRevision
		}
		if answer.Quarantine != nil {
			request.QuarantineRevision = answer.Quarantine.Revision
		}
	}
	return nil
}

// watchControlNode sends a watch request to a control node. It repeats a request that
// could not be sent, because the connection may still be opening, for up to
// connectTimeout.
func (e *Edge) watchControlNode(ctx context.Context, target string, r nodelink.WatchRequest) (nodelink.WatchAnswer, error) {
	// The leader sends nothing else to a node that lacks the configuration in force.
	r.Version = e.unreadable
	if v := e.routing.Load(); v != nil {
		r.Version = max(r.Version, v.version)
	}
	start := time.Now()
	for {
		answer, err := e.watchOnce(ctx, target, r)
		if !errors.Is(err, peer.ErrNotSent) || time.Since(start) > connectTimeout || ctx.Err() != nil {
			return answer, err
		}
		pause.For(ctx, retryPause)
	}
}

// watchOnce sends one watch request.
func (e *Edge) watchOnce(ctx context.Context, target string, r nodelink.WatchRequest) (nodelink.WatchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var answer nodelink.WatchAnswer
	err := e.mesh.Call(ctx, target, nodelink.Watch, r, &answer)
	return answer, err
}

// switchControlNode selects the node to ask after target failed: the leader that target
// named, or else the next one. It stays with target if that names itself or is a leader
// that cannot decide.
func (e *Edge) switchControlNode(ctx context.Context, target string, cause error) {
	hint := ""
	var remote *peer.RemoteError
	if errors.As(cause, &remote) && remote.Code == nodelink.CodeNotLeader {
		hint = remote.Message
	}
	e.log.Event("control node does not answer", eventlog.Fields{"asked": target, "hint": hint, "error": cause.Error()})
	if hint == target || remote != nil && remote.Code == nodelink.CodeUnavailable {
		pause.For(ctx, retryPause)
		return
	}
	e.leader.next(hint)
	if hint == "" {
		pause.For(ctx, retryPause)
	}
}

// applyBrittle applies the leader's word on the services whose upstreams are brittle. It runs on the loop.
func (e *Edge) applyBrittle(services map[string]ratelimit.Brittle) {
	if !maps.Equal(e.brittle, services) {
		e.log.Event("brittle services", eventlog.Fields{"services": services})
	}
	e.brittle = services
	e.dispatcher.SetBrittle(services, boottime.Now())
}

// applyUpstreams applies changed upstreams. If whole is set, the list is complete, and
// upstreams that it does not contain count as unlisted from now on. It runs on the
// loop.
func (e *Edge) applyUpstreams(whole bool, upstreams []fleet.Upstream) {
	now := boottime.Now()
	if whole {
		listed := make(map[string]bool, len(upstreams))
		for i := range upstreams {
			listed[upstreams[i].ID] = true
		}
		for id, k := range e.upstreams {
			if !listed[id] && k.unlistedSince == 0 {
				k.unlistedSince = now
				e.upstreams[id] = k
			}
		}
	}
	var changed []fleet.Upstream
	for _, u := range upstreams {
		if !u.IsUsable() {
			e.log.Event("upstream unusable", eventlog.Fields{"upstream": u.ID, "addr": u.Addr, "slots": u.Slots})
			continue // the leader runs another version of the software
		}
		if e.applyUpstream(&u) {
			changed = append(changed, u)
		}
	}
	e.limitConnections()
	e.deliver(e.dispatcher.Update(changed, now))
}

// applyUpstream stores one upstream and reports whether the dispatcher must be updated.
// It ignores an incarnation older than the known one.
func (e *Edge) applyUpstream(u *fleet.Upstream) bool {
	previous, ok := e.upstreams[u.ID]
	if ok && u.Born < previous.desc.Born {
		return false
	}
	if ok && u.Born == previous.desc.Born && u.Seq < previous.desc.Seq && previous.desc.Leaving && !u.Gone {
		// A new leader may have only an announcement from before the upstream began to
		// leave.
		u.Leaving = true
	}
	if u.Gone {
		e.noteEnded(u)
		delete(e.upstreams, u.ID)
		delete(e.streamQuality, u.ID)
		delete(e.reportedQuality, u.ID)
		e.pool.Forget(u.Addr)
		return ok
	}
	if ok && previous.desc.Addr != u.Addr {
		e.pool.Forget(previous.desc.Addr)
	}
	if !ok || previous.desc.Leaving != u.Leaving || previous.desc.Born != u.Born || previous.desc.RateLimit != u.RateLimit {
		e.log.Event("upstream changed", eventlog.Fields{
			"upstream": u.ID, "addr": u.Addr, "service": u.Service, "software": u.Software, "leaving": u.Leaving, "revision": u.Revision,
			"limited": u.RateLimit.Limited, "perSecond": u.RateLimit.PerSecond,
		})
	}
	next := knownUpstream{desc: *u, provedAt: boottime.Now()}
	if ok && previous.desc.Born == u.Born {
		next.saidLeaving, next.provedAt = previous.saidLeaving, previous.provedAt
	}
	e.upstreams[u.ID] = next
	return true
}

// dropUnlisted removes the upstreams that have been unlisted for unlistedGrace.
func (e *Edge) dropUnlisted(now time.Duration) {
	var removed []fleet.Upstream
	for id, k := range e.upstreams {
		if k.unlistedSince == 0 || now-k.unlistedSince < unlistedGrace {
			continue
		}
		k.desc.Gone = true
		removed = append(removed, k.desc)
		delete(e.upstreams, id)
		e.pool.Forget(k.desc.Addr)
		e.log.Event("upstream not confirmed", eventlog.Fields{"upstream": id})
	}
	if len(removed) > 0 {
		e.deliver(e.dispatcher.Update(removed, now))
	}
}

// limitConnections divides the connection limit of each service's upstreams equally
// among the entry nodes, with at least one connection each.
func (e *Edge) limitConnections() {
	v := e.routing.Load()
	if v == nil {
		return
	}
	for _, k := range e.upstreams {
		service := v.table.Service(k.desc.Service)
		if service == nil || service.Connections == 0 {
			continue
		}
		e.pool.SetLimit(k.desc.Addr, max(1, service.Connections/int(max(1, e.entryNodes.Load()))))
	}
}

// Reload applies changed settings. It uses the seeds only.
func (e *Edge) Reload(cfg config.Managed) {
	seeds, err := cfg.SeedLinkAddrs()
	if err != nil {
		e.log.Event("seeds not taken", eventlog.Fields{"error": err.Error()})
		return
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	e.leader.seeds = seeds
}
