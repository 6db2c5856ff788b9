// Package connlimit bounds what the connections to a process take of its memory and descriptors. It wraps listeners and
// their connections; net/http's server stays as it is.
//
// Load pattern: callers that keep no limits. They send heads without end, open connections and say nothing, announce bodies that never
// come, or send a byte a second, and there are many of them. Limits for each request alone do not bound their sum.
// Where the sum is full, the connections go first whose requests have been incomplete longest: a caller that keeps the limits
// completes its own within milliseconds.
package connlimit

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"
)

// Defaults of Limits. Configurations state less, where they state any.
const (
	DefaultHeadBytes = 64 << 10
	DefaultHeadTime  = 20 * time.Second
	DefaultIdleTime  = 90 * time.Second
	DefaultBodyTime  = 60 * time.Second
)

const (
	// headByteCost and headLineCost estimate the memory of a head, in bytes: the bytes themselves are held once as read and
	// once as parsed; a line adds an entry of a map, a slice and two strings.
	headByteCost = 2
	headLineCost = 200
)

// Limits bound each connection of a listener. A field that is zero or less means its default.
type Limits struct {
	// HeadBytes bounds the head of a request, empty lines before it included.
	HeadBytes int64
	// HeadTime is how long a head may take from its first byte to its last one.
	HeadTime time.Duration
	// IdleTime is how long a connection may be open without a request.
	IdleTime time.Duration
	// BodyTime is how long the body of a request may take.
	BodyTime time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	setDefault(&l.HeadTime, DefaultHeadTime)
	setDefault(&l.IdleTime, DefaultIdleTime)
	setDefault(&l.BodyTime, DefaultBodyTime)
	return l
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Cause says why a connection was closed.
type Cause string

// Causes.
const (
	HeadTooLarge Cause = "head too large"
	HeadTooSlow  Cause = "head too slow"
	HeadsFull    Cause = "no memory for heads"
	BodiesFull   Cause = "no memory for bodies"
	AnswerUnread Cause = "answer not read"
	TooMany      Cause = "too many connections"
	AddressFull  Cause = "too many connections of an address"
)

// Cut describes a connection that was closed because of a limit. A request whose head or body was incomplete on it has not run.
type Cut struct {
	Cause Cause
	// Listener is the name of the listener that accepted the connection.
	Listener string
	// Remote is the caller's address.
	Remote string
	// Age is how long the request had been incomplete, or the connection idle.
	Age time.Duration
	// Held is the estimated memory of its head, in bytes.
	Held int64
}

// ListenerOptions describe a listener. Zero fields mean no limit.
type ListenerOptions struct {
	// Name is the listener's name in logs.
	Name string
	// MaxOpen bounds the open connections.
	MaxOpen int
	// MaxIncomplete bounds the connections whose request or handshake is incomplete.
	MaxIncomplete int
	// MaxPerAddress bounds the open connections of one IP address.
	MaxPerAddress int
	// ReadBuffer bounds what the system receives on a connection before it is read, in bytes.
	ReadBuffer int
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
}

// Guard holds the limits that all listeners of a process share. It is safe for concurrent use.
type Guard struct {
	// headMemory bounds the estimated memory of all heads together, in bytes; zero means no limit.
	headMemory int64
	cut        func(Cut)

	mu sync.Mutex
	// heads is the estimated memory of all heads, from the first byte to the end of the request.
	heads     int64
	open      int
	listeners []*listener
}

// New returns a guard that tells cut of each connection that it closes. cut must not block; it may be nil.
func New(headMemory int64, cut func(Cut)) *Guard {
	if cut == nil {
		cut = func(Cut) {}
	}
	return &Guard{headMemory: headMemory, cut: cut}
}

// HeadBytes returns the estimated memory of all heads, in bytes.
func (g *Guard) HeadBytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heads
}

// Open returns the number of open connections.
func (g *Guard) Open() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.open)
}

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	guard *Guard
	opts  ListenerOptions
	// isHTTP is set if the connections carry requests of HTTP.
	isHTTP bool

	// The fields below are protected by guard.mu. The lists are in the order in which their connections became so.
	open int
	// whole has the connections whose heads are whole and whose handlers have not begun, running those whose handlers have, unless
	// their body is incomplete. failed has those whose head or body did not arrive, which are about to be closed.
	incomplete, whole, running, idle, failed connList
	perAddress                               map[string]int
}

// Listen returns a listener whose connections are *Conn. They count as incomplete until Conn.Establish.
func (g *Guard) Listen(l net.Listener, o ListenerOptions) net.Listener { return g.listen(l, o, false) }

func (g *Guard) listen(l net.Listener, o ListenerOptions, isHTTP bool) *listener {
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	if o.ReadBuffer > 0 {
		setReadBuffer(l, o.ReadBuffer)
	}
	wrapped := &listener{Listener: l, guard: g, opts: o, isHTTP: isHTTP, perAddress: map[string]int{}}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, wrapped)
	return wrapped
}

// Accept implements net.Listener. It closes connections beyond the limits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
	}
}

// admit makes room for a connection. It returns nil if there is none, and has closed the connection then.
func (l *listener) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, listener: l}
	if l.isHTTP {
		c.phase.Store(phaseHead)
	}
	if l.opts.MaxPerAddress > 0 {
		c.address = addressOf(raw)
	}
	g := l.guard
	g.mu.Lock()
	victim, cause := l.makeRoom(c.address)
	var victims []*Conn
	var cuts []Cut
	if victim != nil {
		victims, cuts = append(victims, victim), append(cuts, victim.describe(TooMany))
		victim.forget()
	}
	if cause == "" {
		l.open++
		g.open++
		if c.address != "" {
			l.perAddress[c.address]++
		}
		c.wait(&l.incomplete)
	} else {
		cuts = append(cuts, c.describe(cause))
	}
	g.mu.Unlock()
	g.closeAll(victims, cuts)
	if cause != "" {
		raw.Close()
		return nil
	}
	return c
}

// makeRoom returns the connection to close for a new one; nil if there is room. It returns a cause if the new one is to be closed
// instead. The caller holds guard.mu.
func (l *listener) makeRoom(address string) (victim *Conn, cause Cause) {
	o := &l.opts
	switch {
	case o.MaxPerAddress > 0 && l.perAddress[address] >= o.MaxPerAddress:
		return nil, AddressFull
	case o.MaxOpen > 0 && l.open >= o.MaxOpen:
		for _, list := range []*connList{&l.failed, &l.incomplete, &l.idle, &l.whole} {
			if list.front != nil {
				return list.front, ""
			}
		}
		if blocked := l.oldestBlocked(); blocked != nil {
			return blocked, ""
		}
		return nil, TooMany
	case o.MaxIncomplete > 0 && l.incomplete.len >= o.MaxIncomplete:
		return l.incomplete.front, ""
	}
	return nil, ""
}

func addressOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// charge adds to the memory of a connection's head, which begins with these bytes or goes on. If there is not enough, it closes the
// connections whose requests have been incomplete longest. It returns false if c itself is to be closed.
func (g *Guard) charge(c *Conn, bytes int64, begins bool) bool {
	g.mu.Lock()
	if c.forgotten {
		g.mu.Unlock()
		return false
	}
	if begins {
		c.started = true
		c.wait(&c.listener.incomplete)
	}
	if c.wholeHead {
		c.wait(&c.listener.whole)
	}
	g.heads += bytes
	c.held += bytes
	var victims []*Conn
	var cuts []Cut
	fits := true
	for g.headMemory > 0 && g.heads > g.headMemory {
		victim := g.oldestHead(c)
		cuts = append(cuts, victim.describe(HeadsFull))
		if victim == c {
			// It still counts as open until it is closed.
			c.release()
			c.wait(&c.listener.failed)
			fits = false
			break
		}
		victim.forget()
		victims = append(victims, victim)
	}
	g.mu.Unlock()
	g.closeAll(victims, cuts)
	return fits
}

const (
	// silentTime is how long a caller must have sent nothing of its body for the body to make room for others.
	silentTime = 100 * time.Millisecond
	// minCutBytes is how much of a body must have been received for it to make room for others. Smaller ones free little.
	minCutBytes = 8 << 10
	// slowBodyTime is how long a caller must have been sending a body for it to make room for others although the caller goes on. The
	// time for which the server did not read the body for want of memory does not count.
	slowBodyTime = time.Second
)

// CutBody closes the connection of an incomplete body of which at least minCutBytes have been received: that whose caller has sent
// nothing for longest, silentTime or more, or else the oldest one of those that were being sent for slowBodyTime, if it is older than
// the body of r. It reports whether there was one. The body of r counts as waiting for memory until it is read on.
func (g *Guard) CutBody(r *http.Request) bool {
	own, _ := r.Context().Value(contextKey{}).(*Conn)
	now := time.Now()
	earliest, eldest := now.Add(-silentTime).UnixNano(), now
	g.mu.Lock()
	if own != nil {
		own.holdBack(now)
		eldest = own.since
	}
	var silent, oldest *Conn
	for _, l := range g.listeners {
		for at := l.incomplete.front; at != nil; at = at.next {
			if at == own || at.phase.Load() != phaseBody || at.bodyBytes.Load() < minCutBytes {
				continue
			}
			if since := at.awaited.Load(); since != 0 && since <= earliest {
				silent, earliest = at, since
			}
			if at.since.Before(eldest) && at.sendingTime(now) > slowBodyTime {
				oldest, eldest = at, at.since
			}
		}
	}
	victim := cmp.Or(silent, oldest)
	if victim == nil {
		g.mu.Unlock()
		return false
	}
	cut := victim.describe(BodiesFull)
	victim.forget()
	g.mu.Unlock()
	g.closeAll([]*Conn{victim}, []Cut{cut})
	return true
}

// closeAll closes connections that were forgotten and tells of the cuts.
func (g *Guard) closeAll(victims []*Conn, cuts []Cut) {
	for _, victim := range victims {
		victim.Conn.Close()
	}
	for _, cut := range cuts {
		g.cut(cut)
	}
}

// oldestHead returns the connection that holds memory for a head and whose request has been incomplete longest, or c if there is no
// other. The caller holds g.mu.
func (g *Guard) oldestHead(c *Conn) *Conn {
	oldest := c
	for _, l := range g.listeners {
		at := l.incomplete.front
		for at != nil && at.held == 0 {
			at = at.next
		}
		if at != nil && at.since.Before(oldest.since) {
			oldest = at
		}
	}
	return oldest
}

// connList is a list of connections, the oldest first.
type connList struct {
	front, back *Conn
	len         int
}

func (l *connList) push(c *Conn) {
	c.in, c.prev, c.next = l, l.back, nil
	if l.back == nil {
		l.front = c
	} else {
		l.back.next = c
	}
	l.back = c
	l.len++
}

// wait puts a connection at the end of a list. The caller holds the guard's mu.
func (c *Conn) wait(l *connList) {
	c.leaveList()
	c.since = time.Now()
	l.push(c)
}

// leaveList takes a connection out of the list that it is in, if any.
func (c *Conn) leaveList() {
	l := c.in
	if l == nil {
		return
	}
	if c.prev == nil {
		l.front = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		l.back = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.in, c.prev, c.next = nil, nil, nil
	l.len--
}
