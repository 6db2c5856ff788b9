package edge

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
)

// neverOpens is the delay of a control node whose connections never open.
const neverOpens = time.Hour

// controlStub is a control node that counts the watch requests and does not answer as the leader.
type controlStub struct {
	link  string
	asked atomic.Int64
	// names is the node that it names as the leader.
	names atomic.Pointer[controlStub]
}

// startControlStub starts a control node whose connections take delay to open.
func startControlStub(t *testing.T, delay time.Duration) *controlStub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &controlStub{link: listener.Addr().String()}
	mux := peer.NewMux()
	mux.Handle(nodelink.Watch, func(context.Context, string, json.RawMessage) (any, error) {
		s.asked.Add(1)
		if named := s.names.Load(); named != nil {
			return nil, peer.Errorf(nodelink.CodeNotLeader, "%s", named.link)
		}
		return nil, peer.Errorf(nodelink.CodeNotLeader, "")
	})
	mesh := newTestMesh(t, peer.Options{Self: s.link, Mux: mux, AcceptUnlisted: true})
	t.Cleanup(func() { listener.Close() })
	go relayConnections(t.Context(), listener, mesh.Addr(), delay)
	return s
}

func newTestMesh(t *testing.T, o peer.Options) *peer.Mesh {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.Addr, o.Secret, o.Log = "127.0.0.1:0", "secret", log
	mesh, err := peer.New(o)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = mesh.Run(t.Context()) }()
	return mesh
}

// relayConnections relays connections to addr, each of them after a delay.
func relayConnections(ctx context.Context, listener net.Listener, addr string, delay time.Duration) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		context.AfterFunc(ctx, func() { in.Close() })
		time.AfterFunc(delay, func() {
			out, err := net.Dial("tcp", addr)
			if err != nil {
				in.Close()
				return
			}
			context.AfterFunc(ctx, func() { out.Close() })
			go func() { _, _ = io.Copy(out, in) }()
			_, _ = io.Copy(in, out)
			in.Close()
			out.Close()
		})
	}
}

// startFollower starts an entry node that looks for the leader.
func startFollower(t *testing.T, seeds ...*controlStub) {
	t.Helper()
	var links []string
	for _, s := range seeds {
		links = append(links, s.link)
	}
	e := &Edge{log: eventlog.New(io.Discard, nil), leader: newLeaderFinder(links), cfg: config.Managed{}}
	e.cfg.Node, e.cfg.Listen.Links = "front", "127.0.0.1:7001"
	e.mesh = newTestMesh(t, peer.Options{Self: "front", Mux: peer.NewMux(), Timing: linkTiming})
	done := make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() { done <- e.followLeader(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// requireAsked fails the test unless the entry node asks s within limit.
func requireAsked(t *testing.T, s *controlStub, limit time.Duration) {
	t.Helper()
	for start := time.Now(); s.asked.Load() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > limit {
			t.Fatalf("not asked within %v", limit)
		}
	}
}

// TestNamedLeaderIsAskedOnceConnected has every reachable node name a leader to which connections open slowly, as they do
// after a packet is lost.
func TestNamedLeaderIsAskedOnceConnected(t *testing.T) {
	t.Parallel()
	follower, wiped, leader := startControlStub(t, 0), startControlStub(t, 0), startControlStub(t, 700*time.Millisecond)
	follower.names.Store(leader)
	startFollower(t, wiped, follower)
	requireAsked(t, leader, 3*time.Second)
}

// TestReachableNodeIsAskedBesideOthers has two of three seeds accept connections without an answer, as suspended nodes do.
func TestReachableNodeIsAskedBesideOthers(t *testing.T) {
	t.Parallel()
	reachable := startControlStub(t, 0)
	startFollower(t, startControlStub(t, neverOpens), startControlStub(t, neverOpens), reachable)
	requireAsked(t, reachable, time.Second)
}
