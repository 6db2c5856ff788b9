package routing

import (
	"math/rand/v2"
	"time"
)

// Execution states whether an attempt ran on its upstream, as far as that is known.
type Execution int

// Execution values.
const (
	// Indeterminate means that the attempt may have run.
	Indeterminate Execution = iota
	// NotRun means that the attempt is known not to have run.
	NotRun
	// Ran means that the attempt ran.
	Ran
)

// Attempt describes an attempt that ended without an answer for the caller.
type Attempt struct {
	// Upstream is the ID of the upstream that the attempt was sent to.
	Upstream string
	// Customer is the ID of the customer who sent the request.
	Customer string
	// Execution states whether the attempt ran.
	Execution Execution
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// Answered is set when a part of the answer has reached the caller.
	Answered bool
	// Resumable is set when this attempt returned a part of the answer and another
	// upstream can continue it from there.
	Resumable bool
	// Number is the number of this attempt among the request's attempts, from 1.
	Number int
	// Deadline is the time before which a retry must start.
	Deadline time.Duration
	// RetryAfter is the wait that the upstream asked for; zero if it asked for none.
	RetryAfter time.Duration
}

// RetryDenial is the reason why an attempt is not retried, or Allowed.
type RetryDenial int

// RetryDenial values.
const (
	// Allowed means that the attempt may be retried.
	Allowed RetryDenial = iota
	// MayHaveRun means that the request is not idempotent and may have run.
	MayHaveRun
	// PartAnswered means that the caller has received a part of the answer.
	PartAnswered
	// TooManyAttempts means that the request has used all its attempts.
	TooManyAttempts
	// PastDeadline means that the retry would start too late.
	PastDeadline
	// NoBudget means that the upstream's or the customer's retry budget is spent.
	NoBudget
)

// RetryConfig configures a Retrier.
type RetryConfig struct {
	// MaxAttempts is the largest number of attempts of one request.
	MaxAttempts int
	// RetriesPerRequest is the number of retries that each request adds to a budget.
	RetriesPerRequest float64
	// MaxBudget is the number of retries that a budget holds at first and at most.
	MaxBudget float64
	// RefillPerSecond is the number of retries that a budget gains each second, even
	// without requests, so that rare requests can be retried.
	RefillPerSecond float64
	// Backoff is the upper bound of the random wait before the first retry. It doubles
	// with each attempt.
	Backoff time.Duration
	// MaxBackoff is the largest value of the doubled bound.
	MaxBackoff time.Duration
}

// DefaultRetry allows one retry for every ten requests, plus one each second.
var DefaultRetry = RetryConfig{
	MaxAttempts:       3,
	RetriesPerRequest: 0.1,
	MaxBudget:         3,
	RefillPerSecond:   1,
	Backoff:           20 * time.Millisecond,
	MaxBackoff:        time.Second,
}

// Retrier decides whether attempts are retried. It keeps a retry budget for each upstream
// and for each customer. It is not safe for concurrent use.
type Retrier struct {
	config    RetryConfig
	random    *rand.Rand
	upstreams map[string]budget
	customers map[string]budget
}

// budget is the number of retries that were left at the time updatedAt.
type budget struct {
	retries   float64
	updatedAt time.Duration
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

// Sent records the first attempt of a request, which adds to the budgets of its upstream
// and its customer.
func (r *Retrier) Sent(upstream, customer string) {
	r.deposit(r.upstreams, upstream)
	r.deposit(r.customers, customer)
}

// deposit adds RetriesPerRequest to a budget, up to MaxBudget.
func (r *Retrier) deposit(budgets map[string]budget, name string) {
	b, ok := budgets[name]
	if !ok {
		return // an unknown budget is full
	}
	b.retries = min(r.config.MaxBudget, b.retries+r.config.RetriesPerRequest)
	budgets[name] = b
}

// currentBudget returns a budget with its refill up to now. An unknown one is full.
func (r *Retrier) currentBudget(budgets map[string]budget, name string, now time.Duration) budget {
	b, ok := budgets[name]
	if !ok {
		return budget{retries: r.config.MaxBudget, updatedAt: now}
	}
	gained := r.config.RefillPerSecond * (now - b.updatedAt).Seconds()
	return budget{retries: min(r.config.MaxBudget, b.retries+gained), updatedAt: now}
}

// spend returns the budget with one retry less.
func (b budget) spend() budget {
	b.retries--
	return b
}

// Retry decides whether an attempt may be retried, and returns the wait before the retry.
// An allowed retry is charged to the budgets of the upstream and the customer. Continuing
// an answer is always allowed and not charged: it repeats no work, and when an upstream
// is lost, all its streams must continue at once.
func (r *Retrier) Retry(a Attempt, now time.Duration) (time.Duration, RetryDenial) {
	if a.Resumable {
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
	upstream := r.currentBudget(r.upstreams, a.Upstream, now)
	customer := r.currentBudget(r.customers, a.Customer, now)
	if upstream.retries < 1 || customer.retries < 1 {
		return 0, NoBudget
	}
	r.upstreams[a.Upstream] = upstream.spend()
	r.customers[a.Customer] = customer.spend()
	return wait, Allowed
}

// backoff returns a random wait after the given attempt, up to a bound that doubles with
// each attempt.
func (r *Retrier) backoff(attempt int) time.Duration {
	bound := r.config.Backoff
	for range attempt - 1 {
		bound = min(2*bound, r.config.MaxBackoff)
	}
	return time.Duration(r.random.Float64() * float64(bound))
}

// Forget removes an upstream's budget.
func (r *Retrier) Forget(upstream string) {
	delete(r.upstreams, upstream)
}

// ForgetCustomer removes a customer's budget.
func (r *Retrier) ForgetCustomer(customer string) {
	delete(r.customers, customer)
}
