package detour

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

const (
	// minUnreachable is the number of upstreams to which connections must have failed, without
	// one that succeeded since, for the node to count as cut off.
	minUnreachable = 2
	// evidenceTTL is how long a failed connection counts for that.
	evidenceTTL = 3 * time.Second
	// failureTTL is how long a node that is cut off does not connect directly to an upstream to
	// which a connection failed.
	failureTTL = 10 * time.Second
	// probeInterval is the time between two attempts to connect directly while the node counts as
	// cut off.
	probeInterval = time.Second
	// detourTimeout bounds the setup of a detour, over all nodes that are tried.
	detourTimeout = 900 * time.Millisecond
)

// Paths opens connections to upstreams, directly or through another entry node. It is safe for
// concurrent use.
type Paths struct {
	direct upstreamconn.Dial
	detour upstreamconn.Dial
	// changed is called when the node is cut off or connected again.
	changed func(cutOff bool)

	mu sync.Mutex
	// failures holds when connections to an upstream last failed, since the last that succeeded.
	failures map[string]time.Duration
	cutOff   bool
	probedAt time.Duration
}

// NewPaths returns the paths of a node that is not cut off.
func NewPaths(direct, detour upstreamconn.Dial, changed func(cutOff bool)) *Paths {
	return &Paths{direct: direct, detour: detour, changed: changed, failures: map[string]time.Duration{}}
}

// Blocked reports whether the node is cut off and failed to connect to the upstream at addr.
func (p *Paths) Blocked(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, failed := p.failures[addr]
	return p.cutOff && failed && boottime.Now()-at <= failureTTL
}

// Dial connects to an upstream. It implements upstreamconn.Dial.
func (p *Paths) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if !p.Blocked(addr) {
		conn, err := p.dialDirect(ctx, addr)
		if err == nil || !p.Blocked(addr) {
			return conn, err
		}
	} else if p.probeDue() {
		go p.probe(addr)
	}
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	return p.detour(ctx, addr)
}

// dialDirect connects to an upstream directly and records the outcome.
func (p *Paths) dialDirect(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := p.direct(ctx, addr)
	if err != nil && ctx.Err() != nil {
		return nil, err // the caller gave up
	}
	p.record(addr, err)
	return conn, err
}

// record updates what is known of the node's paths by the outcome of a direct connection.
func (p *Paths) record(addr string, err error) {
	now := boottime.Now()
	p.mu.Lock()
	before := p.cutOff
	if err == nil {
		clear(p.failures)
		p.cutOff = false
	} else {
		p.failures[addr] = now
		recent := 0
		for other, at := range p.failures {
			if now-at > failureTTL {
				delete(p.failures, other)
			}
			if now-at <= evidenceTTL {
				recent++
			}
		}
		if !p.cutOff && recent >= minUnreachable {
			p.cutOff, p.probedAt = true, now
		}
	}
	after := p.cutOff
	p.mu.Unlock()
	if before != after {
		p.changed(after)
	}
}

// probeDue reports whether it is time for another direct connection, and counts it as begun.
func (p *Paths) probeDue() bool {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.probedAt < probeInterval {
		return false
	}
	p.probedAt = now
	return true
}

// probe finds out whether an upstream can be reached directly again.
func (p *Paths) probe(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeInterval)
	defer cancel()
	if conn, err := p.dialDirect(ctx, addr); err == nil {
		conn.Close()
	}
}
