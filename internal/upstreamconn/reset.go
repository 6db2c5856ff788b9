package upstreamconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// TellResets returns a connection whose Read returns io.EOF only if the other side ended the connection, and not if it reset it. The
// kernel reports a reset to one system call only; those after it see an end. If a concurrent Write gets the report, Read alone would
// take the reset for the end of an answer without a length. Once Read has returned io.EOF, writes fail.
func TellResets(conn net.Conn) net.Conn { return &resetConn{Conn: conn} }

// resetConn does not embed *net.TCPConn, whose ReadFrom would write past Write.
type resetConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// writeFailed is set once a write failed for what happened to the connection.
	writeFailed bool
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !errors.IsAny(err, os.ErrDeadlineExceeded, net.ErrClosed) {
		c.writeFailed = true
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.anyWriteFailed() {
		return n, errors.Wrap(syscall.ECONNRESET, "read an end after a failed write")
	}
	return n, err
}

// anyWriteFailed reports whether a write has failed. It ends one that waits, since one that is about to fail may have the report.
func (c *resetConn) anyWriteFailed() bool {
	// It fails only if the connection is closed, which ends writes, too.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T has no descriptor", c.Conn)
	}
	return raw.SyscallConn()
}
