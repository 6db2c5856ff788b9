package upstreamconn

import (
	"bufio"
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/agateslip/agateslip/internal/boottime"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection
	// within 2.5 s, so that a call with a deadline of 3 s can still be answered.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// unackedTimeout bounds how long sent bytes may stay unacknowledged.
	unackedTimeout = 2500 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the upstream does not state
	// a valid time. A valid stated time is at least a second.
	defaultIdle = 400 * time.Millisecond
	// idleMargin is subtracted from a stated idle time, because the upstream counts
	// from when it sent its answer and the next call takes time to arrive.
	idleMargin = 500 * time.Millisecond
	// readBufferSize is the size of the read buffer in bytes. It usually holds a header
	// or an event.
	readBufferSize = 4 << 10
	// maxHosts is the number of addresses beyond which the state of one without a limit is dropped with its
	// last connection. Until then, it tells when the address was last heard.
	maxHosts = 1024
)

var (
	// ErrNotSent means that no byte of the call was written.
	ErrNotSent = errors.New("call was not sent")
	// ErrFull means that the connection limit of the address is reached.
	ErrFull = errors.New("connection limit reached")
)

// Stats counts the connections that a pool handed out.
type Stats struct {
	// Opened counts new connections; Reused counts idle ones that were used again.
	Opened, Reused uint64
}

// Pool holds connections by address. Its methods are safe for concurrent use.
type Pool struct {
	// dial opens a connection to an address.
	dial Dial

	lastDirectRead atomic.Int64

	mu    sync.Mutex
	hosts map[string]*host
	stats Stats
}

// host is the state of one address.
type host struct {
	// lastRead is when a byte was last read, on the clock of package boottime.
	lastRead atomic.Int64
	// limit bounds open; zero means no limit. open counts all connections, idle ones
	// included.
	limit int
	open  int
	idle  []*Conn
	// conns holds the open connections, idle ones included, and ends tells of others.
	conns map[*Conn]struct{}
	ends  ends
	// forgotten is set if the address is no longer used: the state is dropped with the last connection.
	forgotten bool
}

// Dial opens a TCP connection to an IP address and port. Its Read must not return io.EOF after a reset; see TellResets.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// NewDial returns a Dial that detects dead connections within 2.5 s, and whose connections TellResets. timeout bounds the setup
// of a connection.
func NewDial(timeout time.Duration) Dial {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(controlErr, err)
		},
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return TellResets(conn), nil
	}
}

// NewPool returns an empty pool that opens connections with dial.
func NewPool(dial Dial) *Pool { return &Pool{hosts: map[string]*host{}, dial: dial} }

// SetLimit limits the connections to an address; zero means no limit.
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
	for _, c := range idle {
		delete(h.conns, c)
	}
	if h.forgotten = true; h.open == 0 {
		delete(p.hosts, addr)
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.conn.Close()
	}
}

// Stats returns the current counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// host returns the state of an address and creates it if needed. The caller holds mu.
func (p *Pool) host(addr string) *host {
	h := p.hosts[addr]
	if h == nil {
		h = &host{conns: map[*Conn]struct{}{}}
		p.hosts[addr] = h
	}
	return h
}

// Get returns a connection to an address for the call with the given ID: an idle one that is still
// usable and has carried no call with that ID, or a new one. A call without an ID gets a new one. Its
// errors are marked ErrNotSent.
func (p *Pool) Get(ctx context.Context, addr, callID string) (*Conn, error) {
	call := xxhash.Sum64String(callID)
	for callID != "" {
		c := p.takeIdle(addr, func(c *Conn) bool { return !c.hasCarried(call) })
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			p.count(func(s *Stats) { s.Reused++ })
			c.carried = append(c.carried, call)
			return c, nil
		}
		c.Close()
	}
	return p.open(ctx, addr, call)
}

// GetNew returns a new connection to an address for the call with the given ID. Its errors are marked ErrNotSent.
func (p *Pool) GetNew(ctx context.Context, addr, callID string) (*Conn, error) {
	return p.open(ctx, addr, xxhash.Sum64String(callID))
}

// open connects to an address for the call with the given hash of its ID.
func (p *Pool) open(ctx context.Context, addr string, call uint64) (*Conn, error) {
	if err := p.reserve(addr); err != nil {
		// An idle connection that cannot carry this call takes up the place of one that can.
		c := p.takeIdle(addr, func(*Conn) bool { return true })
		if c == nil {
			return nil, err
		}
		c.Close()
		if err := p.reserve(addr); err != nil {
			return nil, err
		}
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		p.connClosed(addr)
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", addr), ErrNotSent)
	}
	number := 0
	p.count(func(s *Stats) {
		s.Opened++
		number = int(s.Opened)
	})
	lastRead := p.lastReadOf(addr)
	source := &source{conn: conn, lastRead: lastRead, left: math.MaxInt64}
	if _, relayed := conn.(interface{ Relayed() bool }); !relayed {
		source.lastDirectRead = &p.lastDirectRead
	}
	c := &Conn{
		pool: p, addr: addr, number: number, conn: conn, lastRead: lastRead, source: source, carried: []uint64{call},
		reader: bufio.NewReaderSize(source, readBufferSize), openedAt: boottime.Now(),
	}
	source.failed = c.noteReadError
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host(addr).conns[c] = struct{}{}
	return c, nil
}

// forgetConn removes a connection that was closed.
func (p *Pool) forgetConn(c *Conn) {
	p.mu.Lock()
	if h := p.hosts[c.addr]; h != nil {
		delete(h.conns, c)
	}
	p.mu.Unlock()
	p.connClosed(c.addr)
}

// LastRead returns when a byte was last read from any connection to an address, on the clock
// of package boottime; zero if none was.
func (p *Pool) LastRead(addr string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[addr]; h != nil {
		return time.Duration(h.lastRead.Load())
	}
	return 0
}

// LastDirectRead returns when a byte was last read from any connection that does not lead through another node, on
// the clock of package boottime; zero if none was.
func (p *Pool) LastDirectRead() time.Duration { return time.Duration(p.lastDirectRead.Load()) }

// lastReadOf returns the variable that holds the time of the last read from an address.
// All connections to the address share it.
func (p *Pool) lastReadOf(addr string) *atomic.Int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &p.host(addr).lastRead
}

// source reads from a connection. It records when bytes were last read, and fails once it
// has read as many as are left.
type source struct {
	conn     net.Conn
	lastRead *atomic.Int64
	// lastDirectRead is nil for a connection through another node.
	lastDirectRead *atomic.Int64
	left           int64
	// readAt is when a byte was last read from this connection. failed is called with the errors of reads.
	readAt atomic.Int64
	failed func(error)
}

// errTooManyBytes means that an upstream sent too much before the answer to a call began.
var errTooManyBytes = errors.Newf("more than %d bytes before the answer", maxPreambleBytes)

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, errTooManyBytes
	}
	n, err := s.conn.Read(p[:min(int64(len(p)), s.left)])
	if n > 0 {
		s.left -= int64(n)
		now := int64(boottime.Now())
		s.lastRead.Store(now)
		s.readAt.Store(now)
		if s.lastDirectRead != nil {
			s.lastDirectRead.Store(now)
		}
	}
	if err != nil && s.failed != nil {
		s.failed(err)
	}
	return n, err
}

// count updates the counts under mu.
func (p *Pool) count(update func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.stats)
}

// takeIdle removes and returns the connection that became idle last, of those that fit, or nil.
func (p *Pool) takeIdle(addr string, fits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		return nil
	}
	for i := len(h.idle) - 1; i >= 0; i-- {
		if c := h.idle[i]; fits(c) {
			h.idle = slices.Delete(h.idle, i, i+1)
			return c
		}
	}
	return nil
}

// reserve counts a new connection, or returns ErrFull if the address has reached its
// limit.
func (p *Pool) reserve(addr string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	h.forgotten = false
	if h.limit > 0 && h.open >= h.limit {
		return errors.Mark(errors.Wrapf(ErrFull, "%s has %d connections", addr, h.open), ErrNotSent)
	}
	h.open++
	return nil
}

// connClosed removes a connection that was closed, or could not be opened, from the count
// of its address.
func (p *Pool) connClosed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		return
	}
	h.open--
	if h.open == 0 && (h.forgotten || h.limit == 0 && len(p.hosts) > maxHosts) {
		delete(p.hosts, addr)
	}
}

// putIdle keeps an idle connection for another call.
func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(c.addr)
	h.idle = append(h.idle, c)
}

// CloseExpired closes the connections whose idle time is over, before the upstream
// does.
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
