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
	// renewEvery is the cadence of passing renewals on.
	renewEvery = 500 * time.Millisecond
	// presenceEvery is when peers hear of this node although it has no news.
	presenceEvery = 2 * time.Second
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
		if s.loop.dir.Apply(a, s.loop.now()) == directory.Accepted {
			s.loop.bodies.note(a)
		}
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
// this node is there. What changed goes out at once, renewals in batches.
func (l *loop) pushAnnouncements() {
	now := l.now()
	due := now-l.pushedAt >= presenceEvery
	if l.dir.Version() == l.pushed && !due {
		return
	}
	renews := now-l.pushedAt >= renewEvery
	changed, version := l.dir.ChangedSince(l.pushed, now)
	note := l.noteOf(changed)
	if len(note.Relayed) == 0 && (len(note.Renewals) == 0 || !renews) && !due {
		return
	}
	l.pushed = version
	l.pushedAt = now
	for _, r := range note.Relayed {
		l.told[r.Announcement.ID] = l.bodies.known[r.Announcement.ID]
	}
	for _, p := range l.node.cfg.Peers {
		if p.Node != l.node.cfg.Node {
			l.node.mesh.Notify(p.Node, methodPush, note)
		}
	}
}

// noteOf builds the message that passes on what upstreams announced here.
func (l *loop) noteOf(changed []directory.Relayed) pushNote {
	note := pushNote{Node: l.node.cfg.Node, Boot: l.node.boot, Member: uint64(l.node.memberID)}
	for _, r := range changed {
		id := r.Announcement.ID
		switch {
		case !l.local[id]:
		case l.told[id] == l.bodies.known[id]:
			note.Renewals = append(note.Renewals, l.bodies.renewalOf(r))
		default:
			note.Relayed = append(note.Relayed, r)
		}
	}
	return note
}

// servePush takes announcements that a peer heard.
func (n *Node) servePush(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var note pushNote
	if err := json.Unmarshal(params, &note); err != nil {
		return nil, errors.Wrap(err, "decode announcements")
	}
	n.members.set(raft.MemberID(note.Member), from)
	if len(note.Relayed)+len(note.Renewals) > 0 {
		n.loop.post(ctx, func() { n.loop.takePush(from, note) })
	}
	return nil, nil
}

// takePush merges what a peer passed on. A renewal of an announcement that is
// not known here asks for a comparison with that peer.
func (l *loop) takePush(from string, note pushNote) {
	relayed := note.Relayed
	for _, r := range note.Renewals {
		v, ok := l.dir.Get(r.ID, l.now())
		full, known := l.bodies.expand(r, v.Announcement)
		if !ok || !known {
			l.askPull(from)
			continue
		}
		relayed = append(relayed, full)
	}
	l.takeRelayed(relayed, true)
}

// askPull asks the pull part to compare directories with a peer now.
func (l *loop) askPull(peer string) {
	select {
	case l.pulls <- peer:
	default:
	}
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
		if l.dir.ApplyRelayed(r, l.now()) != directory.Accepted {
			continue
		}
		l.bodies.note(r.Announcement)
		if heard {
			delete(l.local, r.Announcement.ID)
			delete(l.told, r.Announcement.ID)
		}
	}
	l.refreshUpstreams(false)
}

// runPull compares the directory with a random peer's, for pushes that were
// lost.
func (n *Node) runPull(ctx context.Context) error {
	random := rand.New(rand.NewPCG(n.seed, 2))
	timer := time.NewTimer(pullEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-n.loop.pulls:
			n.pullOnce(ctx, from)
		case <-timer.C:
			n.pullOnce(ctx, n.cfg.Peers[random.IntN(len(n.cfg.Peers))].Node)
			timer.Reset(pullEvery/2 + time.Duration(random.Int64N(int64(pullEvery))))
		}
	}
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
