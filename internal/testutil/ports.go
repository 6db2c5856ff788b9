package testutil

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
)

// Test ports lie below the range from which Linux takes ephemeral ports by default. On a
// machine with a wider ephemeral range, only the reservation keeps them free.
const (
	firstPort = 20000
	lastPort  = 32000
	// portsPerProcess is the distance between the first ports of two test processes
	// with consecutive process IDs.
	portsPerProcess = 100
)

// portCursor is the next port to try. Its start depends on the process ID, so that
// concurrent test processes rarely try the same ports.
var portCursor = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()%((lastPort-firstPort)/portsPerProcess)*portsPerProcess}

// ReservePorts returns n addresses of a loopback host on which programs started by the
// test may listen. Until the test ends, the kernel assigns these ports to no outgoing
// connection and to no listener on port 0. Without the reservation, a port that was
// found free could be taken before the program listens on it.
func ReservePorts(t testing.TB, host string, n int) []string {
	t.Helper()
	portCursor.Lock()
	defer portCursor.Unlock()
	var addrs []string
	for tried := 0; len(addrs) < n; tried++ {
		if tried > lastPort-firstPort {
			t.Fatalf("%d ports wanted on %s, only %d are free", n, host, len(addrs))
		}
		port := portCursor.next
		portCursor.next++
		if portCursor.next > lastPort {
			portCursor.next = firstPort
		}
		if reserve(t, host, port) {
			addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return addrs
}

// reserve binds a socket to the port without listening on it, until the test ends.
// SO_REUSEADDR lets a listener with the same option, which Go sets on every listener,
// bind the port too. reserve returns false if the port cannot be bound, for example
// because a program listens on it.
func reserve(t testing.TB, host string, port int) bool {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatalf("reserve a port: %v", err)
	}
	if err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatalf("reserve a port: %v", err)
	}
	address := &syscall.SockaddrInet4{Port: port, Addr: netip.MustParseAddr(host).As4()}
	if err = syscall.Bind(socket, address); err != nil {
		_ = syscall.Close(socket) // never bound, so an error on close is harmless
		return false
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	return true
}
