package upstreamconn

import (
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/boottime"
)

// endsMemory is how long an end of a connection to an address counts together with later ones.
const endsMemory = 10 * time.Second

// Ending is how a connection ended that might have told for longer that its upstream has not started again.
type Ending uint8

// The endings, the most telling last.
const (
	// NoEnding means that none did.
	NoEnding Ending = iota
	// Aborted means that this node ended it in the middle of an answer.
	Aborted
	// EndedByUpstream means that the upstream ended it while it carried no call, before its idle time was over.
	EndedByUpstream
)

// ends tells of the connections to one address that ended. The times are on the clock of package boottime.
type ends struct {
	// aliveAt is the earliest time at which one of them is last known to have been open, and foundAt when the latest
	// was found ended in each way; zero if there is none.
	aliveAt time.Duration
	foundAt [EndedByUpstream + 1]time.Duration
}

// since returns the most telling ending that was found after the given time.
func (e *ends) since(t time.Duration) Ending {
	for how := EndedByUpstream; how > NoEnding; how-- {
		if e.foundAt[how] > max(t, 0) {
			return how
		}
	}
	return NoEnding
}

// noteEnd records the end of the connection.
func (c *Conn) noteEnd(how Ending) {
	aliveAt, now := time.Duration(c.source.readAt.Load()), boottime.Now()
	if aliveAt == 0 || c.retiring() {
		return // it may never have reached the upstream, or the node that it leads through ended it
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	h := c.pool.hosts[c.addr]
	if h == nil {
		return // the address is no longer used
	}
	e := &h.ends
	if e.since(now-endsMemory) == NoEnding {
		e.aliveAt = aliveAt
	}
	e.aliveAt, e.foundAt[how] = min(e.aliveAt, aliveAt), now
}

// noteReadError records that the upstream ended a kept connection, if that is what a failed read means: it was in use
// again, and no byte of the answer came.
func (c *Conn) noteReadError(err error) {
	ended := errors.IsAny(err, io.EOF, syscall.ECONNRESET)
	if ended && !c.closed.Load() && c.reused() && time.Duration(c.source.readAt.Load()) < c.sentAt {
		c.noteEnd(EndedByUpstream)
	}
}

// Abort closes the connection in the middle of a call.
func (c *Conn) Abort() {
	if !c.closed.Load() {
		c.noteEnd(Aborted)
	}
	c.Close()
}

// MayBeOfNextProcess reports whether the process at the other end may have started after the time since, on the clock of
// package boottime: the connection was opened later, and none of those from before is left. The end of a process ends
// all its connections. how tells whether more speaks for it than that connections are not kept for ever.
func (c *Conn) MayBeOfNextProcess(since time.Duration) (may bool, how Ending) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.addr]
	if h == nil {
		return false, NoEnding
	}
	if how = h.ends.since(since); how != NoEnding {
		since = max(since, h.ends.aliveAt)
	}
	if c.openedAt <= since {
		return false, NoEnding
	}
	for other := range h.conns {
		if other.openedAt <= since && other.isOpen(h) {
			return false, NoEnding
		}
	}
	return true, how
}

// isOpen reports whether a connection of the host is not known to have ended. The pool is locked.
func (c *Conn) isOpen(h *host) bool {
	if c.closed.Load() {
		return false
	}
	if !slices.Contains(h.idle, c) {
		return true // whoever reads from it notices its end
	}
	open, _ := c.peek()
	return open
}
