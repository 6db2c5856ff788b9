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
	// maxWitnesses is the number of other upstreams that are tried before the node counts as cut off. It is enough
	// for one of them to be up while a quarter of all upstreams have crashed.
	maxWitnesses = 5
	// witnessTimeout bounds these attempts, which run at the same time.
	witnessTimeout = 500 * time.Millisecond
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
	// witnesses returns the addresses of upstreams in random order; nil if none are known.
	witnesses func() []string

	mu sync.Mutex
	// failures holds when connections to an upstream last failed, since the last that succeeded.
	failures map[string]time.Duration
	cutOff   bool
	probedAt time.Duration
	// reachedAt is when a direct connection last succeeded.
	reachedAt time.Duration
	// checking is set while witnesses are tried.
	checking bool
}

// NewPaths returns the paths of a node that is not cut off.
func NewPaths(direct, detour upstreamconn.Dial, changed func(cutOff bool)) *Paths {
	return &Paths{direct: direct, detour: detour, changed: changed, failures: map[string]time.Duration{}}
}

// SetWitnesses sets the function that lists the addresses of upstreams, in random order. Before the node counts as
// cut off, connections to some of them to which none failed must fail as well: when many upstreams crash at once, a
// node with few calls may have met only such ones. It must be called before the first connection.
func (p *Paths) SetWitnesses(list func() []string) { p.witnesses = list }

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
	p.record(ctx, addr, err)
	return conn, err
}

// record updates what is known of the node's paths by the outcome of a direct connection. If it makes the node
// suspect that it is cut off, it returns once witnesses have shown whether it is, or ctx ends.
func (p *Paths) record(ctx context.Context, addr string, err error) {
	if !p.note(addr, err) {
		return
	}
	shown := make(chan struct{})
	go func() {
		defer close(shown)
		p.consultWitnesses()
	}()
	select {
	case <-shown:
	case <-ctx.Done():
	}
}

// note records the outcome of a direct connection and reports whether to consult witnesses.
func (p *Paths) note(addr string, err error) (suspect bool) {
	now := boottime.Now()
	again := false
	defer func() {
		if again {
			p.changed(false)
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failures[addr] = now
		suspect = !p.cutOff && !p.checking && p.enoughFailures(now)
		p.checking = p.checking || suspect
		return suspect
	}
	clear(p.failures)
	p.reachedAt = now
	again, p.cutOff = p.cutOff, false
	return false
}

// enoughFailures reports whether connections to at least minUnreachable upstreams failed recently. It forgets old
// failures. The caller holds mu.
func (p *Paths) enoughFailures(now time.Duration) bool {
	recent := 0
	for other, at := range p.failures {
		if now-at > failureTTL {
			delete(p.failures, other)
		}
		if now-at <= evidenceTTL {
			recent++
		}
	}
	return recent >= minUnreachable
}

// consultWitnesses connects to some upstreams to which no connection failed. Unless one of these or any other direct
// connection succeeds meanwhile, the node counts as cut off.
func (p *Paths) consultWitnesses() {
	began := boottime.Now()
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	var tries sync.WaitGroup
	for _, addr := range p.chooseWitnesses() {
		tries.Go(func() {
			conn, err := p.direct(ctx, addr)
			if err == nil {
				conn.Close()
			}
			p.note(addr, err)
		})
	}
	tries.Wait()
	now := boottime.Now()
	p.mu.Lock()
	p.checking = false
	cutOff := p.reachedAt < began && p.enoughFailures(now)
	if cutOff {
		p.cutOff, p.probedAt = true, now
	}
	p.mu.Unlock()
	if cutOff {
		p.changed(true)
	}
}

// chooseWitnesses returns the addresses of up to maxWitnesses upstreams to which no connection failed.
func (p *Paths) chooseWitnesses() []string {
	if p.witnesses == nil {
		return nil
	}
	known := p.witnesses()
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []string
	for _, addr := range known {
		if _, failed := p.failures[addr]; !failed && len(chosen) < maxWitnesses {
			chosen = append(chosen, addr)
		}
	}
	return chosen
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
