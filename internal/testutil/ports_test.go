package testutil

import (
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestReservedPortsAreGivenToNobodyElse lies in the range of local ports of
// connections, where a port that is merely free is soon taken.
func TestReservedPortsAreGivenToNobodyElse(t *testing.T) {
	is := is.New(t)
	const (
		wanted = 300
		// connections is enough to hit one of that many ports of a range of 28,000
		// in all but one of a million runs.
		connections = 1500
	)
	reserved := map[int]bool{}
	for port := 40000; len(reserved) < wanted; port++ {
		if reserve(t, "127.0.0.1", port) {
			reserved[port] = true
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	for range connections {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		if port := conn.LocalAddr().(*net.TCPAddr).Port; reserved[port] {
			t.Fatalf("port %d is reserved and was given to a connection", port)
		}
		other, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer other.Close()
		if port := other.Addr().(*net.TCPAddr).Port; reserved[port] {
			t.Fatalf("port %d is reserved and was given to a listener", port)
		}
	}
	for port := range reserved {
		own, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		is.NoErr(err)
		is.NoErr(own.Close())
	}
}

func TestReservePortsLeavesOutPortsInUse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	is.True(!reserve(t, "127.0.0.1", listener.Addr().(*net.TCPAddr).Port))
	addrs := ReservePorts(t, "127.0.0.1", 20)
	different := map[string]bool{}
	for _, addr := range addrs {
		different[addr] = true
	}
	is.Equal(len(different), 20)
}
