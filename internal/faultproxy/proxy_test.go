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

// startTarget starts a listener. It returns its address and a channel of the accepted
// connections.
func startTarget(t *testing.T) (string, chan *net.TCPConn) {
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

// connPair holds both ends of a proxied connection.
type connPair struct {
	client, target *net.TCPConn
}

// startProxy starts a proxy in front of a new target and returns it with a function that
// opens connections through it.
func startProxy(t *testing.T) (*Proxy, func() connPair) {
	t.Helper()
	is := is.New(t)
	addr, accepted := startTarget(t)
	p, err := New(addr)
	is.NoErr(err)
	t.Cleanup(p.Close)
	return p, func() connPair {
		client, err := net.Dial("tcp", p.Addr())
		is.NoErr(err)
		conns := connPair{client: client.(*net.TCPConn), target: <-accepted}
		t.Cleanup(func() {
			_ = conns.client.Close()
			_ = conns.target.Close()
		})
		return conns
	}
}

// writeText writes text to a connection.
func writeText(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	is.New(t).NoErr(err)
}

// expectText reads len(text) bytes and compares them with text.
func expectText(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	is := is.New(t)
	got := make([]byte, len(text))
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	_, err := io.ReadFull(conn, got)
	is.NoErr(err)
	is.Equal(string(got), text)
}

// expectSilence checks that neither a byte nor the end of the stream arrives within 50 ms.
func expectSilence(t *testing.T, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	n, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	is.Equal(n, 0)
	is.True(errors.As(err, &timeout) && timeout.Timeout()) // silent, not closed
}

// readEnd reads to the end of the stream. It returns the text and the error that ended
// it, nil for a clean end.
func readEnd(t *testing.T, conn net.Conn) (string, error) {
	t.Helper()
	is.New(t).NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	all, err := io.ReadAll(conn)
	return string(all), err
}

func TestRelaysBothWaysAndHalfCloses(t *testing.T) {
	is := is.New(t)
	_, open := startProxy(t)
	c := open()
	writeText(t, c.client, "question")
	is.NoErr(c.client.CloseWrite())
	text, err := readEnd(t, c.target)
	is.NoErr(err)
	is.Equal(text, "question")
	writeText(t, c.target, "answer")
	is.NoErr(c.target.Close())
	text, err = readEnd(t, c.client)
	is.NoErr(err)
	is.Equal(text, "answer")
}

func TestResetReachesBothEnds(t *testing.T) {
	is := is.New(t)
	p, open := startProxy(t)
	c := open()
	writeText(t, c.client, "x")
	expectText(t, c.target, "x")
	p.Reset()
	_, err := readEnd(t, c.client)
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = readEnd(t, c.target)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

func TestSilentExistingConnections(t *testing.T) {
	is := is.New(t)
	p, open := startProxy(t)
	old := open()
	writeText(t, old.client, "x")
	expectText(t, old.target, "x")
	p.SetExisting(Silent())
	writeText(t, old.client, "lost")
	writeText(t, old.target, "lost")
	expectSilence(t, old.client)
	expectSilence(t, old.target)
	is.NoErr(old.target.Close())
	expectSilence(t, old.client) // the end of the stream is hidden too

	fresh := open()
	writeText(t, fresh.client, "works")
	expectText(t, fresh.target, "works")
}

func TestSilentDirection(t *testing.T) {
	p, open := startProxy(t)
	p.SetLater(Rules{ToClient: Rule{Drop: true}})
	c := open()
	writeText(t, c.client, "arrives")
	expectText(t, c.target, "arrives")
	writeText(t, c.target, "lost")
	expectSilence(t, c.client)
}

func TestHeldBytesArriveAfterRelease(t *testing.T) {
	p, open := startProxy(t)
	c := open()
	p.SetAll(Rules{ToTarget: Rule{Hold: true}})
	writeText(t, c.client, "late")
	expectSilence(t, c.target)
	p.SetAll(Rules{})
	expectText(t, c.target, "late")
}

func TestDelay(t *testing.T) {
	is := is.New(t)
	p, open := startProxy(t)
	p.SetLater(Rules{ToTarget: Rule{Delay: 30 * time.Millisecond}})
	c := open()
	begin := time.Now()
	writeText(t, c.client, "slow")
	expectText(t, c.target, "slow")
	is.True(time.Since(begin) >= 30*time.Millisecond)
}

func TestTruncateAndResetAfterBytes(t *testing.T) {
	is := is.New(t)
	p, open := startProxy(t)
	p.SetLater(Rules{ToClient: Rule{TruncateAfter: 4}})
	c := open()
	writeText(t, c.target, "whole answer")
	text, err := readEnd(t, c.client)
	is.NoErr(err) // a clean end
	is.Equal(text, "whol")
	writeText(t, c.client, "still open")
	expectText(t, c.target, "still open")

	p.SetLater(Rules{ToTarget: Rule{ResetAfter: 3}})
	c = open()
	writeText(t, c.client, "question")
	_, err = readEnd(t, c.client)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

func TestHalfCloseOfOneDirection(t *testing.T) {
	is := is.New(t)
	p, open := startProxy(t)
	c := open()
	writeText(t, c.client, "x")
	expectText(t, c.target, "x")
	p.Conns()[0].HalfClose(ToClient)
	_, err := readEnd(t, c.client)
	is.NoErr(err)
	writeText(t, c.client, "still open")
	expectText(t, c.target, "still open")
}

func TestRefusedConnections(t *testing.T) {
	is := is.New(t)
	p, _ := startProxy(t)
	p.SetRefuse(true)
	// The reset may arrive while the client is still in Dial.
	conn, err := net.Dial("tcp", p.Addr())
	if err == nil {
		defer conn.Close()
		_, err = readEnd(t, conn)
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(p.Opened(), 0)
}
