package peer_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/agateslip/agateslip/internal/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds every wait. Passing tests need only a small part of it.
const waitTimeout = 20 * time.Second

// Values of Timing.SilenceTimeout. Most tests use longSilence, so that a busy machine
// does not make their connections silent.
const (
	longSilence  = waitTimeout
	shortSilence = 500 * time.Millisecond
)

// codeTaken is the code that the handler of "taken" returns.
const codeTaken peer.Code = 7

// testNode is a running mesh that counts the requests and notifications it handles.
type testNode struct {
	*peer.Mesh
	requests      atomic.Int64
	notifications atomic.Int64
	// releaseHang ends the handlers of "hang" when it is closed.
	releaseHang chan struct{}
}

// startNode starts a node with test handlers and stops it when the test ends.
func startNode(t *testing.T, name, secret string, silence time.Duration, peers ...peer.Peer) *testNode {
	t.Helper()
	n := &testNode{releaseHang: make(chan struct{})}
	mux := peer.NewMux()
	mux.Handle("echo", func(_ context.Context, from string, params json.RawMessage) (any, error) {
		n.requests.Add(1)
		return from + string(params), nil
	})
	mux.Handle("taken", func(context.Context, string, json.RawMessage) (any, error) {
		return nil, peer.Errorf(codeTaken, "name is taken")
	})
	mux.Handle("hang", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		n.requests.Add(1)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-n.releaseHang:
			return "late", nil
		}
	})
	mux.Handle("note", func(context.Context, string, json.RawMessage) (any, error) {
		n.notifications.Add(1)
		return nil, nil
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.Mesh = runMesh(t, peer.Options{
		Self: name, Addr: "127.0.0.1:0", Peers: peers, Secret: secret, Mux: mux, Log: log,
		Timing: peer.Timing{Heartbeat: 50 * time.Millisecond, SilenceTimeout: silence},
	})
	return n
}

// runMesh runs a mesh until the test ends.
func runMesh(t *testing.T, opts peer.Options) *peer.Mesh {
	t.Helper()
	mesh, err := peer.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- mesh.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return mesh
}

// startPair starts two nodes that are connected in both directions. Node a dials b
// through the proxy p.
func startPair(t *testing.T, silence time.Duration) (a, b *testNode, p *proxy) {
	t.Helper()
	b = startNode(t, "b", "secret", silence)
	p = newProxy(t, b.Addr())
	a = startNode(t, "a", "secret", silence, peer.Peer{Name: "b", Addr: p.addr()})
	b.SetPeers([]peer.Peer{{Name: "a", Addr: a.Addr()}})
	waitUntil(t, func() bool { return a.Reachable("b") && b.Reachable("a") })
	return a, b, p
}

// waitUntil waits until ok returns true, and fails the test after waitTimeout.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition did not become true")
		}
	}
}

// withTimeout returns a context that ends after d or with the test.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallAndNotify(t *testing.T) {
	is := is.New(t)
	a, b, _ := startPair(t, longSilence)
	var answer string
	is.NoErr(a.Call(withTimeout(t, waitTimeout), "b", "echo", 5, &answer))
	var number int
	is.True(errors.Is(a.Call(withTimeout(t, waitTimeout), "b", "echo", 5, &number), peer.ErrOutcomeUnknown)) // the result is not a number
	is.Equal(answer, "a5")
	is.NoErr(b.Call(withTimeout(t, waitTimeout), "a", "echo", 6, &answer))
	is.Equal(answer, "b6")

	err := a.Call(withTimeout(t, waitTimeout), "b", "taken", nil, nil)
	code, ok := peer.CodeOf(err)
	is.True(ok && code == codeTaken)
	code, ok = peer.CodeOf(a.Call(withTimeout(t, waitTimeout), "b", "nothing", nil, nil))
	is.True(ok && code == peer.CodeNoMethod)
	err = a.Call(withTimeout(t, waitTimeout), "c", "echo", nil, nil)
	is.True(errors.Is(err, peer.ErrNotSent))
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(a.Call(expired, "b", "echo", nil, nil), peer.ErrNotSent))

	is.True(a.Notify("b", "note", 1))
	is.True(!a.Notify("c", "note", 1))
	waitUntil(t, func() bool { return b.notifications.Load() == 1 })
	is.Equal(a.Stats().Dropped, uint64(1))
}

// TestRejectsUnauthorizedNodes dials b from a node with another secret, from a node
// that b does not list, and from one that expects another name.
func TestRejectsUnauthorizedNodes(t *testing.T) {
	is := is.New(t)
	b := startNode(t, "b", "secret", longSilence, peer.Peer{Name: "a", Addr: "127.0.0.1:1"})
	wrongSecret := startNode(t, "a", "guess", longSilence, peer.Peer{Name: "b", Addr: b.Addr()})
	unlisted := startNode(t, "x", "secret", longSilence, peer.Peer{Name: "b", Addr: b.Addr()})
	misnamed := startNode(t, "a", "secret", longSilence, peer.Peer{Name: "c", Addr: b.Addr()})
	waitUntil(t, func() bool { return b.Stats().Rejected > 2 })
	waitUntil(t, func() bool { return wrongSecret.Stats().DialFailures > 1 && misnamed.Stats().DialFailures > 1 })
	for _, n := range []*testNode{wrongSecret, unlisted, misnamed} {
		err := n.Call(withTimeout(t, waitTimeout), "b", "echo", nil, nil)
		is.True(err != nil)
	}
	is.Equal(b.requests.Load(), int64(0))
}

// TestAcceptorRequiresProof dials with a false proof, without a proof, and with a second
// message that never ends. The node must close each connection.
func TestAcceptorRequiresProof(t *testing.T) {
	is := is.New(t)
	b := startNode(t, "b", "secret", longSilence, peer.Peer{Name: "a", Addr: "127.0.0.1:1"})
	for i, second := range []string{
		`{"version":1,"node":"a","proof":"AAAA"}` + "\n",
		`{"version":1,"node":"a"}` + "\n",
		strings.Repeat("x", 2000),
	} {
		conn, err := net.Dial("tcp", b.Addr())
		is.NoErr(err)
		_, err = io.WriteString(conn, `{"version":1,"node":"a","nonce":"AAAA"}`+"\n"+second)
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		data, _ := io.ReadAll(conn) // returns when the node closes the connection
		is.True(!strings.Contains(string(data), `"hb":`))
		is.NoErr(conn.Close())
		waitUntil(t, func() bool { return b.Stats().Rejected == uint64(i+1) })
	}
}

// TestSetPeers removes a peer, then lists it again, and changes another peer's address.
func TestSetPeers(t *testing.T) {
	is := is.New(t)
	a, b, _ := startPair(t, longSilence)
	b.SetPeers(nil)
	waitUntil(t, func() bool { return !b.Reachable("a") && b.Stats().Rejected > 0 })
	is.True(errors.Is(b.Call(withTimeout(t, waitTimeout), "a", "echo", nil, nil), peer.ErrNotSent))
	b.SetPeers([]peer.Peer{{Name: "a", Addr: a.Addr()}})
	a.SetPeers([]peer.Peer{{Name: "b", Addr: b.Addr()}}) // a different address: not the proxy's
	waitUntil(t, func() bool { return a.Reachable("b") && b.Reachable("a") })
	var answer string
	is.NoErr(a.Call(withTimeout(t, waitTimeout), "b", "echo", 1, &answer))
}

// TestSilentConnectionIsReplaced silently drops the bytes of the open connections in one
// or both directions, while new connections work. A pending call must fail and the
// connection be replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, drop := range map[string]func(*proxy){
		"to the acceptor": func(p *proxy) { p.dropExisting(true, false) },
		"to the dialer":   func(p *proxy) { p.dropExisting(false, true) },
		"both ways":       func(p *proxy) { p.dropExisting(true, true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b, p := startPair(t, shortSilence)
			before := a.Stats().Connects
			drop(p)
			err := a.Call(withTimeout(t, waitTimeout), "b", "hang", nil, nil)
			is.True(errors.Is(err, peer.ErrOutcomeUnknown)) // well before its own deadline
			waitUntil(t, func() bool { return a.Reachable("b") })
			var answer string
			is.NoErr(a.Call(withTimeout(t, waitTimeout), "b", "echo", 1, &answer))
			is.True(a.Stats().Connects > before)
			waitUntil(t, func() bool { return a.Stats().Silent+b.Stats().Silent > 0 })
		})
	}
}

// TestLateAnswerIsDropped makes a response arrive after its call timed out. It must not
// be delivered to a later call or end the connection.
func TestLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	a, b, _ := startPair(t, longSilence)
	before := a.Stats().Connects
	err := a.Call(withTimeout(t, 50*time.Millisecond), "b", "hang", nil, nil)
	is.True(errors.Is(err, peer.ErrOutcomeUnknown))
	waitUntil(t, func() bool { return b.requests.Load() == 1 })
	close(b.releaseHang)
	for i := range 20 {
		var answer string
		is.NoErr(a.Call(withTimeout(t, waitTimeout), "b", "echo", i, &answer))
		is.True(answer != "late")
	}
	is.Equal(a.Stats().Connects, before) // still the same connection
}

// TestSlowReaderDoesNotBlockOthers lets one peer stop reading. Notify must not block but
// drop notifications to it, and another peer must still be served.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	a, _, p := startPair(t, shortSilence)
	c := startNode(t, "c", "secret", shortSilence, peer.Peer{Name: "a", Addr: a.Addr()})
	a.SetPeers([]peer.Peer{{Name: "b", Addr: p.addr()}, {Name: "c", Addr: c.Addr()}})
	waitUntil(t, func() bool { return a.Reachable("c") })
	p.stopReading()
	large := make([]byte, 16<<10)
	for a.Notify("b", "note", large) {
		continue // until the queue is full or the connection is closed
	}
	is.True(a.Stats().Dropped > 0)
	var answer string
	is.NoErr(a.Call(withTimeout(t, waitTimeout), "c", "echo", 1, &answer))
	waitUntil(t, func() bool { return a.Reachable("b") }) // on a new connection
}

// proxy forwards connections to target. It can make the open ones drop bytes or stop
// reading.
type proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup
	mu       sync.Mutex
	pipes    []*pipe
}

// pipe is one proxied connection: in is the dialing end, out leads to the target.
type pipe struct {
	in, out                      net.Conn
	dropToTarget, dropFromTarget atomic.Bool
	readStopped                  atomic.Bool
	closed                       chan struct{}
	once                         sync.Once
}

func (pp *pipe) close() {
	pp.once.Do(func() { close(pp.closed) })
	pp.in.Close()
	pp.out.Close()
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target}
	p.wg.Go(p.accept)
	t.Cleanup(func() {
		listener.Close()
		p.forEachPipe(func(pp *pipe) { pp.close() })
		p.wg.Wait()
	})
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		pp := &pipe{in: in, out: out, closed: make(chan struct{})}
		p.mu.Lock()
		p.pipes = append(p.pipes, pp)
		p.mu.Unlock()
		p.wg.Go(func() { pp.copy(in, out, &pp.dropToTarget) })
		p.wg.Go(func() { pp.copy(out, in, &pp.dropFromTarget) })
	}
}

func (p *proxy) forEachPipe(fn func(*pipe)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pp := range p.pipes {
		fn(pp)
	}
}

// dropExisting sets in which directions, to and from the target, the open connections
// drop all bytes and the end of stream.
func (p *proxy) dropExisting(to, from bool) {
	p.forEachPipe(func(pp *pipe) {
		pp.dropToTarget.Store(to)
		pp.dropFromTarget.Store(from)
	})
}

// stopReading makes the open connections stop reading from their dialing ends.
func (p *proxy) stopReading() { p.forEachPipe(func(pp *pipe) { pp.readStopped.Store(true) }) }

// copy forwards bytes, and then the end of stream, in one direction unless drop is set.
func (pp *pipe) copy(from, to net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if from == pp.in && pp.readStopped.Load() {
			<-pp.closed
			return
		}
		if err != nil && !drop.Load() {
			to.Close()
		}
		if err != nil {
			return
		}
		if drop.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// TestCloseWhileReceiving closes connections many times at the accepting end while the
// dialing end sends notifications without pause. It guards against a panic of the
// JSON-RPC server when a record is read just before the close.
func TestCloseWhileReceiving(t *testing.T) {
	const ends = 60
	a, b, _ := startPair(t, longSilence)
	listed := []peer.Peer{{Name: "a", Addr: a.Addr()}}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				a.Notify("b", "note", struct{}{})
			}
		}
	})
	for range ends {
		waitUntil(t, func() bool { return a.Reachable("b") })
		before := a.Stats().Connects
		b.SetPeers(nil)
		b.SetPeers(listed)
		waitUntil(t, func() bool { return a.Stats().Connects > before })
	}
	close(stop)
	sending.Wait()
}
