package policybench

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/agateslip/agateslip/contract"
)

// limiter holds a customer to its contract's rate, as admission does.
type limiter struct{ bucket *rate.Limiter }

func newLimiter(c contract.Capacity) *limiter {
	return &limiter{bucket: rate.NewLimiter(rate.Limit(c.Rate), c.Burst)}
}

func (l *limiter) allow(now time.Duration) bool {
	return l.bucket.AllowN(time.Unix(0, 0).Add(now), 1)
}
