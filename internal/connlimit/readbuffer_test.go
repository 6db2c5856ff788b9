package connlimit

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

func TestReadBufferOfShares(t *testing.T) {
	is := is.New(t)
	shares := SharesOf(280, 4096)
	is.Equal(shares.ReadBuffer(shares.Operators), minReadBuffer)
	is.Equal(shares.ReadBuffer(1000), 280<<20/unreadShare/1000)
	is.Equal(shares.ReadBuffer(10), maxReadBuffer)
	is.Equal(shares.ReadBuffer(0), 0)
	is.Equal(SharesOf(0, 4096).ReadBuffer(10), 0) // memory that is not known
}

// TestUnreadBytesOfConnectionAreBounded sends to a connection that is not read until the system takes no more.
func TestUnreadBytesOfConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	const size, slack = 16 << 10, 3 // the system doubles the size for its own use, and rounds it
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := New(0, nil).Protect(&http.Server{}, raw, ListenerOptions{ReadBuffer: size})
	defer l.Close()
	caller, err := net.Dial("tcp", raw.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	conn, err := l.Accept()
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(caller.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)))
	for err == nil {
		_, err = caller.Write(make([]byte, 64<<10))
	}
	socket, err := conn.(*Conn).Conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	var unread int
	is.NoErr(socket.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
	is.NoErr(err)
	is.True(unread > 0 && unread <= slack*size)
}
