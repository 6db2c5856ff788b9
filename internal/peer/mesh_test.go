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

// patience bounds every wait; passing tests do not come near it.
const patience = 20 * time.Second

// Connections of most tests must not be taken for silent on a busy machine.
const (
	patient   = patience
	impatient = 500 * time.Millisecond
)

const codeTaken peer.Code = 7

// node is a running mesh that records what it was asked.
type node struct {
	*peer.Mesh
	calls   atomic.Int64
	notes   atomic.Int64
	release chan struct{}
}

func start(t *testing.T, name, secret string, silence time.Duration, peers ...peer.Peer) *node {
	t.Helper()
	n := &node{release: make(chan struct{})}
	mux := peer.NewMux()
	mux.Handle("echo", func(_ context.Context, from string, params json.RawMessage) (any, error) {
		n.calls.Add(1)
		return from + string(params), nil
	})
	mux.Handle("taken", func(context.Context, string, json.RawMessage) (any, error) {
		return nil, peer.Errorf(codeTaken, "name is taken")
	})
	mux.Handle("hang", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		n.calls.Add(1)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-n.release:
			return "late", nil
		}
	})
	mux.Handle("note", func(context.Context, string, json.RawMessage) (any, error) {
		n.notes.Add(1)
		return nil, nil
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	mesh, err := peer.New(peer.Options{
		Self: name, Addr: "127.0.0.1:0", Peers: peers, Secret: secret, Mux: mux, Log: log,
		Timing: peer.Timing{Heartbeat: 50 * time.Millisecond, Silence: silence},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.Mesh = mesh
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- mesh.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return n
}

// pair starts two nodes that know each other; a reaches b through the proxy.
func pair(t *testing.T, silence time.Duration) (a, b *node, p *proxy) {
	t.Helper()
	b = start(t, "b", "secret", silence)
	p = newProxy(t, b.Addr())
	a = start(t, "a", "secret", silence, peer.Peer{Name: "b", Addr: p.addr()})
	b.SetPeers([]peer.Peer{{Name: "a", Addr: a.Addr()}})
	eventually(t, func() bool { return a.Reachable("b") && b.Reachable("a") })
	return a, b, p
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition did not become true")
		}
	}
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallNotifyAndErrors(t *testing.T) {
	is := is.New(t)
	a, b, _ := pair(t, patient)
	var answer string
	is.NoErr(a.Call(within(t, patience), "b", "echo", 5, &answer))
	var number int
	is.True(errors.Is(a.Call(within(t, patience), "b", "echo", 5, &number), peer.ErrUnknown)) // not decodable
	is.Equal(answer, "a5")
	is.NoErr(b.Call(within(t, patience), "a", "echo", 6, &answer))
	is.Equal(answer, "b6")

	err := a.Call(within(t, patience), "b", "taken", nil, nil)
	code, ok := peer.CodeOf(err)
	is.True(ok && code == codeTaken)
	code, ok = peer.CodeOf(a.Call(within(t, patience), "b", "nothing", nil, nil))
	is.True(ok && code == peer.CodeNoMethod)
	err = a.Call(within(t, patience), "c", "echo", nil, nil)
	is.True(errors.Is(err, peer.ErrNotSent))
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(a.Call(expired, "b", "echo", nil, nil), peer.ErrNotSent))

	is.True(a.Notify("b", "note", 1))
	is.True(!a.Notify("c", "note", 1))
	eventually(t, func() bool { return b.notes.Load() == 1 })
	is.Equal(a.Stats().Dropped, uint64(1))
}

func TestStrangersAreRejected(t *testing.T) {
	is := is.New(t)
	b := start(t, "b", "secret", patient, peer.Peer{Name: "a", Addr: "127.0.0.1:1"})
	wrong := start(t, "a", "guess", patient, peer.Peer{Name: "b", Addr: b.Addr()})
	unlisted := start(t, "x", "secret", patient, peer.Peer{Name: "b", Addr: b.Addr()})
	misnamed := start(t, "a", "secret", patient, peer.Peer{Name: "c", Addr: b.Addr()})
	eventually(t, func() bool { return b.Stats().Rejected > 2 })
	eventually(t, func() bool { return wrong.Stats().DialFailures > 1 && misnamed.Stats().DialFailures > 1 })
	for _, n := range []*node{wrong, unlisted, misnamed} {
		err := n.Call(within(t, patience), "b", "echo", nil, nil)
		is.True(err != nil)
	}
	is.Equal(b.calls.Load(), int64(0))
}

// TestDialerMustProveItself answers the handshake without the secret, and sends
// a first message that never ends.
func TestDialerMustProveItself(t *testing.T) {
	is := is.New(t)
	b := start(t, "b", "secret", patient, peer.Peer{Name: "a", Addr: "127.0.0.1:1"})
	for i, second := range []string{
		`{"version":1,"node":"a","proof":"AAAA"}` + "\n",
		`{"version":1,"node":"a"}` + "\n",
		strings.Repeat("x", 2000),
	} {
		conn, err := net.Dial("tcp", b.Addr())
		is.NoErr(err)
		_, err = io.WriteString(conn, `{"version":1,"node":"a","nonce":"AAAA"}`+"\n"+second)
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
		data, _ := io.ReadAll(conn) // ends when the node closes the connection
		is.True(!strings.Contains(string(data), `"hb":`))
		is.NoErr(conn.Close())
		eventually(t, func() bool { return b.Stats().Rejected == uint64(i+1) })
	}
}

// TestPeersCanChange removes a peer and lists it again at another address.
func TestPeersCanChange(t *testing.T) {
	is := is.New(t)
	a, b, _ := pair(t, patient)
	b.SetPeers(nil)
	eventually(t, func() bool { return !b.Reachable("a") && b.Stats().Rejected > 0 })
	is.True(errors.Is(b.Call(within(t, patience), "a", "echo", nil, nil), peer.ErrNotSent))
	b.SetPeers([]peer.Peer{{Name: "a", Addr: a.Addr()}})
	a.SetPeers([]peer.Peer{{Name: "b", Addr: b.Addr()}}) // not through the proxy
	eventually(t, func() bool { return a.Reachable("b") && b.Reachable("a") })
	var answer string
	is.NoErr(a.Call(within(t, patience), "b", "echo", 1, &answer))
}

// TestSilentConnectionIsReplaced drops the bytes of the present connections in
// one direction, without an error, while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, drop := range map[string]func(*proxy){
		"to the acceptor": func(p *proxy) { p.dropExisting(true, false) },
		"to the dialer":   func(p *proxy) { p.dropExisting(false, true) },
		"both ways":       func(p *proxy) { p.dropExisting(true, true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b, p := pair(t, impatient)
			before := a.Stats().Connects
			drop(p)
			err := a.Call(within(t, patience), "b", "hang", nil, nil)
			is.True(errors.Is(err, peer.ErrUnknown)) // well before its own deadline
			eventually(t, func() bool { return a.Reachable("b") })
			var answer string
			is.NoErr(a.Call(within(t, patience), "b", "echo", 1, &answer))
			is.True(a.Stats().Connects > before)
			eventually(t, func() bool { return a.Stats().Silent+b.Stats().Silent > 0 })
		})
	}
}

// TestLateAnswerIsDropped has an answer come after its caller gave up.
func TestLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	a, b, _ := pair(t, patient)
	before := a.Stats().Connects
	err := a.Call(within(t, 50*time.Millisecond), "b", "hang", nil, nil)
	is.True(errors.Is(err, peer.ErrUnknown))
	eventually(t, func() bool { return b.calls.Load() == 1 })
	close(b.release)
	for i := range 20 {
		var answer string
		is.NoErr(a.Call(within(t, patience), "b", "echo", i, &answer))
		is.True(answer != "late")
	}
	is.Equal(a.Stats().Connects, before) // on the connection of the late answer
}

// TestSlowReaderBlocksNobody stops reading from one connection: senders to it
// return at once, and another peer is served.
func TestSlowReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	a, _, p := pair(t, impatient)
	c := start(t, "c", "secret", impatient, peer.Peer{Name: "a", Addr: a.Addr()})
	a.SetPeers([]peer.Peer{{Name: "b", Addr: p.addr()}, {Name: "c", Addr: c.Addr()}})
	eventually(t, func() bool { return a.Reachable("c") })
	p.stall()
	large := make([]byte, 16<<10)
	for a.Notify("b", "note", large) {
		continue // until the queue is full or the connection replaced
	}
	is.True(a.Stats().Dropped > 0)
	var answer string
	is.NoErr(a.Call(within(t, patience), "c", "echo", 1, &answer))
	eventually(t, func() bool { return a.Reachable("b") }) // replaced
}

// proxy forwards connections and can spoil those that are open.
type proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup
	mu       sync.Mutex
	pipes    []*pipe
}

type pipe struct {
	in, out          net.Conn
	dropTo, dropFrom atomic.Bool
	stalled          atomic.Bool
	closed           chan struct{}
	once             sync.Once
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
		p.each(func(pp *pipe) { pp.close() })
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
		p.wg.Go(func() { pp.copy(in, out, &pp.dropTo) })
		p.wg.Go(func() { pp.copy(out, in, &pp.dropFrom) })
	}
}

func (p *proxy) each(fn func(*pipe)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pp := range p.pipes {
		fn(pp)
	}
}

// dropExisting discards what the open connections carry in a direction, ends
// of stream included.
func (p *proxy) dropExisting(to, from bool) {
	p.each(func(pp *pipe) {
		pp.dropTo.Store(to)
		pp.dropFrom.Store(from)
	})
}

// stall stops reading from the dialing ends of the open connections.
func (p *proxy) stall() { p.each(func(pp *pipe) { pp.stalled.Store(true) }) }

func (pp *pipe) copy(from, to net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if from == pp.in && pp.stalled.Load() {
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

// TestConnectionsEndWhileRecordsArrive ends connections at the serving end while
// the other end sends all the time.
func TestConnectionsEndWhileRecordsArrive(t *testing.T) {
	const ends = 60
	a, b, _ := pair(t, patient)
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
		eventually(t, func() bool { return a.Reachable("b") })
		before := a.Stats().Connects
		b.SetPeers(nil)
		b.SetPeers(listed)
		eventually(t, func() bool { return a.Stats().Connects > before })
	}
	close(stop)
	sending.Wait()
}
