package peer

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// lossyConn is a connection whose writes silently drop all bytes once startDropping is
// called.
type lossyConn struct {
	net.Conn
	mu       sync.Mutex
	dropping bool
}

func (c *lossyConn) startDropping() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropping = true
}

func (c *lossyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	dropping := c.dropping
	c.mu.Unlock()
	if dropping {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close fails later reads but does not close the connection, so that the other end
// does not see the end of stream, as on a network that lost it.
func (c *lossyConn) Close() error { return c.SetReadDeadline(time.Unix(1, 0)) }

// TestBothEndsNoticeSilenceInTime silently drops one direction of a connection, its end
// of stream included, while the other direction is busy. Both ends must close the link
// within SilenceTimeout plus two Heartbeats. It runs in virtual time.
func TestBothEndsNoticeSilenceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timing := Timing{}.withDefaults()
		left, right := net.Pipe()
		defer left.Close()
		defer right.Close()
		ends := []*lossyConn{{Conn: left}, {Conn: right}}
		var links []*link
		var wg sync.WaitGroup
		for _, end := range ends {
			conn := newProgressConn(end, &counters{})
			l := newLink(conn, conn, timing, &counters{})
			links = append(links, l)
			wg.Go(l.run)
			wg.Go(func() {
				for err := error(nil); err == nil; {
					_, err = l.Recv()
				}
			})
		}
		// Keep the other direction busy.
		wg.Go(func() {
			for links[1].Send([]byte("{}")) == nil {
				time.Sleep(time.Millisecond)
			}
		})
		time.Sleep(10 * time.Second)
		is.True(links[0].alive() && links[1].alive())

		ends[0].startDropping()
		start := time.Now()
		wg.Wait()
		is.True(time.Since(start) <= timing.SilenceTimeout+2*timing.Heartbeat)
	})
}

// TestSilenceWithinRecord checks that a link is closed in time if the peer falls silent
// in the middle of a record.
func TestSilenceWithinRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timing := Timing{}.withDefaults()
		left, right := net.Pipe()
		defer right.Close()
		conn := newProgressConn(left, &counters{})
		l := newLink(conn, conn, timing, &counters{})
		var wg sync.WaitGroup
		wg.Go(l.run)
		wg.Go(func() { _, _ = l.Recv() })
		wg.Go(func() { _, _ = io.Copy(io.Discard, right) })
		time.Sleep(timing.Heartbeat / 2)
		_, err := io.WriteString(right, "Content-Length: 100\r\n\r\n{")
		is.NoErr(err)
		start := time.Now()
		wg.Wait()
		is.True(time.Since(start) <= timing.SilenceTimeout+2*timing.Heartbeat)
	})
}
