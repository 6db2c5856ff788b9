package edge

import (
	"context"
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
)

const (
	// linkHeartbeat and linkSilence find a silent connection within two seconds,
	// before news would be too late.
	linkHeartbeat = 300 * time.Millisecond
	linkSilence   = 800 * time.Millisecond
	// linkBackoff bounds the pause between attempts to connect.
	linkBackoff = 200 * time.Millisecond
	// newsWait is how long the leader may hold an answer back for lack of news.
	newsWait = time.Second
	// newsTime bounds a question for news.
	newsTime = newsWait + 700*time.Millisecond
	// connectTime is how long a control node may take to accept the connection
	// before another one is tried.
	connectTime = 500 * time.Millisecond
	// retryPause is the pause before a control node is asked again.
	retryPause = 25 * time.Millisecond
	// doubtTime is for how long an upstream is used that a new leader has not heard
	// of yet: two announcements and the way of a message.
	doubtTime = 3500 * time.Millisecond
)

// leaderFinder keeps which control node is asked.
type leaderFinder struct {
	mu      sync.Mutex
	seeds   []string
	members []string
	target  string
	turn    int
}

func newLeaderFinder(seeds []string) *leaderFinder {
	return &leaderFinder{seeds: seeds, target: seeds[0]}
}

func (f *leaderFinder) current() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target
}

// next goes on to another control node, the one that was named if any.
func (f *leaderFinder) next(hint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hint != "" && hint != f.target {
		f.target = hint
		return
	}
	all := slices.Concat(f.members, f.seeds)
	f.turn++
	f.target = all[f.turn%len(all)]
}

func (f *leaderFinder) know(members []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(members) > 0 {
		f.members = members
	}
}

// follow takes the leader's news.
func (e *Edge) follow(ctx context.Context) error {
	request := nodelink.WatchRequest{Entry: true}
	for ctx.Err() == nil {
		target := e.leader.current()
		e.mesh.SetPeers([]peer.Peer{{Name: target, Addr: target}})
		answer, err := e.askNews(ctx, target, request)
		if err != nil {
			if ctx.Err() == nil {
				e.lookElsewhere(ctx, target, err)
			}
			continue
		}
		e.leader.know(answer.Members)
		if answer.Configuration != nil {
			e.apply(answer.Configuration)
		}
		if answer.Entries > 0 {
			e.entries.Store(int64(answer.Entries))
		}
		upstreams, err := answer.Upstreams.Decode()
		if err != nil {
			e.lookElsewhere(ctx, target, err)
			continue
		}
		// An error means that the node stops, which ends this loop.
		if e.loop.Do(ctx, func() { e.takeNews(answer.Whole, upstreams) }) != nil {
			continue
		}
		request.Term, request.Revision = answer.Term, answer.Revision
	}
	return nil
}

// askNews asks a control node, which may first have to be connected to.
func (e *Edge) askNews(ctx context.Context, target string, r nodelink.WatchRequest) (nodelink.WatchAnswer, error) {
	if v := e.view.Load(); v != nil {
		r.Version = v.version
	}
	r.WaitMillis = newsWait.Milliseconds()
	start := time.Now()
	for {
		answer, err := e.askNewsOnce(ctx, target, r)
		if !errors.Is(err, peer.ErrNotSent) || time.Since(start) > connectTime || ctx.Err() != nil {
			return answer, err
		}
		pause.For(ctx, retryPause)
	}
}

func (e *Edge) askNewsOnce(ctx context.Context, target string, r nodelink.WatchRequest) (nodelink.WatchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, newsTime)
	defer cancel()
	var answer nodelink.WatchAnswer
	err := e.mesh.Call(ctx, target, nodelink.Watch, r, &answer)
	return answer, err
}

// lookElsewhere goes on to the node that the asked one named as leader, or to
// the next one.
func (e *Edge) lookElsewhere(ctx context.Context, target string, cause error) {
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

// takeNews takes changed upstreams.
func (e *Edge) takeNews(whole bool, upstreams []fleet.Upstream) {
	now := boottime.Now()
	if whole {
		listed := make(map[string]bool, len(upstreams))
		for i := range upstreams {
			listed[upstreams[i].ID] = true
		}
		for id, k := range e.upstreams {
			if !listed[id] && k.doubted == 0 {
				k.doubted = now
				e.upstreams[id] = k
			}
		}
	}
	var changed []fleet.Upstream
	for _, u := range upstreams {
		if e.takeUpstream(&u) {
			changed = append(changed, u)
		}
	}
	e.limitConnections()
	e.deliver(e.dispatcher.Update(changed, now))
}

// takeUpstream takes one upstream unless this node knows it better.
func (e *Edge) takeUpstream(u *fleet.Upstream) bool {
	before, ok := e.upstreams[u.ID]
	if ok && u.Born < before.desc.Born {
		return false
	}
	if ok && u.Born == before.desc.Born && u.Seq < before.desc.Seq && before.desc.Leaving && !u.Gone {
		// A new leader heard an older announcement than this node knows of.
		u.Leaving = true
	}
	if u.Gone {
		delete(e.upstreams, u.ID)
		delete(e.quality, u.ID)
		delete(e.judged, u.ID)
		e.pool.Forget(u.Addr)
		return ok
	}
	if ok && before.desc.Addr != u.Addr {
		e.pool.Forget(before.desc.Addr)
	}
	if !ok || before.desc.Leaving != u.Leaving || before.desc.Born != u.Born {
		e.log.Event("upstream changed", eventlog.Fields{
			"upstream": u.ID, "addr": u.Addr, "service": u.Service, "leaving": u.Leaving, "revision": u.Revision,
		})
	}
	e.upstreams[u.ID] = known{desc: *u}
	return true
}

// dropDoubted forgets upstreams that a new leader has not heard of in time.
func (e *Edge) dropDoubted(now time.Duration) {
	var gone []fleet.Upstream
	for id, k := range e.upstreams {
		if k.doubted == 0 || now-k.doubted < doubtTime {
			continue
		}
		k.desc.Gone = true
		gone = append(gone, k.desc)
		delete(e.upstreams, id)
		e.pool.Forget(k.desc.Addr)
		e.log.Event("upstream not confirmed", eventlog.Fields{"upstream": id})
	}
	if len(gone) > 0 {
		e.deliver(e.dispatcher.Update(gone, now))
	}
}

// limitConnections shares what upstreams accept among the entry nodes.
func (e *Edge) limitConnections() {
	v := e.view.Load()
	if v == nil {
		return
	}
	for _, k := range e.upstreams {
		service := v.table.Service(k.desc.Service)
		if service == nil || service.Connections == 0 {
			continue
		}
		e.pool.SetLimit(k.desc.Addr, max(1, service.Connections/int(max(1, e.entries.Load()))))
	}
}

// Reload takes changed settings: where control nodes are looked for.
func (e *Edge) Reload(cfg config.Managed) {
	seeds, err := cfg.SeedLinks()
	if err != nil {
		e.log.Event("seeds not taken", eventlog.Fields{"error": err.Error()})
		return
	}
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	e.leader.seeds = seeds
}
