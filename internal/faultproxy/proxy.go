// Package faultproxy is a TCP proxy for tests. It listens on a loopback port and injects
// faults into the connections it relays: resets, silence, delays, half-closes and
// truncated streams, for existing connections, for later ones, or for both.
package faultproxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxConns limits the connections that are open at the same time.
	maxConns = 4096
	// dialTimeout bounds connecting to the target.
	dialTimeout = 5 * time.Second
	// bufferSize is the size of the largest chunk that is relayed at once, in bytes.
	bufferSize = 32 << 10
)

// Rule describes the faults of one direction. The zero Rule relays every byte at once.
type Rule struct {
	// Drop reads bytes and discards them. It also hides the end of the stream from
	// the receiver, so the connection stays open until it is reset.
	Drop bool
	// Hold keeps bytes back until the rule is replaced, like a partition that heals.
	Hold bool
	// Delay is the wait before each chunk of up to 32 KiB is relayed.
	Delay time.Duration
	// ResetAfter resets both ends once this many bytes were relayed in the direction;
	// zero means never. It takes precedence over TruncateAfter.
	ResetAfter int64
	// TruncateAfter ends the direction cleanly once this many bytes were relayed and
	// discards the rest; zero means never.
	TruncateAfter int64
}

// Rules are the rules of both directions of a connection.
type Rules struct {
	// ToTarget applies to the bytes that the client sends.
	ToTarget Rule
	// ToClient applies to the bytes that the target sends.
	ToClient Rule
}

// Silent returns rules that drop all bytes in both directions.
func Silent() Rules {
	return Rules{ToTarget: Rule{Drop: true}, ToClient: Rule{Drop: true}}
}

// Proxy relays connections to one target. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener
	tasks    sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mu         sync.Mutex
	laterRules Rules
	refuse     bool
	opened     int
	conns      []*Conn
}

// New returns a proxy that listens on a free loopback port and relays to target.
func New(target string) (*Proxy, error) { return Listen("127.0.0.1:0", target) }

// Listen returns a proxy that listens on addr and relays to target.
func Listen(addr, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{target: target, listener: listener, ctx: ctx, cancel: cancel}
	p.tasks.Go(p.accept)
	return p, nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// Close stops listening, resets every connection and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.listener.Close()
	p.Reset()
	p.tasks.Wait()
}

// Conns returns the open connections, oldest first.
func (p *Proxy) Conns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.conns)
}

// Opened returns the number of connections admitted so far, including those whose
// target could not be reached.
func (p *Proxy) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// SetExisting replaces the rules of the connections that are open now.
func (p *Proxy) SetExisting(r Rules) {
	for _, c := range p.Conns() {
		c.Set(r)
	}
}

// SetLater replaces the rules of connections opened from now on.
func (p *Proxy) SetLater(r Rules) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.laterRules = r
}

// SetAll replaces the rules of the open connections and of later ones.
func (p *Proxy) SetAll(r Rules) {
	p.SetLater(r)
	p.SetExisting(r)
}

// SetRefuse sets whether new connections are reset at once.
func (p *Proxy) SetRefuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// Reset resets the open connections, on both sides.
func (p *Proxy) Reset() {
	for _, c := range p.Conns() {
		c.Reset()
	}
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.relay(client.(*net.TCPConn)) })
	}
}

// relay connects an accepted connection to the target and relays until it is closed.
func (p *Proxy) relay(client *net.TCPConn) {
	c := newConn(client)
	if !p.admit(c) {
		c.Reset()
		return
	}
	defer p.remove(c)
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		c.Reset()
		return
	}
	c.run(target.(*net.TCPConn))
}

// admit adds a connection with the rules for later connections. It returns false if the
// proxy refuses connections, is closed, or has maxConns open.
func (p *Proxy) admit(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse || p.ctx.Err() != nil || len(p.conns) >= maxConns {
		return false
	}
	c.Set(p.laterRules)
	p.opened++
	p.conns = append(p.conns, c)
	return true
}

// remove removes a closed connection from the list.
func (p *Proxy) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(other *Conn) bool { return other == c })
}
