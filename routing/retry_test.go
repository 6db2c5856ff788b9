package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestContinuationNeedsNoBudget checks that continuing an answer is neither charged to a
// budget nor bound by the deadline.
func TestContinuationNeedsNoBudget(t *testing.T) {
	is := is.New(t)
	r := NewRetrier(DefaultRetry, rand.New(rand.NewPCG(1, 1)))
	a := Attempt{Upstream: "u", Customer: "c", Execution: Ran, Idempotent: true, Number: 1, Deadline: time.Minute}
	allowed := 0
	for range 10 {
		if _, denial := r.Retry(a, 0); denial == Allowed {
			allowed++
		}
	}
	is.Equal(allowed, int(DefaultRetry.MaxBudget)) // attempts that start over are charged
	a.Resumable = true
	for range 10 {
		_, denial := r.Retry(a, 2*time.Minute) // past the deadline, which only limits the start
		is.Equal(denial, Allowed)
	}
}

// TestBudgetRefillsOverTime checks that requests that come once a minute are retried: the
// share added by each request would not pay for a retry.
func TestBudgetRefillsOverTime(t *testing.T) {
	is := is.New(t)
	r := NewRetrier(DefaultRetry, rand.New(rand.NewPCG(1, 1)))
	for minute := range 20 {
		now := time.Duration(minute) * time.Minute
		a := Attempt{Upstream: "u", Customer: "c", Idempotent: true, Number: 1, Deadline: now + time.Minute}
		r.Sent("u", "c")
		_, denial := r.Retry(a, now)
		is.Equal(denial, Allowed)
	}
}
