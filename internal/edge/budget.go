package edge

import (
	"time"

	"github.com/agateslip/agateslip/internal/config"
)

// budgetShare is the share of the deployment's budget for second sends that the
// nodes use between them; the rest covers nodes that come and go.
const budgetShare = 0.7

// retryBudget is this node's share of what may be sent again to one service. It
// fills with the calls for the service and with time, as the deployment's bound
// does over its window.
type retryBudget struct {
	left  float64
	since time.Duration
	known bool
}

// earn takes note of a call for the service.
func (b *retryBudget) earn(c *config.RetryBudget, entries int64, now time.Duration) {
	b.refill(c, entries, now)
	b.left = min(b.left+c.Ratio*budgetShare, b.most(c, entries))
}

// spend takes one second send off the budget if it allows it.
func (b *retryBudget) spend(c *config.RetryBudget, entries int64, now time.Duration) bool {
	b.refill(c, entries, now)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// most is the share of one node of the part that no calls must earn.
func (b *retryBudget) most(c *config.RetryBudget, entries int64) float64 {
	return max(1, c.Extra*budgetShare/float64(max(1, entries))/2)
}

func (b *retryBudget) refill(c *config.RetryBudget, entries int64, now time.Duration) {
	most := b.most(c, entries)
	if !b.known {
		b.known, b.left, b.since = true, most, now
		return
	}
	window := time.Duration(c.Window)
	b.left = min(most, b.left+most*float64(now-b.since)/float64(window))
	b.since = now
}
