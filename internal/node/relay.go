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
	// announceTTL is how long an announcement counts without a renewal.
	announceTTL = 2 * time.Second
	// announceEvery is when upstreams renew their announcements.
	announceEvery = 500 * time.Millisecond
	// presenceEvery is when peers hear of this node although nothing changed.
	presenceEvery = 500 * time.Millisecond
	// pullEvery is the cadence of comparing directories with a peer.
	pullEvery = 2 * time.Second
	// pullTimeout bounds one comparison.
	pullTimeout = time.Second
)

// announcements implements engine.Sink on the control loop.
type announcements struct{ loop *loop }

// Announce implements engine.Sink.
func (s *announcements) Announce(ctx context.Context, a directory.Announcement) (engine.AnnounceReply, error) {
	_, ok := call(ctx, s.loop, func() bool {
		s.loop.dir.Apply(a, s.loop.now())
		s.loop.local[a.ID] = true
		s.loop.refreshUpstreams(false)
		s.loop.pushAnnouncements()
		return true
	})
	if !ok {
		return engine.AnnounceReply{}, errors.New("the node stops")
	}
	return engine.AnnounceReply{TTL: engine.Millis(announceTTL), NextAfter: engine.Millis(announceEvery)}, nil
}

// CacheEvents implements engine.Sink.
func (s *announcements) CacheEvents(ctx context.Context, e engine.CacheEvents) (engine.CacheReply, error) {
	resync, ok := call(ctx, s.loop, func() bool { return s.loop.takeCacheEvents(e) })
	if !ok {
		return engine.CacheReply{}, errors.New("the node stops")
	}
	return engine.CacheReply{Resync: resync}, nil
}

// takeCacheEvents applies a batch and passes it on to the peers.
func (l *loop) takeCacheEvents(e engine.CacheEvents) bool {
	resync := l.cache.apply(e, l.now())
	for _, p := range l.node.cfg.Peers {
		if p.Node != l.node.cfg.Node {
			l.node.mesh.Notify(p.Node, methodCache, e)
		}
	}
	return resync
}

// pushAnnouncements tells the peers what upstreams announced here, and that
// this node is there.
func (l *loop) pushAnnouncements() {
	now := l.now()
	if l.dir.Version() == l.pushed && now-l.pushedAt < presenceEvery {
		return
	}
	changed, version := l.dir.ChangedSince(l.pushed, now)
	l.pushed = version
	note := pushNote{Node: l.node.cfg.Node, Boot: l.node.boot, Member: uint64(l.node.memberID)}
	for _, r := range changed {
		if l.local[r.Announcement.ID] {
			note.Relayed = append(note.Relayed, r)
		}
	}
	if len(note.Relayed) == 0 && now-l.pushedAt < presenceEvery {
		return
	}
	l.pushedAt = now
	for _, p := range l.node.cfg.Peers {
		if p.Node != l.node.cfg.Node {
			l.node.mesh.Notify(p.Node, methodPush, note)
		}
	}
}

// servePush takes announcements that a peer heard.
func (n *Node) servePush(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var note pushNote
	if err := json.Unmarshal(params, &note); err != nil {
		return nil, errors.Wrap(err, "decode announcements")
	}
	n.members.set(raft.MemberID(note.Member), from)
	if len(note.Relayed) > 0 {
		n.loop.post(ctx, func() { n.loop.takeRelayed(note.Relayed, true) })
	}
	return nil, nil
}

// serveCache takes cache events that a peer heard.
func (n *Node) serveCache(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var e engine.CacheEvents
	if err := json.Unmarshal(params, &e); err != nil {
		return nil, errors.Wrap(err, "decode cache events")
	}
	n.loop.post(ctx, func() { n.loop.cache.apply(e, n.loop.now()) })
	return nil, nil
}

// takeRelayed merges a peer's announcements. heard says that the upstreams
// announce themselves to the peer now.
func (l *loop) takeRelayed(relayed []directory.Relayed, heard bool) {
	for _, r := range relayed {
		out := l.dir.ApplyRelayed(r, l.now())
		if heard && out == directory.Accepted {
			delete(l.local, r.Announcement.ID)
		}
	}
	l.refreshUpstreams(false)
}

// runPull compares the directory with a random peer's, for pushes that were
// lost.
func (n *Node) runPull(ctx context.Context) error {
	random := rand.New(rand.NewPCG(n.seed, 2))
	for ctx.Err() == nil {
		sleep(ctx, pullEvery/2+time.Duration(random.Int64N(int64(pullEvery))))
		n.pullOnce(ctx, n.cfg.Peers[random.IntN(len(n.cfg.Peers))].Node)
	}
	return nil
}

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
	n.loop.post(ctx, func() { n.loop.takeRelayed(reply.Relayed, false) })
}

// servePull answers with what the asker lacks.
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
