// Package portreserve keeps TCP ports free for programs that listen on them later.
package portreserve

import (
	"net"
	"net/netip"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Reservation is a socket that is bound to a port and does not listen on it. Meanwhile the
// kernel gives the port to no outgoing connection and to no listener on port 0. A listener
// with SO_REUSEADDR, which Go sets on every listener, may bind the port too.
type Reservation struct {
	// Addr is the reserved address, as host:port.
	Addr   string
	socket int
}

// Reserve reserves a port of an IPv4 address; port 0 means any free one. It fails if the
// port cannot be bound, for example because a program listens on it.
func Reserve(host string, port int) (*Reservation, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil || !ip.Is4() {
		return nil, errors.Newf("%q is not an IPv4 address", host)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	r := &Reservation{socket: socket}
	if r.Addr, err = bind(socket, ip, port); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "reserve port %d of %s", port, host), r.Release())
	}
	return r, nil
}

// bind binds a socket and returns its address.
func bind(socket int, ip netip.Addr, port int) (string, error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Port: port, Addr: ip.As4()}); err != nil {
		return "", err
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(ip.String(), strconv.Itoa(bound.(*syscall.SockaddrInet4).Port)), nil
}

// Release ends the reservation.
func (r *Reservation) Release() error { return errors.Wrap(syscall.Close(r.socket), "close socket") }
