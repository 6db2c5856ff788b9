package detour

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// The bytes of the upstream reach the node in frames: the length in two bytes, big-endian, and as many bytes.
// A frame of length zero says that the upstream ended its side, as it does to end an answer without a
// length. Only that frame is an end; the connection between the nodes ends with either process, too. A header
// of stopNotice, without bytes, says that the node in between stops.

// offersFrames ends the nonce of a node that can send frames. Nodes without frames take it for a part of the
// nonce.
const offersFrames = " framed"

const (
	frameHeaderBytes = 2
	stopNotice       = 1<<16 - 1
	// maxFrameBytes is the largest number of bytes that one frame carries.
	maxFrameBytes = stopNotice - 1
)

// frameWriter writes each piece of bytes as one or more frames. It is safe for concurrent use.
type frameWriter struct {
	w io.Writer

	mu     sync.Mutex
	buffer []byte
}

// Write implements io.Writer.
func (f *frameWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), maxFrameBytes)
		if err := f.writeFrame(uint16(n), p[:n]); err != nil {
			return written, err
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

func (f *frameWriter) writeFrame(header uint16, p []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.buffer = binary.BigEndian.AppendUint16(f.buffer[:0], header)
	f.buffer = append(f.buffer, p...)
	_, err := f.w.Write(f.buffer)
	return err
}

// writeEnd writes the frame that says that the upstream ended its side.
func (f *frameWriter) writeEnd() error { return f.writeFrame(0, nil) }

// writeStopNotice writes that this node stops.
func (f *frameWriter) writeStopNotice() error { return f.writeFrame(stopNotice, nil) }

// errHelperEnded means that a detour ended, of which it is not known whether its upstream did.
var errHelperEnded = errors.New("the detour ended before its upstream")

// framedConn is a detour through a node that sends frames. Its Read returns io.EOF only if the upstream ended
// its side.
type framedConn struct {
	net.Conn
	// header holds the first headerRead bytes of the next frame's header.
	header     [frameHeaderBytes]byte
	headerRead int
	// left is the number of bytes of the current frame that were not read yet.
	left  int
	ended bool
	// retiring is set once the node in between said that it stops.
	retiring atomic.Bool
}

// Retiring reports whether the connection must carry no further call.
func (c *framedConn) Retiring() bool { return c.retiring.Load() }

// Read implements net.Conn.
func (c *framedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for c.left == 0 && !c.ended {
		if err := c.readHeader(); err != nil {
			return 0, helperError(err)
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, helperError(err)
}

// readHeader reads the header of the next frame. It can be called again after a timeout.
func (c *framedConn) readHeader() error {
	for c.headerRead < frameHeaderBytes {
		n, err := c.Conn.Read(c.header[c.headerRead:])
		c.headerRead += n
		if err != nil && c.headerRead < frameHeaderBytes {
			return err
		}
	}
	c.headerRead = 0
	header := int(binary.BigEndian.Uint16(c.header[:]))
	if header == stopNotice {
		c.retiring.Store(true)
		return nil
	}
	c.left, c.ended = header, header == 0
	return nil
}

// Relayed reports that the connection leads through another node.
func (c *framedConn) Relayed() bool { return true }

// SyscallConn implements syscall.Conn.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

// unframedConn is a detour through a node that sends no frames. The end of such a detour does not show whether
// its upstream ended or the node, so that it is always an error.
type unframedConn struct{ net.Conn }

// Read implements net.Conn.
func (c *unframedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, helperError(err)
}

// Relayed reports that the connection leads through another node.
func (c *unframedConn) Relayed() bool { return true }

// SyscallConn implements syscall.Conn.
func (c *unframedConn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

// helperError returns errHelperEnded in place of io.EOF.
func helperError(err error) error {
	if errors.Is(err, io.EOF) {
		return errHelperEnded
	}
	return err
}

func rawConn(conn net.Conn) (syscall.RawConn, error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T has no descriptor", conn)
	}
	return raw.SyscallConn()
}
