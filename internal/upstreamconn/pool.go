package upstreamconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/agateslip/agateslip/internal/boottime"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection that
	// went silent within two and a half seconds, which leaves a call of three
	// seconds time for an answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// unacknowledged bounds how long sent bytes may stay unacknowledged.
	unacknowledged = 2500 * time.Millisecond
	// idleUnstated is how long a connection is kept whose upstream does not state
	// its idle time: a stated one is at least a second.
	idleUnstated = 400 * time.Millisecond
	// idleMargin is taken off a stated idle time, because the upstream counts from
	// when it sent the answer and a call takes time to arrive.
	idleMargin = 500 * time.Millisecond
	// readBuffer holds a header or an event.
	readBuffer = 4 << 10
)

var (
	// ErrNotSent says that no byte of the call was written.
	ErrNotSent = errors.New("call was not sent")
	// ErrFull says that the upstream has as many connections as it may have.
	ErrFull = errors.New("no connection to spare")
)

// Stats counts a pool's work.
type Stats struct {
	// Opened counts connections made, Reused calls on kept ones.
	Opened, Reused uint64
}

// Pool keeps connections by address. Its methods may be called from any
// goroutine.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*host
	stats Stats
}

// host is the connections to one address.
type host struct {
	// heard is when a byte last came from there, on the clock of package boottime.
	heard atomic.Int64
	limit int
	open  int
	idle  []*Conn
}

// NewPool returns an empty pool whose connections must be established within
// the given time.
func NewPool(dial time.Duration) *Pool {
	return &Pool{
		hosts: map[string]*host{},
		dialer: net.Dialer{
			Timeout: dial,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: func(_, _ string, raw syscall.RawConn) error {
				var err error
				controlErr := raw.Control(func(fd uintptr) {
					err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
				})
				return errors.CombineErrors(controlErr, err)
			},
		},
	}
}

// SetLimit bounds the connections to an address; zero means no bound.
func (p *Pool) SetLimit(addr string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host(addr).limit = limit
}

// Forget closes the idle connections to an address that is no longer used.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	h := p.hosts[addr]
	if h == nil {
		p.mu.Unlock()
		return
	}
	idle := h.idle
	h.idle = nil
	h.open -= len(idle)
	if h.open == 0 {
		delete(p.hosts, addr)
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.conn.Close()
	}
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// host finds the connections to an address. The caller holds mu.
func (p *Pool) host(addr string) *host {
	h := p.hosts[addr]
	if h == nil {
		h = &host{}
		p.hosts[addr] = h
	}
	return h
}

// Get returns a connection to an address, a kept one where there is a sound one
// and fresh is false. Its errors are marked ErrNotSent.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			p.count(func(s *Stats) { s.Reused++ })
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	if err := p.reserve(addr); err != nil {
		return nil, err
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.closed(addr)
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", addr), ErrNotSent)
	}
	p.count(func(s *Stats) { s.Opened++ })
	heard := p.heard(addr)
	return &Conn{
		pool: p, addr: addr, conn: conn, heard: heard,
		reader: bufio.NewReaderSize(timedReader{conn, heard}, readBuffer),
	}, nil
}

// heard is when the host at an address was last heard.
func (p *Pool) heard(addr string) *atomic.Int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &p.host(addr).heard
}

// timedReader notes when bytes come in.
type timedReader struct {
	conn  net.Conn
	heard *atomic.Int64
}

// Read implements io.Reader.
func (r timedReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.heard.Store(int64(boottime.Now()))
	}
	return n, err
}

func (p *Pool) count(add func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.stats)
}

func (p *Pool) takeIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	h.idle = h.idle[:last]
	return c
}

// reserve counts a new connection, in the place of an idle one where the address
// has no other room.
func (p *Pool) reserve(addr string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	if h.limit > 0 && h.open >= h.limit {
		return errors.Mark(errors.Wrapf(ErrFull, "%s has %d connections", addr, h.open), ErrNotSent)
	}
	h.open++
	return nil
}

// closed takes note that a connection has ended.
func (p *Pool) closed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		return
	}
	h.open--
	if h.open == 0 && h.limit == 0 {
		delete(p.hosts, addr)
	}
}

// put keeps a connection for another call.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(c.addr)
	h.idle = append(h.idle, c)
}

// CloseExpired closes connections whose idle time is over, so that the upstream
// does not have to.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*Conn
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.After(c.idleUntil) {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
