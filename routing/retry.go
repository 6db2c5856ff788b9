package routing

import (
	"math/rand/v2"
	"time"
)

// Execution says whether an attempt ran on its upstream.
type Execution int

// Executions.
const (
	// Indeterminate means that it is not known whether the attempt ran.
	Indeterminate Execution = iota
	// NotRun means that it is proved that the attempt did not run.
	NotRun
	// Ran means that the attempt ran.
	Ran
)

// Attempt describes an attempt that ended without an answer for the caller.
type Attempt struct {
	// Upstream is where it was sent.
	Upstream string
	// Customer is whose request it was.
	Customer string
	// Execution says whether it ran.
	Execution Execution
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Answered says that a part of the answer has reached the caller.
	Answered bool
	// Continues says that the attempt itself brought a part of the answer and
	// that the rest can be asked for.
	Continues bool
	// Number counts the attempts of the request, from 1.
	Number int
	// Deadline is the last instant at which the request may start.
	Deadline time.Duration
	// RetryAfter is the wait that the upstream asked for.
	RetryAfter time.Duration
}

// RetryDenial says why an attempt is not retried.
type RetryDenial int

// Reasons against a retry.
const (
	// Allowed means that nothing is against a retry.
	Allowed RetryDenial = iota
	// MayHaveRun means that the request is not idempotent and may have run.
	MayHaveRun
	// PartAnswered means that the caller holds a part of the answer.
	PartAnswered
	// TooManyAttempts means that the request had all its attempts.
	TooManyAttempts
	// PastDeadline means that the retry would start too late.
	PastDeadline
	// NoBudget means that retries are too large a part of the traffic.
	NoBudget
)

// RetryConfig configures a Retrier.
type RetryConfig struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// Ratio is the number of retries that each first attempt pays for.
	Ratio float64
	// Reserve is the number of retries that are free at first, and the most that
	// a budget holds.
	Reserve float64
	// Refill is the number of retries a second that a budget gains without any
	// request, so that rare requests have their retries.
	Refill float64
	// Backoff is the longest wait before the first retry; it doubles with each
	// attempt.
	Backoff time.Duration
	// MaxBackoff bounds the doubling.
	MaxBackoff time.Duration
}

// DefaultRetry allows one retry for ten requests, and one a second.
var DefaultRetry = RetryConfig{
	MaxAttempts: 3,
	Ratio:       0.1,
	Reserve:     3,
	Refill:      1,
	Backoff:     20 * time.Millisecond,
	MaxBackoff:  time.Second,
}

// Retrier decides on retries within a budget for each upstream and customer.
// It is not safe for concurrent use.
type Retrier struct {
	config    RetryConfig
	random    *rand.Rand
	upstreams map[string]budget
	customers map[string]budget
}

// budget is the number of retries that were left at a time.
type budget struct {
	left float64
	at   time.Duration
}

// NewRetrier returns a Retrier that draws its jitter from random.
func NewRetrier(config RetryConfig, random *rand.Rand) *Retrier {
	return &Retrier{
		config:    config,
		random:    random,
		upstreams: map[string]budget{},
		customers: map[string]budget{},
	}
}

// Sent notes the first attempt of a request, which pays into both budgets.
func (r *Retrier) Sent(upstream, customer string) {
	r.pay(r.upstreams, upstream)
	r.pay(r.customers, customer)
}

// pay adds to a budget, up to the reserve.
func (r *Retrier) pay(budgets map[string]budget, name string) {
	b, ok := budgets[name]
	if !ok {
		return // it is full
	}
	b.left = min(r.config.Reserve, b.left+r.config.Ratio)
	budgets[name] = b
}

// balance returns what a budget holds now.
func (r *Retrier) balance(budgets map[string]budget, name string, now time.Duration) budget {
	b, ok := budgets[name]
	if !ok {
		return budget{left: r.config.Reserve, at: now}
	}
	gained := r.config.Refill * (now - b.at).Seconds()
	return budget{left: min(r.config.Reserve, b.left+gained), at: now}
}

// spend charges one retry to a budget.
func (b budget) spend() budget {
	b.left--
	return b
}

// Retry decides whether an attempt may be followed by another and after what
// wait. An allowed retry is charged to both budgets. The rest of an answer is
// always asked for: that repeats no work, and every stream of a lost upstream
// needs it at once.
func (r *Retrier) Retry(a Attempt, now time.Duration) (time.Duration, RetryDenial) {
	if a.Continues {
		return r.backoff(a.Number), Allowed
	}
	if a.Execution != NotRun {
		if !a.Idempotent {
			return 0, MayHaveRun
		}
		if a.Answered {
			return 0, PartAnswered
		}
	}
	if a.Number >= r.config.MaxAttempts {
		return 0, TooManyAttempts
	}
	wait := max(r.backoff(a.Number), a.RetryAfter)
	if now+wait >= a.Deadline {
		return 0, PastDeadline
	}
	upstream := r.balance(r.upstreams, a.Upstream, now)
	customer := r.balance(r.customers, a.Customer, now)
	if upstream.left < 1 || customer.left < 1 {
		return 0, NoBudget
	}
	r.upstreams[a.Upstream] = upstream.spend()
	r.customers[a.Customer] = customer.spend()
	return wait, Allowed
}

// backoff returns a random wait up to a bound that doubles with each attempt.
func (r *Retrier) backoff(number int) time.Duration {
	bound := r.config.Backoff
	for range number - 1 {
		bound = min(2*bound, r.config.MaxBackoff)
	}
	return time.Duration(r.random.Float64() * float64(bound))
}

// Forget drops an upstream's budget.
func (r *Retrier) Forget(upstream string) {
	delete(r.upstreams, upstream)
}

// ForgetCustomer drops a customer's budget.
func (r *Retrier) ForgetCustomer(customer string) {
	delete(r.customers, customer)
}
