package upstreamconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// inlineBody is the size up to which a body is written before the answer is
// read. Larger ones are written at the same time, because an upstream may answer
// before it has read them.
const inlineBody = 4 << 10

// Request is one call as it is written. Header holds no field that concerns the
// connection or the body's length.
type Request struct {
	Method string
	// URI is the path with the query, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is one connection. One goroutine uses it, but Close may be called from
// any.
type Conn struct {
	pool   *Pool
	addr   string
	conn   net.Conn
	reader *bufio.Reader
	heard  *atomic.Int64
	reused bool
	ended  atomic.Bool

	method string
	// wrote ends with the write of a long body; nil when there is none.
	wrote chan error
	// response is the answer that is being read.
	response  *http.Response
	idleUntil time.Time
}

// Reused reports whether the connection carried a call before.
func (c *Conn) Reused() bool { return c.reused }

// usable reports whether a kept connection is open, within its idle time, and
// has nothing to be read, which would belong to no call.
func (c *Conn) usable(now time.Time) bool {
	if now.After(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Send writes a call. The error is marked ErrNotSent where no byte was written.
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
	c.method = r.Method
	first := []byte(head.String())
	rest := r.Body
	if len(rest) <= inlineBody {
		first, rest = append(first, rest...), nil
	}
	if n, err := c.conn.Write(first); err != nil {
		err = errors.Wrapf(err, "send to %s", c.addr)
		if n == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
		return err
	}
	c.wrote = nil
	if rest != nil {
		c.wrote = make(chan error, 1)
		go func(done chan<- error) {
			_, err := c.conn.Write(rest)
			done <- err
		}(c.wrote)
	}
	return nil
}

// Receive reads the header of the answer to the call. Answers for which mine
// says false belong to other calls: they are read and dropped.
func (c *Conn) Receive(mine func(http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: c.method}
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, errors.Wrapf(err, "answer of %s", c.addr)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if mine(resp.Header) {
			c.response = resp
			return resp, nil
		}
		if resp.Close {
			return nil, errors.Newf("%s answered another call", c.addr)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrapf(err, "answer of %s to another call", c.addr)
		}
	}
}

// Release gives the connection back after the answer's body was read to its end,
// or closes it where it may not carry another call.
func (c *Conn) Release() {
	if !c.finished() || c.response.Close || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	idle, ok := statedIdle(c.response.Header)
	if !ok {
		idle = idleUnstated
	}
	c.response = nil
	c.idleUntil = time.Now().Add(idle)
	c.pool.put(c)
}

// finished reports whether a long body was written whole.
func (c *Conn) finished() bool {
	if c.wrote == nil {
		return true
	}
	select {
	case err := <-c.wrote:
		return err == nil
	default:
		return false
	}
}

// Close ends the connection.
func (c *Conn) Close() {
	if c.ended.CompareAndSwap(false, true) {
		c.conn.Close()
		c.pool.closed(c.addr)
	}
}

// Heard is when a byte last came on any connection to this address, on the clock of
// package boottime; zero if none did.
func (c *Conn) Heard() time.Duration { return time.Duration(c.heard.Load()) }

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(at time.Time) error { return c.conn.SetDeadline(at) }

// statedIdle reads how long the upstream keeps an idle connection, less a margin.
func statedIdle(h http.Header) (time.Duration, bool) {
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
