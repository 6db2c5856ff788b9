package faultproxy

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// target accepts connections and hands them to the test.
func target(t *testing.T) (string, chan *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	accepted := make(chan *net.TCPConn, 16)
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn.(*net.TCPConn)
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		wait.Wait()
	})
	return listener.Addr().String(), accepted
}

// pair is a proxied connection seen from both ends.
type pair struct {
	client, target *net.TCPConn
}

// start makes a proxy and a function that opens connections through it.
func start(t *testing.T) (*Proxy, func() pair) {
	t.Helper()
	is := is.New(t)
	addr, accepted := target(t)
	p, err := New(addr)
	is.NoErr(err)
	t.Cleanup(p.Close)
	return p, func() pair {
		client, err := net.Dial("tcp", p.Addr())
		is.NoErr(err)
		conns := pair{client: client.(*net.TCPConn), target: <-accepted}
		t.Cleanup(func() {
			_ = conns.client.Close()
			_ = conns.target.Close()
		})
		return conns
	}
}

// say writes text at one end.
func say(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	is.New(t).NoErr(err)
}

// hear reads as many bytes as text has and compares them.
func hear(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	is := is.New(t)
	got := make([]byte, len(text))
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	_, err := io.ReadFull(conn, got)
	is.NoErr(err)
	is.Equal(string(got), text)
}

// silent checks that nothing arrives for a while, the end included.
func silent(t *testing.T, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	n, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	is.Equal(n, 0)
	is.True(errors.As(err, &timeout) && timeout.Timeout()) // silent, not closed
}

// readEnd reads up to the end and returns what came and how it ended.
func readEnd(t *testing.T, conn net.Conn) (string, error) {
	t.Helper()
	is.New(t).NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	all, err := io.ReadAll(conn)
	return string(all), err
}

func TestRelaysBothWaysAndHalfCloses(t *testing.T) {
	is := is.New(t)
	_, open := start(t)
	c := open()
	say(t, c.client, "question")
	is.NoErr(c.client.CloseWrite())
	text, err := readEnd(t, c.target)
	is.NoErr(err)
	is.Equal(text, "question")
	say(t, c.target, "answer")
	is.NoErr(c.target.Close())
	text, err = readEnd(t, c.client)
	is.NoErr(err)
	is.Equal(text, "answer")
}

func TestResetReachesBothEnds(t *testing.T) {
	is := is.New(t)
	p, open := start(t)
	c := open()
	say(t, c.client, "x")
	hear(t, c.target, "x")
	p.Reset()
	_, err := readEnd(t, c.client)
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = readEnd(t, c.target)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

func TestExistingConnectionsGoSilentWhileNewOnesWork(t *testing.T) {
	is := is.New(t)
	p, open := start(t)
	old := open()
	say(t, old.client, "x")
	hear(t, old.target, "x")
	p.SetExisting(Silent())
	say(t, old.client, "lost")
	say(t, old.target, "lost")
	silent(t, old.client)
	silent(t, old.target)
	is.NoErr(old.target.Close())
	silent(t, old.client) // the end is not told either

	fresh := open()
	say(t, fresh.client, "works")
	hear(t, fresh.target, "works")
}

func TestOneDirectionGoesSilent(t *testing.T) {
	p, open := start(t)
	p.SetLater(Rules{ToClient: Rule{Drop: true}})
	c := open()
	say(t, c.client, "arrives")
	hear(t, c.target, "arrives")
	say(t, c.target, "lost")
	silent(t, c.client)
}

func TestHeldBytesArriveAfterHealing(t *testing.T) {
	p, open := start(t)
	c := open()
	p.SetAll(Rules{ToTarget: Rule{Hold: true}})
	say(t, c.client, "late")
	silent(t, c.target)
	p.SetAll(Rules{})
	hear(t, c.target, "late")
}

func TestDelay(t *testing.T) {
	is := is.New(t)
	p, open := start(t)
	p.SetLater(Rules{ToTarget: Rule{Delay: 30 * time.Millisecond}})
	c := open()
	begin := time.Now()
	say(t, c.client, "slow")
	hear(t, c.target, "slow")
	is.True(time.Since(begin) >= 30*time.Millisecond)
}

func TestTruncateAndResetAfterBytes(t *testing.T) {
	is := is.New(t)
	p, open := start(t)
	p.SetLater(Rules{ToClient: Rule{TruncateAfter: 4}})
	c := open()
	say(t, c.target, "whole answer")
	text, err := readEnd(t, c.client)
	is.NoErr(err) // a clean end
	is.Equal(text, "whol")
	say(t, c.client, "still open")
	hear(t, c.target, "still open")

	p.SetLater(Rules{ToTarget: Rule{ResetAfter: 3}})
	c = open()
	say(t, c.client, "question")
	_, err = readEnd(t, c.client)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

func TestHalfCloseOfOneConnection(t *testing.T) {
	is := is.New(t)
	p, open := start(t)
	c := open()
	say(t, c.client, "x")
	hear(t, c.target, "x")
	p.Conns()[0].HalfClose(ToClient)
	_, err := readEnd(t, c.client)
	is.NoErr(err)
	say(t, c.client, "still open")
	hear(t, c.target, "still open")
}

func TestRefusedConnections(t *testing.T) {
	is := is.New(t)
	p, _ := start(t)
	p.SetRefuse(true)
	// The reset may reach the client while it still connects.
	conn, err := net.Dial("tcp", p.Addr())
	if err == nil {
		defer conn.Close()
		_, err = readEnd(t, conn)
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(p.Opened(), 0)
}
