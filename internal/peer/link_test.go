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

// valve passes bytes, or swallows them without an error.
type valve struct {
	net.Conn
	mu     sync.Mutex
	closed bool
}

func (v *valve) shut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
}

func (v *valve) Write(p []byte) (int, error) {
	v.mu.Lock()
	closed := v.closed
	v.mu.Unlock()
	if closed {
		return len(p), nil
	}
	return v.Conn.Write(p)
}

// Close leaves the other end open, as where the end of stream is lost too.
func (v *valve) Close() error { return v.SetReadDeadline(time.Unix(1, 0)) }

// TestBothEndsNoticeSilenceInTime cuts one direction, including the end of
// stream, in virtual time.
func TestBothEndsNoticeSilenceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timing := Timing{}.withDefaults()
		left, right := net.Pipe()
		defer left.Close()
		defer right.Close()
		ends := []*valve{{Conn: left}, {Conn: right}}
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
		// The other direction is busy.
		wg.Go(func() {
			for links[1].Send([]byte("{}")) == nil {
				time.Sleep(time.Millisecond)
			}
		})
		time.Sleep(10 * time.Second)
		is.True(links[0].alive() && links[1].alive())

		ends[0].shut()
		start := time.Now()
		wg.Wait()
		is.True(time.Since(start) <= timing.Silence+2*timing.Heartbeat)
	})
}

// TestSilenceWithinARecordIsNoticed stops in the middle of a record.
func TestSilenceWithinARecordIsNoticed(t *testing.T) {
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
		is.True(time.Since(start) <= timing.Silence+2*timing.Heartbeat)
	})
}
