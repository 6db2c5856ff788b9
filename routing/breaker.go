package routing

import "time"

// BreakerState is the state of a circuit breaker.
type BreakerState int

// Breaker states.
const (
	// Closed allows all requests.
	Closed BreakerState = iota
	// Open allows no requests.
	Open
	// HalfOpen allows one request at a time, as a probe.
	HalfOpen
)

// BreakerConfig configures a Breaker.
type BreakerConfig struct {
	// FailureThreshold is the number of consecutive failures that open the breaker.
	FailureThreshold int
	// Cooldown is how long the breaker stays open the first time; it doubles
	// with each failed probe.
	Cooldown time.Duration
	// MaxCooldown is the upper bound of the doubled cooldown.
	MaxCooldown time.Duration
	// ProbeTimeout is the time after which a probe without an outcome counts as failed.
	ProbeTimeout time.Duration
}

// DefaultBreaker is a configuration for upstreams with a round-trip time of about a
// millisecond.
var DefaultBreaker = BreakerConfig{
	FailureThreshold: 3,
	Cooldown:         500 * time.Millisecond,
	MaxCooldown:      8 * time.Second,
	ProbeTimeout:     5 * time.Second,
}

// Breaker is a circuit breaker for one upstream. It is not safe for concurrent
// use.
type Breaker struct {
	config              BreakerConfig
	state               BreakerState
	consecutiveFailures int
	cooldown            time.Duration
	stateDeadline       time.Duration // end of the cooldown, or timeout of the probe
	probeInFlight       bool
}

// NewBreaker returns a closed breaker.
func NewBreaker(config BreakerConfig) *Breaker {
	return &Breaker{config: config, cooldown: config.Cooldown}
}

// State returns the breaker's state at the given time.
func (b *Breaker) State(now time.Duration) BreakerState {
	b.applyTimeouts(now)
	return b.state
}

// Allows reports whether a request may be sent now.
func (b *Breaker) Allows(now time.Duration) bool {
	b.applyTimeouts(now)
	return b.state == Closed || b.state == HalfOpen && !b.probeInFlight
}

// applyTimeouts changes the state if a cooldown or a probe has reached its time limit.
func (b *Breaker) applyTimeouts(now time.Duration) {
	if now < b.stateDeadline {
		return
	}
	if b.state == Open {
		b.state = HalfOpen
		b.probeInFlight = false
	}
	if b.state == HalfOpen && b.probeInFlight {
		b.reopen(now)
	}
}

// Sent records that a request was sent. In the half-open state it is the probe.
func (b *Breaker) Sent(now time.Duration) {
	b.applyTimeouts(now)
	if b.state == HalfOpen && !b.probeInFlight {
		b.probeInFlight = true
		b.stateDeadline = now + b.config.ProbeTimeout
	}
}

// Succeeded records that the upstream answered a request. An open breaker stays open: the
// request was sent before it opened.
func (b *Breaker) Succeeded(now time.Duration) {
	b.applyTimeouts(now)
	if b.state == Open {
		return
	}
	b.state = Closed
	b.consecutiveFailures = 0
	b.probeInFlight = false
	b.cooldown = b.config.Cooldown
}

// Failed records that the upstream did not answer a request, or answered with an error
// that it caused itself.
func (b *Breaker) Failed(now time.Duration) {
	b.applyTimeouts(now)
	b.consecutiveFailures++
	switch {
	case b.state == HalfOpen && b.probeInFlight:
		b.reopen(now)
	case b.state == Closed && b.consecutiveFailures >= b.config.FailureThreshold:
		b.open(now)
	}
}

// Distrusted records an answer that may not be the upstream's. The breaker opens at once: requests on other connections
// may succeed in between, and each such answer costs a caller a call whose outcome is unknown.
func (b *Breaker) Distrusted(now time.Duration) {
	b.applyTimeouts(now)
	switch {
	case b.state == HalfOpen && b.probeInFlight:
		b.reopen(now)
	case b.state != Open:
		b.open(now)
	}
}

// Canceled records that a request ended without showing whether the upstream works. In
// the half-open state the next request is then the probe.
func (b *Breaker) Canceled(now time.Duration) {
	b.applyTimeouts(now)
	if b.state == HalfOpen {
		b.probeInFlight = false
	}
}

// reopen opens the breaker after a failed probe, with the cooldown doubled up to
// MaxCooldown.
func (b *Breaker) reopen(now time.Duration) {
	b.cooldown = min(2*b.cooldown, b.config.MaxCooldown)
	b.open(now)
}

// open opens the breaker for the present cooldown.
func (b *Breaker) open(now time.Duration) {
	b.state = Open
	b.probeInFlight = false
	b.consecutiveFailures = 0
	b.stateDeadline = now + b.cooldown
}
