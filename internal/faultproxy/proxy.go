// Package faultproxy is a TCP proxy on a loopback port that injects faults into
// the connections it relays: resets, silence, delays, half-closes and truncated
// streams, for existing connections, for later ones, or for both. It is test
// support.
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
	// maxConns bounds the connections that are open at once.
	maxConns = 4096
	// dialTimeout bounds connecting to the target.
	dialTimeout = 5 * time.Second
	// bufferSize is the unit of relaying in bytes.
	bufferSize = 32 << 10
)

// Rule is what happens to the bytes of one direction.
type Rule struct {
	// Drop takes bytes and loses them, and tells no end of the stream. The
	// connection stays open at both ends for good.
	Drop bool
	// Hold keeps bytes until the rule is replaced, as a healed partition does.
	Hold bool
	// Delay passes before each piece of up to 32 KiB is relayed.
	Delay time.Duration
	// ResetAfter resets both ends once so many bytes of the connection's
	// direction were relayed; zero means never.
	ResetAfter int64
	// TruncateAfter ends the direction cleanly once so many bytes were relayed
	// and loses the rest; zero means never.
	TruncateAfter int64
}

// Rules are the rules of both directions of a connection.
type Rules struct {
	// ToTarget is for what clients send.
	ToTarget Rule
	// ToClient is for what the target sends.
	ToClient Rule
}

// Silent loses all bytes in both directions.
func Silent() Rules {
	return Rules{ToTarget: Rule{Drop: true}, ToClient: Rule{Drop: true}}
}

// Proxy relays connections to one target.
type Proxy struct {
	target   string
	listener net.Listener
	tasks    sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	rules  Rules
	refuse bool
	opened int
	conns  []*Conn
}

// New listens on a free loopback port and relays to target.
func New(target string) (*Proxy, error) { return Listen("127.0.0.1:0", target) }

// Listen listens on an address and relays to target.
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

// Addr is the address that clients connect to.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// Close resets every connection and ends the proxy.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.listener.Close()
	p.Reset()
	p.tasks.Wait()
}

// Conns are the open connections, oldest first.
func (p *Proxy) Conns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.conns)
}

// Opened counts the connections that were ever relayed.
func (p *Proxy) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// SetExisting replaces the rules of the open connections only.
func (p *Proxy) SetExisting(r Rules) {
	for _, c := range p.Conns() {
		c.Set(r)
	}
}

// SetLater replaces the rules of connections opened from now on.
func (p *Proxy) SetLater(r Rules) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = r
}

// SetAll replaces the rules of the open connections and of later ones.
func (p *Proxy) SetAll(r Rules) {
	p.SetLater(r)
	p.SetExisting(r)
}

// SetRefuse resets new connections at once, or accepts them again.
func (p *Proxy) SetRefuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// Reset resets the open connections at both ends.
func (p *Proxy) Reset() {
	for _, c := range p.Conns() {
		c.Reset()
	}
}

// accept takes connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.relay(client.(*net.TCPConn)) })
	}
}

// relay connects to the target and relays until the connection ends.
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

// admit adds a connection with the rules for new ones, if it may open.
func (p *Proxy) admit(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse || p.ctx.Err() != nil || len(p.conns) >= maxConns {
		return false
	}
	c.Set(p.rules)
	p.opened++
	p.conns = append(p.conns, c)
	return true
}

// remove forgets a connection.
func (p *Proxy) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(other *Conn) bool { return other == c })
}
