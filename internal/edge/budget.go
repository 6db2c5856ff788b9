package edge

import (
	"time"

	"github.com/agateslip/agateslip/internal/config"
)

const (
	// budgetShare is the share of the deployment's budget for second sends that the
	// nodes use between them; the rest covers nodes that come and go.
	budgetShare = 0.7
	// budgetSlots is how many parts of the window are counted apart. One more is kept
	// of the second sends, so that rounding never lets one too many through.
	budgetSlots = 10
)

// retryBudget is this node's share of what may be sent again to one service: of what
// the calls within the window earn, those that came through this node, and of what
// no calls must earn, an equal part.
type retryBudget struct {
	// calls and sends count the calls for the service and the second sends, in a ring
	// of parts of the window.
	calls, sends [budgetSlots + 1]int
	// part is the number of the latest part.
	part int64
}

// earn takes note of a call for the service.
func (b *retryBudget) earn(c *config.RetryBudget, now time.Duration) {
	b.calls[b.turn(c, now)]++
}

// spend takes one second send off the budget if it allows it.
func (b *retryBudget) spend(c *config.RetryBudget, entries int64, now time.Duration) bool {
	at := b.turn(c, now)
	calls, sends := 0, 0
	for i := range b.calls {
		sends += b.sends[i]
		if i != (at+1)%len(b.calls) { // the oldest part is not whole any more
			calls += b.calls[i]
		}
	}
	most := budgetShare * (c.Ratio*float64(calls) + c.Extra/float64(max(1, entries)))
	if float64(sends+1) > max(1, most) {
		return false
	}
	b.sends[at]++
	return true
}

// turn clears the parts that are over and returns the place of the present one.
func (b *retryBudget) turn(c *config.RetryBudget, now time.Duration) int {
	part := int64(now / (time.Duration(c.Window) / budgetSlots))
	for n := int64(0); n < int64(len(b.calls)) && b.part < part; n++ {
		b.part++
		b.calls[b.part%int64(len(b.calls))] = 0
		b.sends[b.part%int64(len(b.calls))] = 0
	}
	b.part = part
	return int(part % int64(len(b.calls)))
}
