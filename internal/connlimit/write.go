package connlimit

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// writeTime is how long a caller may take to read writeChunk bytes of its answer beyond what the system buffers.
	writeTime  = 60 * time.Second
	writeChunk = 64 << 10
	// blockedTime is how long a caller must have read nothing of its answer for its connection to make room for others.
	blockedTime = 100 * time.Millisecond
)

// writeState bounds the writing of answers. All times are Unix times in nanoseconds, or zero.
type writeState struct {
	// since is when the current write began, and until the deadline in force.
	since, until atomic.Int64
	// server is the deadline that the server or its handler set.
	server atomic.Int64
	// sent counts bytes since it was last found out how many of them are unread.
	sent atomic.Int64
}

// Write implements net.Conn. A refusal is the last answer: net/http may answer what there is of a head.
func (c *Conn) Write(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	if !c.listener.isHTTP {
		return c.Conn.Write(p)
	}
	defer c.write.since.Store(0)
	for written := 0; ; {
		now := time.Now().UnixNano()
		c.write.since.Store(now)
		if c.write.until.Load()-now < int64(writeTime/2) {
			if err := c.extendWrite(now); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeChunk)])
		written += n
		c.write.sent.Add(int64(n))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.tell(AnswerUnread)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// extendWrite puts the deadline off to writeTime after now, at most to that of the server.
func (c *Conn) extendWrite(now int64) error {
	until := now + int64(writeTime)
	if server := c.write.server.Load(); server != 0 {
		until = min(until, server)
	}
	if until == c.write.until.Swap(until) {
		return nil
	}
	return c.Conn.SetWriteDeadline(time.Unix(0, until))
}

// SetWriteDeadline implements net.Conn. A later deadline than that of the limits has no effect, and neither has none.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if !c.listener.isHTTP {
		return c.Conn.SetWriteDeadline(t)
	}
	if t.IsZero() {
		if c.write.server.Swap(0) != 0 {
			c.write.until.Store(0)
		}
		return nil
	}
	c.write.server.Store(t.UnixNano())
	c.write.until.Store(0)
	return c.extendWrite(time.Now().UnixNano())
}

// oldestBlocked returns the connection whose caller has read nothing of its answer for longest; nil if no caller has read nothing for
// blockedTime. The caller holds the guard's mu.
func (l *listener) oldestBlocked() *Conn {
	earliest := time.Now().Add(-blockedTime).UnixNano()
	var oldest *Conn
	for at := l.running.front; at != nil; at = at.next {
		if since := at.write.since.Load(); since != 0 && since < earliest {
			oldest, earliest = at, since
		}
	}
	return oldest
}
