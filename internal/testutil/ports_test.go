package testutil

import (
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestReservedPortsAreNotReassigned guards against the kernel assigning a reserved port
// to something else. It reserves ports in the ephemeral range, where a port that is free
// but not reserved is soon taken.
func TestReservedPortsAreNotReassigned(t *testing.T) {
	is := is.New(t)
	const (
		portCount = 300
		// connections is so large that, without a reservation and with 28,000 ephemeral
		// ports, only one test run in a million would hit none of the portCount ports.
		connections = 1500
	)
	reserved := map[int]bool{}
	for port := 40000; len(reserved) < portCount; port++ {
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

func TestReservePortsSkipsPortsInUse(t *testing.T) {
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
