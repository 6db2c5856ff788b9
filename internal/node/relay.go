package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/engine"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
)

const (
	// announceTTL is how long an announcement is valid without a renewal.
	announceTTL = 2 * time.Second
	// announceInterval is how often upstreams renew their announcements.
	announceInterval = 500 * time.Millisecond
	// renewalInterval is the shortest time after a push at which renewals alone are
	// pushed.
	renewalInterval = 500 * time.Millisecond
	// presenceInterval is how often a push is sent to the peers although nothing
	// changed, so that they hear of this node and its member ID.
	presenceInterval = 2 * time.Second
	// pullInterval is the average interval of comparing the directory with a peer's.
	pullInterval = 2 * time.Second
	// pullTimeout limits one comparison.
	pullTimeout = time.Second
)

// announcements implements engine.Sink by passing upstreams' messages to the control
// loop.
type announcements struct{ loop *controlLoop }

// Announce implements engine.Sink.
func (s *announcements) Announce(ctx context.Context, a directory.Announcement) (engine.AnnounceReply, error) {
	_, ok := call(ctx, s.loop, func() bool {
		if s.loop.dir.Apply(a, s.loop.now()) == directory.Accepted {
			s.loop.digests.record(a)
		}
		s.loop.local[a.ID] = true
		s.loop.refreshUpstreams(false)
		s.loop.pushAnnouncements()
		return true
	})
	if !ok {
		return engine.AnnounceReply{}, errors.New("the node stops")
	}
	return engine.AnnounceReply{TTL: engine.Millis(announceTTL), NextAfter: engine.Millis(announceInterval)}, nil
}

// CacheEvents implements engine.Sink.
func (s *announcements) CacheEvents(ctx context.Context, e engine.CacheEvents) (engine.CacheReply, error) {
	resync, ok := call(ctx, s.loop, func() bool { return s.loop.applyCacheEvents(e) })
	if !ok {
		return engine.CacheReply{}, errors.New("the node stops")
	}
	return engine.CacheReply{Resync: resync}, nil
}

// applyCacheEvents applies a batch of cache events and forwards it to the peers. It
// reports whether the upstream should send its whole cache.
func (l *controlLoop) applyCacheEvents(e engine.CacheEvents) bool {
	resync := l.cache.apply(e, l.now())
	for _, p := range l.node.cfg.Peers {
		if p.Node != l.node.cfg.Node {
			l.node.mesh.Notify(p.Node, methodCacheEvents, e)
		}
	}
	return resync
}

// pushAnnouncements sends the peers what upstreams announced to this node. Changed
// announcements are sent at once and renewals in batches. A push is sent even if empty
// when presenceInterval has passed since the last.
func (l *controlLoop) pushAnnouncements() {
	now := l.now()
	presenceDue := now-l.pushedAt >= presenceInterval
	if l.dir.Version() == l.pushedVersion && !presenceDue {
		return
	}
	renewalsDue := now-l.pushedAt >= renewalInterval
	changed, version := l.dir.ChangedSince(l.pushedVersion, now)
	push := l.buildPush(changed)
	if len(push.Relayed) == 0 && (len(push.Renewals) == 0 || !renewalsDue) && !presenceDue {
		return
	}
	l.pushedVersion = version
	l.pushedAt = now
	for _, r := range push.Relayed {
		l.pushedDigests[r.Announcement.ID] = l.digests.byUpstream[r.Announcement.ID]
	}
	for _, p := range l.node.cfg.Peers {
		if p.Node != l.node.cfg.Node {
			l.node.mesh.Notify(p.Node, methodPush, push)
		}
	}
}

// buildPush returns the push for the changed announcements that were made to this node.
func (l *controlLoop) buildPush(changed []directory.Relayed) announcementPush {
	push := announcementPush{Node: l.node.cfg.Node, Boot: l.node.boot, Member: uint64(l.node.memberID)}
	for _, r := range changed {
		id := r.Announcement.ID
		switch {
		case !l.local[id]:
		case l.pushedDigests[id] == l.digests.byUpstream[id]:
			push.Renewals = append(push.Renewals, l.digests.renewalOf(r))
		default:
			push.Relayed = append(push.Relayed, r)
		}
	}
	return push
}

// servePush handles methodPush.
func (n *Node) servePush(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var push announcementPush
	if err := json.Unmarshal(params, &push); err != nil {
		return nil, errors.Wrap(err, "decode announcements")
	}
	n.members.set(raft.MemberID(push.Member), from)
	if len(push.Relayed)+len(push.Renewals) > 0 {
		n.loop.post(ctx, func() { n.loop.mergePush(from, push) })
	}
	return nil, nil
}

// mergePush merges a peer's push into the directory. A renewal of an announcement that
// is unknown here requests a comparison with that peer.
func (l *controlLoop) mergePush(from string, push announcementPush) {
	relayed := push.Relayed
	for _, r := range push.Renewals {
		v, ok := l.dir.Get(r.ID, l.now())
		full, known := l.digests.expand(r, v.Announcement)
		if !ok || !known {
			l.requestPull(from)
			continue
		}
		relayed = append(relayed, full)
	}
	l.mergeRelayed(relayed, true)
}

// requestPull asks the pull part to compare directories with a peer at once. It does
// not block.
func (l *controlLoop) requestPull(peer string) {
	select {
	case l.pullRequests <- peer:
	default:
	}
}

// serveCacheEvents handles methodCache.
func (n *Node) serveCacheEvents(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var e engine.CacheEvents
	if err := json.Unmarshal(params, &e); err != nil {
		return nil, errors.Wrap(err, "decode cache events")
	}
	n.loop.post(ctx, func() { n.loop.cache.apply(e, n.loop.now()) })
	return nil, nil
}

// mergeRelayed merges a peer's announcements into the directory. If direct is true, the
// upstreams announce themselves to that peer now and no longer count as local here.
func (l *controlLoop) mergeRelayed(relayed []directory.Relayed, direct bool) {
	for _, r := range relayed {
		if l.dir.ApplyRelayed(r, l.now()) != directory.Accepted {
			continue
		}
		l.digests.record(r.Announcement)
		if direct {
			delete(l.local, r.Announcement.ID)
			delete(l.pushedDigests, r.Announcement.ID)
		}
	}
	l.refreshUpstreams(false)
}

// runPull compares the directory with a random peer's at intervals, to recover
// announcements whose push was lost, and with a given peer on request.
func (n *Node) runPull(ctx context.Context) error {
	random := rand.New(rand.NewPCG(n.seed, 2))
	timer := time.NewTimer(pullInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-n.loop.pullRequests:
			n.pullOnce(ctx, from)
		case <-timer.C:
			n.pullOnce(ctx, n.cfg.Peers[random.IntN(len(n.cfg.Peers))].Node)
			timer.Reset(pullInterval/2 + time.Duration(random.Int64N(int64(pullInterval))))
		}
	}
}

// pullOnce fetches from a peer the announcements that this node lacks.
func (n *Node) pullOnce(ctx context.Context, from string) {
	if from == n.cfg.Node {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	digest, ok := call(ctx, n.loop, n.loop.dir.Digest)
	if !ok {
		return
	}
	var reply pullReply
	if err := n.mesh.Call(ctx, from, methodPull, pullRequest{Digest: digest}, &reply); err != nil {
		return
	}
	n.loop.post(ctx, func() { n.loop.mergeRelayed(reply.Relayed, false) })
}

// servePull handles methodPull.
func (n *Node) servePull(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req pullRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode digest")
	}
	relayed, ok := call(ctx, n.loop, func() []directory.Relayed {
		return n.loop.dir.NewerThan(req.Digest, n.loop.now())
	})
	if !ok {
		return nil, errors.New("the node stops")
	}
	return pullReply{Relayed: relayed}, nil
}
