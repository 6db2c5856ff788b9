package upstreamconn

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/agateslip/agateslip/internal/boottime"
)

// maxInlineBody is the largest body in bytes that is written before the answer is read.
// Larger ones are written concurrently, because an upstream may answer before it has
// read the whole body.
const maxInlineBody = 4 << 10

// maxPreambleBytes bounds what an upstream may send before the body of the answer to a call:
// its header, interim answers and late answers to other calls.
const maxPreambleBytes = 256 << 10

// Request is one call to an upstream. Header must not contain fields that concern the
// connection or the length of the body.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to an upstream. It is used by one goroutine at a time; only
// Close may be called from any.
type Conn struct {
	pool *Pool
	addr string
	// number counts the connections of the pool, from 1.
	number int
	conn   net.Conn
	reader *bufio.Reader
	// source is what reader reads from.
	source *source
	// lastRead is shared by all connections to the address; see LastRead.
	lastRead *atomic.Int64
	closed   atomic.Bool
	// releases counts how often the connection went back to the pool. mu guards it.
	mu       sync.Mutex
	releases int

	// carried holds the hashes of the IDs of all calls on this connection, the current one last.
	carried []uint64
	// verified is set if the current answer names the call. disturbed is set once an answer to
	// another call arrived.
	verified, disturbed bool

	method string
	// bodyWritten gets the result of a concurrent write of the request body; nil if there
	// is no such write.
	bodyWritten chan error
	// response is the answer that is being read.
	response *http.Response
	// idleUntil is when the idle connection expires.
	idleUntil time.Time
	// openedAt is when the connection was opened, and sentAt when the current call was sent, on the clock of package
	// boottime.
	openedAt, sentAt time.Duration
}

// Provenance tells what is known of the origin of the current answer.
type Provenance struct {
	// Conn is the number of the connection in its pool, from 1. Calls counts the calls that it has carried, the
	// current one included.
	Conn, Calls int
	// Relayed is set if the connection leads through another node.
	Relayed bool
	// Named is set if the answer names the call. Disturbed is set if an answer to another call came on the
	// connection before.
	Named, Disturbed bool
}

// Provenance returns what is known of the origin of the answer that Receive returned last.
func (c *Conn) Provenance() Provenance {
	_, relayed := c.conn.(interface{ Relayed() bool })
	return Provenance{
		Conn: c.number, Calls: len(c.carried), Relayed: relayed, Named: c.verified, Disturbed: c.disturbed,
	}
}

// reused reports whether the connection has carried an earlier call.
func (c *Conn) reused() bool { return len(c.carried) > 1 }

// hasCarried reports whether a call with the given hash of its ID was sent on this connection. An answer to
// that call may still arrive, and could not be told from the answer to another one with the same ID.
func (c *Conn) hasCarried(call uint64) bool { return slices.Contains(c.carried, call) }

// usable reports whether an idle connection is open, not expired, and has no bytes to
// read, which would belong to no call.
func (c *Conn) usable(now time.Time) bool {
	if now.After(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	open, ended := c.peek()
	if ended {
		c.noteEnd(EndedByUpstream)
	}
	return open
}

// peek reports whether an idle connection is open without bytes to read, and whether its upstream has ended it.
func (c *Conn) peek() (open, ended bool) {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		ended = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
		return true
	})
	return err == nil && open, err == nil && ended
}

// Send writes a call. Its error is marked ErrNotSent if no byte was written.
func (c *Conn) Send(r *Request) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return errors.Mark(errors.Wrap(err, "encode header"), ErrNotSent)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n")
	c.method, c.sentAt = r.Method, boottime.Now()
	first := []byte(head.String())
	rest := r.Body
	if len(rest) <= maxInlineBody {
		first, rest = append(first, rest...), nil
	}
	if n, err := c.conn.Write(first); err != nil {
		err = errors.Wrapf(err, "send to %s", c.addr)
		if n == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
		return err
	}
	c.bodyWritten = nil
	if rest != nil {
		c.bodyWritten = make(chan error, 1)
		go func(done chan<- error) {
			_, err := c.conn.Write(rest)
			done <- err
		}(c.bodyWritten)
	}
	return nil
}

// Owner tells to which call an answer belongs.
type Owner uint8

// The owners. An answer that names no call is unidentified.
const (
	ThisCall Owner = iota + 1
	AnotherCall
	Unidentified
)

// errUnidentified means that an answer names no call and may belong to an earlier one.
var errUnidentified = errors.New("answer names no call on a connection that has carried others")

// Receive reads the header of the answer to the call, whose owner the given function tells. It reads and
// discards answers to other calls. It fails if more than maxPreambleBytes come first, or if the answer is
// unidentified and may belong to an earlier call.
func (c *Conn) Receive(owner func(http.Header) Owner) (*http.Response, error) {
	c.source.left = maxPreambleBytes
	defer func() { c.source.left = math.MaxInt64 }()
	request := &http.Request{Method: c.method}
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, errors.Wrapf(err, "read answer from %s", c.addr)
		}
		if err := CheckAnswer(resp); err != nil {
			return nil, errors.Wrap(err, c.addr)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if IsSpliced(resp) {
			return nil, errors.Wrap(errSpliced, c.addr)
		}
		switch by := owner(resp.Header); {
		case by == Unidentified && c.reused():
			return nil, errors.Wrap(errUnidentified, c.addr)
		case by != AnotherCall:
			c.response, c.verified = resp, by == ThisCall
			return resp, nil
		}
		c.disturbed = true
		if resp.Close {
			return nil, errors.Newf("%s answered another call", c.addr)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrapf(err, "discard answer from %s to another call", c.addr)
		}
	}
}

// errSpliced means that the header of one answer ends within that of another.
var errSpliced = errors.New("header contains the beginning of another answer")

// statusLine is the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// IsSpliced reports whether the header of an answer contains the beginning of another one. An upstream that
// breaks off one answer and goes on with the next produces a header with the status of the first and the ID of
// the second.
func IsSpliced(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// maxCalls bounds the calls on one connection, whose IDs it remembers.
const maxCalls = 4096

// Release returns the connection to the pool after the body of the answer was read to
// its end. It closes a connection that cannot carry another call.
func (c *Conn) Release() {
	if c.retiring() || !c.bodySent() || c.response.Close || c.reader.Buffered() > 0 || !c.tellsAnswersApart() {
		c.Close()
		return
	}
	idle, ok := advertisedIdle(c.response.Header)
	if !ok {
		idle = defaultIdle
	}
	c.response = nil
	c.idleUntil = time.Now().Add(idle)
	c.mu.Lock()
	c.releases++
	c.mu.Unlock()
	if !c.closed.Load() {
		c.pool.putIdle(c)
	}
}

// Aborter returns a function that closes the connection unless it was released since: whoever ends a call must not end
// the next one on the connection.
func (c *Conn) Aborter() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	releases := c.releases
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.releases == releases {
			c.Abort()
		}
	}
}

// retiring reports whether the connection leads through a node that stops.
func (c *Conn) retiring() bool {
	r, ok := c.conn.(interface{ Retiring() bool })
	return ok && r.Retiring()
}

// tellsAnswersApart reports whether the answer to a later call could be told from one more answer to an
// earlier call. A late answer to a HEAD request would be misread, since it has no body.
func (c *Conn) tellsAnswersApart() bool {
	return c.verified && !c.disturbed && c.method != http.MethodHead && len(c.carried) < maxCalls
}

// bodySent reports whether the whole request body was written.
func (c *Conn) bodySent() bool {
	if c.bodyWritten == nil {
		return true
	}
	select {
	case err := <-c.bodyWritten:
		if err == nil {
			c.bodyWritten = nil
		}
		return err == nil
	default:
		return false
	}
}

// Close closes the connection.
func (c *Conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		c.conn.Close()
		c.pool.forgetConn(c)
	}
}

// LastRead returns when a byte was last read from any connection to this address, on
// the clock of package boottime; zero if none was.
func (c *Conn) LastRead() time.Duration { return time.Duration(c.lastRead.Load()) }

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(at time.Time) error { return c.conn.SetDeadline(at) }

// advertisedIdle returns how long the upstream keeps an idle connection according to its
// Keep-Alive header, less idleMargin. It returns false if the header states no valid
// time.
func advertisedIdle(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 1 {
			return 0, false
		}
		return time.Duration(seconds)*time.Second - idleMargin, true
	}
	return 0, false
}
