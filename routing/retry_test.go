package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRestOfAnAnswerNeedsNoBudget(t *testing.T) {
	is := is.New(t)
	r := NewRetrier(DefaultRetry, rand.New(rand.NewPCG(1, 1)))
	a := Attempt{Upstream: "u", Customer: "c", Execution: Ran, Idempotent: true, Number: 1, Deadline: time.Minute}
	allowed := 0
	for range 10 {
		if _, denial := r.Retry(a, 0); denial == Allowed {
			allowed++
		}
	}
	is.Equal(allowed, int(DefaultRetry.Reserve)) // work that begins anew is budgeted
	a.Continues = true
	for range 10 {
		_, denial := r.Retry(a, 2*time.Minute) // the answer has started in time
		is.Equal(denial, Allowed)
	}
}

func TestRareRequestsGetTheirRetries(t *testing.T) {
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
