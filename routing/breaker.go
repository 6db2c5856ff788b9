package routing

import "time"

// BreakerState is the state of a circuit breaker.
type BreakerState int

// Breaker states.
const (
	// Closed lets all requests through.
	Closed BreakerState = iota
	// Open lets none through.
	Open
	// HalfOpen lets one probe through at a time.
	HalfOpen
)

// BreakerConfig configures a Breaker.
type BreakerConfig struct {
	// Failures opens the breaker when so many come in a row.
	Failures int
	// Cooldown is how long the breaker stays open the first time; it doubles
	// with each failed probe.
	Cooldown time.Duration
	// MaxCooldown bounds the doubling.
	MaxCooldown time.Duration
	// ProbeTimeout is when a probe without an outcome counts as failed.
	ProbeTimeout time.Duration
}

// DefaultBreaker is a configuration for upstreams a millisecond away.
var DefaultBreaker = BreakerConfig{
	Failures:     3,
	Cooldown:     500 * time.Millisecond,
	MaxCooldown:  8 * time.Second,
	ProbeTimeout: 5 * time.Second,
}

// Breaker is a circuit breaker for one upstream. It is not safe for concurrent
// use.
type Breaker struct {
	config   BreakerConfig
	state    BreakerState
	failures int
	cooldown time.Duration
	until    time.Duration // end of the cooldown or of the probe
	probing  bool
}

// NewBreaker returns a closed breaker.
func NewBreaker(config BreakerConfig) *Breaker {
	return &Breaker{config: config, cooldown: config.Cooldown}
}

// State returns the state at the given time.
func (b *Breaker) State(now time.Duration) BreakerState {
	b.advance(now)
	return b.state
}

// Allows reports whether a request may be sent now.
func (b *Breaker) Allows(now time.Duration) bool {
	b.advance(now)
	return b.state == Closed || b.state == HalfOpen && !b.probing
}

// advance moves on what time alone changes.
func (b *Breaker) advance(now time.Duration) {
	if now < b.until {
		return
	}
	if b.state == Open {
		b.state = HalfOpen
		b.probing = false
	}
	if b.state == HalfOpen && b.probing {
		b.trip(now)
	}
}

// Sent notes that a request was sent; in the half-open state it is the probe.
func (b *Breaker) Sent(now time.Duration) {
	b.advance(now)
	if b.state == HalfOpen && !b.probing {
		b.probing = true
		b.until = now + b.config.ProbeTimeout
	}
}

// Succeeded notes a request that the upstream answered.
func (b *Breaker) Succeeded(now time.Duration) {
	b.advance(now)
	if b.state == Open {
		return
	}
	b.state = Closed
	b.failures = 0
	b.probing = false
	b.cooldown = b.config.Cooldown
}

// Failed notes a request that the upstream did not answer or answered with a
// fault of its own.
func (b *Breaker) Failed(now time.Duration) {
	b.advance(now)
	b.failures++
	switch {
	case b.state == HalfOpen && b.probing:
		b.trip(now)
	case b.state == Closed && b.failures >= b.config.Failures:
		b.open(now)
	}
}

// Canceled notes a request that ended without telling about the upstream.
func (b *Breaker) Canceled(now time.Duration) {
	b.advance(now)
	if b.state == HalfOpen {
		b.probing = false
	}
}

// trip opens the breaker after a failed probe, for twice as long.
func (b *Breaker) trip(now time.Duration) {
	b.cooldown = min(2*b.cooldown, b.config.MaxCooldown)
	b.open(now)
}

// open opens the breaker.
func (b *Breaker) open(now time.Duration) {
	b.state = Open
	b.probing = false
	b.failures = 0
	b.until = now + b.cooldown
}
