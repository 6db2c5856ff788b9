package edge

import (
	"context"
	"maps"
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
	// unlistedGrace is how long an upstream stays in use after the leader stopped
	// listing it. A new leader lists an upstream only after its next announcement; the
	// time covers two announcements and the delivery of a message.
	unlistedGrace = 3500 * time.Millisecond
)

// linkTiming is the timing of the connections to control nodes.
var linkTiming = peer.Timing{Heartbeat: linkHeartbeat, SilenceTimeout: linkSilence, BackoffMax: linkBackoff}

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
		target := e.selectControlNode()
		if target == "" {
			pause.For(ctx, retryPause)
			continue
		}
		askedAt := boottime.Now()
		request.WaitMillis = max(0, e.watchHold()-(askedAt-stateAt)).Milliseconds()
		answer, err := e.watchControlNode(ctx, target, request)
		if err != nil {
			if ctx.Err() == nil {
				e.noteNoAnswer(target, err)
			}
			continue
		}
		if missing, found := e.leader.answered(target, answer.Members, boottime.Now()); found {
			e.log.Event("leader found", eventlog.Fields{"asked": target, "missingMillis": missing.Milliseconds()})
		}
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
			e.noteNoAnswer(target, err)
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

// selectControlNode connects to the control nodes that may lead and returns the one to ask now; "" if none can be.
func (e *Edge) selectControlNode() string {
	links, target := e.leader.next(boottime.Now(), e.mesh.Connected)
	peers := make([]peer.Peer, len(links))
	for i, link := range links {
		peers[i] = peer.Peer{Name: link, Addr: link}
	}
	e.mesh.SetPeers(peers)
	if r, due := e.leader.report(boottime.Now(), e.mesh.Connected); due {
		e.log.Event("leader not found", eventlog.Fields{
			"missingMillis": r.missing.Milliseconds(), "connected": r.connected, "connecting": r.connecting, "named": r.named,
		})
	}
	return target
}

// watchControlNode sends a watch request to a control node.
func (e *Edge) watchControlNode(ctx context.Context, target string, r nodelink.WatchRequest) (nodelink.WatchAnswer, error) {
	// The leader sends nothing else to a node that lacks the configuration in force.
	r.Version = e.unreadable
	if v := e.routing.Load(); v != nil {
		r.Version = max(r.Version, v.version)
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var answer nodelink.WatchAnswer
	err := e.mesh.Call(ctx, target, nodelink.Watch, r, &answer)
	return answer, err
}

// noteNoAnswer logs that target did not answer as the leader, and has the next node selected accordingly.
func (e *Edge) noteNoAnswer(target string, cause error) {
	var answer leaderAnswer
	var remote *peer.RemoteError
	if errors.As(cause, &remote) {
		answer.cannotDecide = remote.Code == nodelink.CodeUnavailable
		if answer.follows = remote.Code == nodelink.CodeNotLeader; answer.follows {
			answer.named = remote.Message
		}
	}
	e.log.Event("control node does not answer", eventlog.Fields{"asked": target, "hint": answer.named, "error": cause.Error()})
	e.leader.failed(target, answer, boottime.Now())
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
	e.leader.setSeeds(seeds)
}
