package connlimit

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxUnread is how many bytes of earlier answers a caller may have left unread when its next request is read. The system
	// buffers megabytes of small answers, and a caller that pipelines requests makes garbage with each of them. A caller that reads
	// its answers first leaves none.
	maxUnread = 16 << 10
	// minUnreadWait and maxUnreadWait bound the interval at which it is checked whether a caller has read its answers.
	minUnreadWait = 2 * time.Millisecond
	maxUnreadWait = 100 * time.Millisecond
)

// errUnread ends a connection whose caller does not read its answers.
var errUnread = errors.New("the caller does not read its answers")

// awaitReader waits until the caller has read its earlier answers, but for maxUnread bytes. It fails if that takes longer than
// writeTime, as a blocked write does.
func (c *Conn) awaitReader() error {
	if c.write.sent.Load() < maxUnread {
		return nil
	}
	wait, end := minUnreadWait, time.Now().Add(writeTime)
	for {
		unread, known := unreadBytes(c.Conn)
		if !known || unread < maxUnread {
			c.write.sent.Store(int64(unread))
			return nil
		}
		if time.Now().After(end) {
			c.tell(AnswerUnread)
			return errUnread
		}
		time.Sleep(wait)
		wait = min(2*wait, maxUnreadWait)
	}
}

// setReadBuffer bounds what the system receives on each connection of a listener before it is read. Connections inherit it, also those that
// were not accepted yet.
func setReadBuffer(l net.Listener, size int) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	// The system's own size stays if it refuses.
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
}

// unreadBytes returns how many of the bytes that were written the other end has not acknowledged. It is not known of connections
// that are closed or of another kind than TCP.
func unreadBytes(conn any) (n int, known bool) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var failed error
	err = raw.Control(func(fd uintptr) { n, failed = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, err == nil && failed == nil
}
