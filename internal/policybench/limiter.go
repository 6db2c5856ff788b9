package policybench

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/agateslip/agateslip/contract"
)

// limiter enforces the request rate of a customer's contract, as admission does.
type limiter struct{ bucket *rate.Limiter }

// newLimiter returns a limiter with the rate and burst of a contract.
func newLimiter(c contract.Capacity) *limiter {
	return &limiter{bucket: rate.NewLimiter(rate.Limit(c.Rate), c.Burst)}
}

// allow reports whether a call at an instant of virtual time is within the rate.
func (l *limiter) allow(now time.Duration) bool {
	return l.bucket.AllowN(time.Unix(0, 0).Add(now), 1)
}
