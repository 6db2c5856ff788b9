package connlimit

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Phases of a connection with HTTP. Others have none.
const (
	// phaseHead lasts from the first byte of a request, or the start of the connection, to the end of the head.
	phaseHead uint32 = iota + 1
	// phaseBody lasts until the whole body was read, and phaseRunning until the answer was written.
	phaseBody
	phaseRunning
	phaseIdle
	// phaseFailed begins when the server gave up a head that was incomplete. It may keep the connection for a while, for the caller to
	// read why.
	phaseFailed
)

const (
	// headSlack is added to the limit of a head: configurations may leave out what frames the header fields.
	headSlack = 4 << 10
	// headTimeSlack is added to the time for a head: it counts at the caller, and a lost packet takes a second.
	headTimeSlack = time.Second
	// refusalTimeout bounds how long a refused caller may go on sending. A connection that is closed with unread bytes is
	// reset, which may lose the refusal.
	refusalTimeout = 500 * time.Millisecond
	// refusalBytes bounds what a refused caller may go on sending.
	refusalBytes = 64 << 10
)

// Refusals. All close the connection, and the request has not run.
const (
	answerTooSlow  = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerFull     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// errRefused ends a connection that was refused. net/http answers no error of reading.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection exceeds a limit")}

// Conn is a connection within the limits of its listener.
type Conn struct {
	net.Conn
	listener *listener
	address  string
	phase    atomic.Uint32

	// scan, wholeHead, rest and refused are used by Read, which net/http never runs twice at once. rest was received after the end of
	// a head.
	scan headScanner
	// wholeHead is set once the head of the current request was read to its end.
	wholeHead bool
	rest      []byte
	// refused is set once the connection was refused: net/http may read on after an error.
	refused bool

	// write bounds the writing of answers.
	write writeState
	// bodyBytes counts what was received of the body of the current request.
	bodyBytes atomic.Int64
	// awaited is since when the server has waited for bytes of a body, as a Unix time in nanoseconds; zero while it does not.
	awaited atomic.Int64
	// heldBack is since when the server has not read the body because it has no memory for it, as a Unix time in nanoseconds; zero
	// while it reads. heldBackBefore is how long it did not read the current body for this earlier, in nanoseconds.
	heldBack, heldBackBefore atomic.Int64

	// The fields below are protected by the guard's mu.
	in         *connList
	prev, next *Conn
	// since is when the request became incomplete or the connection idle.
	since time.Time
	// started is set once the head has a first byte.
	started bool
	held    int64
	// forgotten is set once the connection no longer counts.
	forgotten bool
}

// describe returns a cut of the connection. The caller holds the guard's mu.
func (c *Conn) describe(cause Cause) Cut {
	cut := Cut{Cause: cause, Listener: c.listener.opts.Name, Remote: c.RemoteAddr().String(), Held: c.held}
	if !c.since.IsZero() {
		cut.Age = time.Since(c.since)
	}
	return cut
}

// forget ends the accounting of a connection. The caller holds the guard's mu.
func (c *Conn) forget() {
	if c.forgotten {
		return
	}
	c.forgotten = true
	c.release()
	c.leaveList()
	l := c.listener
	l.open--
	l.guard.open--
	if c.address == "" {
		return
	}
	if l.perAddress[c.address]--; l.perAddress[c.address] == 0 {
		delete(l.perAddress, c.address)
	}
}

// holdBack tells that the server does not read the current body, if there is one, until resume.
func (c *Conn) holdBack(now time.Time) {
	if c.phase.Load() == phaseBody {
		c.heldBack.CompareAndSwap(0, now.UnixNano())
	}
}

func (c *Conn) resume() {
	if since := c.heldBack.Swap(0); since != 0 {
		c.heldBackBefore.Add(time.Now().UnixNano() - since)
	}
}

// sendingTime returns how long the caller could send of its body. The caller of sendingTime holds the guard's mu.
func (c *Conn) sendingTime(now time.Time) time.Duration {
	until := now.UnixNano()
	if since := c.heldBack.Load(); since != 0 {
		until = since
	}
	return time.Duration(until - c.since.UnixNano() - c.heldBackBefore.Load())
}

// release gives back the memory of the head. The caller holds the guard's mu.
func (c *Conn) release() {
	c.listener.guard.heads -= c.held
	c.held = 0
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	g := c.listener.guard
	g.mu.Lock()
	c.forget()
	g.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the writing side, as net/http does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Establish marks a connection without HTTP as complete: its handshake is over.
func (c *Conn) Establish() {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.leaveList()
}

// enter changes the phase of a connection, which goes to the end of list.
func (c *Conn) enter(phase uint32, list *connList) {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.phase.Store(phase)
	if c.forgotten {
		return
	}
	if phase == phaseIdle || phase == phaseFailed {
		c.release()
		c.started = false
	}
	c.wait(list)
}

// Read implements net.Conn. While a head is read, it returns no byte beyond the end of the head.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	if c.phase.Load() == phaseIdle {
		if err := c.awaitReader(); err != nil {
			return 0, err
		}
	}
	var n int
	var err error
	fromRest := len(c.rest) > 0
	if fromRest {
		n = copy(p, c.rest)
	} else {
		if c.phase.Load() == phaseBody {
			c.awaited.Store(time.Now().UnixNano())
		}
		n, err = c.Conn.Read(p)
		c.awaited.Store(0)
	}
	phase := c.phase.Load()
	if phase != phaseHead && phase != phaseIdle {
		if fromRest {
			c.keep(c.rest[n:])
		}
		if phase == phaseBody {
			c.bodyBytes.Add(int64(n))
		}
		return n, err
	}
	if n == 0 {
		return 0, c.headFailed(err)
	}
	limits := c.listener.opts.Limits().withDefaults()
	begins, linesBefore := c.scan.bytes == 0, c.scan.lines
	taken, ended := c.scan.next(p[:n])
	switch {
	case fromRest:
		c.keep(c.rest[taken:])
	case taken < n:
		c.rest = bytes.Clone(p[taken:n])
	}
	c.phase.Store(phaseHead)
	tooLarge := c.scan.bytes > limits.HeadBytes+headSlack
	c.wholeHead = ended && !tooLarge
	if !c.listener.guard.charge(c, headByteCost*int64(taken)+headLineCost*(c.scan.lines-linesBefore), begins) {
		return 0, c.refuse(answerFull, false)
	}
	if tooLarge {
		c.tell(HeadTooLarge)
		return 0, c.refuse(answerTooLarge, true)
	}
	if begins && !ended && err == nil {
		err = c.Conn.SetReadDeadline(time.Now().Add(limits.HeadTime + headTimeSlack))
	}
	return taken, err
}

// keep sets what is left of rest.
func (c *Conn) keep(rest []byte) {
	if c.rest = rest; len(rest) == 0 {
		c.rest = nil
	}
}

// headFailed refuses a head that took too long. It returns the error that ends the connection.
func (c *Conn) headFailed(err error) error {
	if c.scan.bytes == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.tell(HeadTooSlow)
	return c.refuse(answerTooSlow, false)
}

// tell tells that the connection is about to be closed, unless it was closed to make room for others.
func (c *Conn) tell(cause Cause) {
	g := c.listener.guard
	g.mu.Lock()
	told := c.forgotten
	cut := c.describe(cause)
	g.mu.Unlock()
	if !told {
		g.cut(cut)
	}
}

// refuse answers a request whose head is incomplete, and returns the error that ends the connection. If it awaits the caller, the
// connection stays open until the caller has ended or refusalTimeout has passed.
func (c *Conn) refuse(answer string, await bool) error {
	c.refused, c.wholeHead, c.rest = true, false, nil
	// The caller may be gone, or its connection closed to make room: it gets no answer then.
	if c.SetDeadline(time.Now().Add(refusalTimeout)) != nil {
		return errRefused
	}
	if _, err := io.WriteString(c.Conn, answer); err == nil && await && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, refusalBytes)
	}
	return errRefused
}

// SetReadDeadline implements net.Conn. While the caller is to send a head, the limits may bring the deadline forward.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		if latest, bounded := c.latestHead(); bounded && latest.Before(t) {
			t = latest
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// latestHead returns by when the head must have arrived, or its first byte.
func (c *Conn) latestHead() (latest time.Time, bounded bool) {
	if phase := c.phase.Load(); phase != phaseHead && phase != phaseIdle {
		return time.Time{}, false
	}
	limits := c.listener.opts.Limits().withDefaults()
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.started {
		return c.since.Add(limits.HeadTime + headTimeSlack), true
	}
	return c.since.Add(limits.IdleTime), true
}
