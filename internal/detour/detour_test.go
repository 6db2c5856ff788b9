package detour_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/detour"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

const secret = "0123456789abcdef"

// listen starts a TCP server whose connections are handled by handle.
func listen(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return l.Addr().String()
}

// helper starts a node that accepts detours to the given upstreams.
func helper(t *testing.T, dial upstreamconn.Dial, upstreams ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	paths := detour.NewPaths(dial, nil, func(bool) {})
	s := &detour.Server{Secret: secret, Paths: paths, Serves: func(addr string) bool {
		for _, u := range upstreams {
			if u == addr {
				return true
			}
		}
		return false
	}}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func echo(conn net.Conn) {
	_, _ = io.Copy(conn, conn)
	conn.Close()
}

func client(secret string, helpers ...string) *detour.Client {
	c := detour.NewClient(secret)
	c.SetHelpers(helpers)
	return c
}

var direct = upstreamconn.NewDial(time.Second)

func TestDetourCarriesBytesBothWays(t *testing.T) {
	is := is.New(t)
	upstream := listen(t, echo)
	conn, err := client(secret, helper(t, direct, upstream)).Dial(t.Context(), upstream)
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("hello"))
	is.NoErr(err)
	got := make([]byte, 5)
	_, err = io.ReadFull(conn, got)
	is.NoErr(err)
	is.Equal(string(got), "hello")
}

// TestResetOfUpstreamIsPassedOn guards against an answer that ends with its connection and was reset on
// the way: it must not look complete.
func TestResetOfUpstreamIsPassedOn(t *testing.T) {
	is := is.New(t)
	for wantReset, end := range map[bool]func(*net.TCPConn){
		true:  func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
		false: func(c *net.TCPConn) { c.Close() },
	} {
		upstream := listen(t, func(conn net.Conn) {
			_, _ = conn.Write([]byte("part"))
			time.Sleep(50 * time.Millisecond)
			end(conn.(*net.TCPConn))
		})
		conn, err := client(secret, helper(t, direct, upstream)).Dial(t.Context(), upstream)
		is.NoErr(err)
		_, err = io.ReadAll(conn)
		is.Equal(errors.Is(err, syscall.ECONNRESET), wantReset)
		conn.Close()
	}
}

// TestEndOfCallerReachesUpstream guards against upstreams that go on working for a caller who has left.
func TestEndOfCallerReachesUpstream(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	upstream := listen(t, func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		close(left)
	})
	conn, err := client(secret, helper(t, direct, upstream)).Dial(t.Context(), upstream)
	is.NoErr(err)
	conn.Close()
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream did not learn that the caller left")
	}
}

func TestDetourIsRefused(t *testing.T) {
	is := is.New(t)
	var reached atomic.Bool
	upstream := listen(t, func(conn net.Conn) { reached.Store(true); conn.Close() })
	for _, c := range []*detour.Client{
		client(secret, helper(t, direct)),                               // not an upstream
		client("another secret 1", helper(t, direct, upstream)),         // not one of the nodes
		client(secret, listen(t, func(conn net.Conn) { conn.Close() })), // no helper at all
		client(secret),
	} {
		_, err := c.Dial(t.Context(), upstream)
		is.True(err != nil)
	}
	is.True(!reached.Load())
}

// TestNodesThatCannotHelpArePassedOver has most of the other nodes cut off, too.
func TestNodesThatCannotHelpArePassedOver(t *testing.T) {
	is := is.New(t)
	upstream := listen(t, echo)
	hang := listen(t, func(conn net.Conn) { time.Sleep(5 * time.Second); conn.Close() })
	c := client(secret, helper(t, direct), helper(t, direct), helper(t, direct), hang, helper(t, direct, upstream))
	served := 0
	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		if conn, err := c.Dial(ctx, upstream); err == nil {
			served++
			conn.Close()
		}
		cancel()
	}
	is.True(served >= 18)
}

// TestPathsTellCutOffNodeFromCrashedUpstreams fails connections to one, and then to two upstreams. Detours
// are taken to those alone, and no more once a connection succeeds.
func TestPathsTellCutOffNodeFromCrashedUpstreams(t *testing.T) {
	is := is.New(t)
	failing := map[string]bool{"a": true}
	var directly, detoured []string
	_, end := net.Pipe()
	paths := detour.NewPaths(func(_ context.Context, addr string) (net.Conn, error) {
		directly = append(directly, addr)
		if failing[addr] {
			return nil, syscall.ECONNREFUSED
		}
		return end, nil
	}, func(_ context.Context, addr string) (net.Conn, error) {
		detoured = append(detoured, addr)
		return end, nil
	}, func(bool) {})
	_, err := paths.Dial(t.Context(), "a")
	is.True(err != nil)
	_, err = paths.Dial(t.Context(), "b")
	is.NoErr(err)
	is.Equal(len(detoured), 0)
	failing["b"] = true
	_, err = paths.Dial(t.Context(), "a")
	is.True(err != nil)
	_, err = paths.Dial(t.Context(), "b")
	is.NoErr(err)
	is.Equal(detoured, []string{"b"})
	is.True(paths.Blocked("a") && paths.Blocked("b") && !paths.Blocked("c"))
	directly = nil
	_, err = paths.Dial(t.Context(), "a")
	is.NoErr(err)
	is.Equal(len(directly), 0)
	_, err = paths.Dial(t.Context(), "c")
	is.NoErr(err)
	is.Equal(directly, []string{"c"})
	is.True(!paths.Blocked("a"))
}

// TestHelpersThatAreCutOffAreRecognized has five of six other nodes cut off too, which have not noticed it.
// They must not make sound upstreams seem to be unreachable.
func TestHelpersThatAreCutOffAreRecognized(t *testing.T) {
	is := is.New(t)
	const upstreams = 40
	var addrs, helpers []string
	for range upstreams {
		addrs = append(addrs, listen(t, echo))
	}
	cutOff := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	for _, dial := range []upstreamconn.Dial{direct, cutOff, cutOff, cutOff, cutOff, cutOff} {
		helpers = append(helpers, helper(t, dial, addrs...))
	}
	c := client(secret, helpers...)
	served := 0
	for _, addr := range addrs {
		if conn, err := c.Dial(t.Context(), addr); err == nil {
			served++
			conn.Close()
		}
	}
	t.Logf("%d of %d upstreams were reached", served, upstreams)
	is.True(3*served >= 2*upstreams)
}

// failingListener fails to accept a connection some times, as a process without free descriptors does.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// TestServerOutlastsLackOfDescriptors guards against a node that ends because it cannot accept a detour for a moment.
func TestServerOutlastsLackOfDescriptors(t *testing.T) {
	is := is.New(t)
	upstream := listen(t, echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	failing := &failingListener{Listener: l}
	failing.failures.Store(1)
	var failed atomic.Int32
	s := &detour.Server{
		Secret: secret, Paths: detour.NewPaths(direct, nil, func(bool) {}), Serves: func(string) bool { return true },
		Failed: func(error) { failed.Add(1) },
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(failing) }()
	conn, err := client(secret, l.Addr().String()).Dial(t.Context(), upstream)
	is.NoErr(err)
	conn.Close()
	is.Equal(failed.Load(), int32(1))
	l.Close()
	is.NoErr(<-ended)
}

// TestDetoursTakeMemory has a node with memory for one detour help, and another one when it is full. An open detour stays.
func TestDetoursTakeMemory(t *testing.T) {
	is := is.New(t)
	upstream := listen(t, echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	memory := bodybuffer.NewBudget(20 << 10)
	s := &detour.Server{
		Secret: secret, Paths: detour.NewPaths(direct, nil, func(bool) {}), Serves: func(string) bool { return true }, Memory: memory,
	}
	go func() { _ = s.Serve(l) }()
	full := l.Addr().String()
	first, err := client(secret, full).Dial(t.Context(), upstream)
	is.NoErr(err)
	is.True(memory.UsedFor(bodybuffer.Detours) > 0)
	_, err = client(secret, full).Dial(t.Context(), upstream)
	is.True(err != nil)
	second, err := client(secret, full, helper(t, direct, upstream)).Dial(t.Context(), upstream)
	is.NoErr(err)
	second.Close()
	_, err = first.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadFull(first, make([]byte, 1))
	is.NoErr(err)
	first.Close()
	for memory.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
	third, err := client(secret, full).Dial(t.Context(), upstream)
	is.NoErr(err)
	third.Close()
}

// TestCallerWhoLeavesDoesNotPauseHelper has a caller leave while the only helper connects to an upstream that does not
// answer. The next caller must be helped at once.
func TestCallerWhoLeavesDoesNotPauseHelper(t *testing.T) {
	is := is.New(t)
	upstream := listen(t, echo)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == upstream {
			return direct(ctx, addr)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c := client(secret, helper(t, dial, upstream, "192.0.2.1:80"))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Dial(ctx, "192.0.2.1:80")
	is.True(err != nil)
	conn, err := c.Dial(t.Context(), upstream)
	is.NoErr(err)
	conn.Close()
}

// TestCrashedUpstreamsAreNoIsolation has a quarter of the upstreams crash at once. A node with few calls, of which all
// meet crashed ones, must not count as cut off; a node whose connections all fail must.
func TestCrashedUpstreamsAreNoIsolation(t *testing.T) {
	is := is.New(t)
	var crashed, sound []string
	for i := range 60 {
		if name := fmt.Sprint(i); i%4 == 0 {
			crashed = append(crashed, name)
		} else {
			sound = append(sound, name)
		}
	}
	cutOff := false
	var conclusions []bool
	paths := detour.NewPaths(func(_ context.Context, addr string) (net.Conn, error) {
		if cutOff || slices.Contains(crashed, addr) {
			return nil, syscall.ECONNREFUSED
		}
		conn, _ := net.Pipe()
		return conn, nil
	}, func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }, func(cutOff bool) { conclusions = append(conclusions, cutOff) })
	paths.SetWitnesses(func() []string {
		// Several of the first are crashed ones.
		return slices.Concat(crashed[:4], sound, crashed[4:])
	})
	for _, addr := range crashed {
		_, err := paths.Dial(t.Context(), addr)
		is.True(err != nil)
	}
	is.Equal(len(conclusions), 0)
	cutOff = true
	for _, addr := range crashed[:2] {
		_, err := paths.Dial(t.Context(), addr)
		is.True(err != nil)
	}
	is.Equal(conclusions, []bool{true})
	is.True(paths.Blocked(crashed[0]))
}

// TestWitnessesDoNotHoldUpCalls has a call end while witnesses are tried that do not answer.
func TestWitnessesDoNotHoldUpCalls(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var trying, tried atomic.Bool
	paths := detour.NewPaths(func(try context.Context, addr string) (net.Conn, error) {
		if addr != "witness" {
			return nil, syscall.ECONNREFUSED
		}
		trying.Store(true)
		cancel()
		<-try.Done()
		tried.Store(true)
		return nil, try.Err()
	}, func(ctx context.Context, _ string) (net.Conn, error) { return nil, ctx.Err() }, func(bool) {})
	paths.SetWitnesses(func() []string { return []string{"witness"} })
	for _, addr := range []string{"a", "b"} {
		_, err := paths.Dial(ctx, addr)
		is.True(err != nil)
	}
	is.True(trying.Load())
	is.True(!tried.Load())
}
