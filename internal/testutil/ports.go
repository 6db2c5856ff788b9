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

// Ports of tests lie below the range from which Linux takes the local ports of
// connections by default. Where a machine's range is wider, the reservation
// keeps them free.
const (
	firstPort = 20000
	lastPort  = 32000
	// portsOfProcess is how far apart two test processes begin.
	portsOfProcess = 100
)

// ports hands out ports, from another start in each process.
var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()%((lastPort-firstPort)/portsOfProcess)*portsOfProcess}

// ReservePorts returns n addresses of a loopback host on which a program that
// the test starts may listen. Until the test ends, the kernel gives these ports
// to no connection and no listener that names no port: a port that was merely
// found free may be taken before the program listens on it.
func ReservePorts(t testing.TB, host string, n int) []string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	var addrs []string
	for tried := 0; len(addrs) < n; tried++ {
		if tried > lastPort-firstPort {
			t.Fatalf("%d ports wanted on %s, %d are free", n, host, len(addrs))
		}
		port := ports.next
		ports.next++
		if ports.next > lastPort {
			ports.next = firstPort
		}
		if reserve(t, host, port) {
			addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return addrs
}

// reserve binds a socket to the port without listening. SO_REUSEADDR lets a
// listener with the same option, which Go's all have, bind it too; it reports
// false if somebody listens there already.
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
		_ = syscall.Close(socket) // not bound: nothing is lost
		return false
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	return true
}
