package testutil

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/agateslip/agateslip/internal/portreserve"
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

// reserve reserves a port until the test ends. It returns false if the port cannot be bound.
func reserve(t testing.TB, host string, port int) bool {
	t.Helper()
	r, err := portreserve.Reserve(host, port)
	if err != nil {
		return false
	}
	t.Cleanup(func() {
		if err := r.Release(); err != nil {
			t.Error(err)
		}
	})
	return true
}
