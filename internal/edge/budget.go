package edge

import (
	"time"

	"github.com/agateslip/agateslip/internal/config"
)

const (
	// budgetShare is the share of the deployment's retry budget that the nodes use. The
	// rest is a reserve for times when the number of nodes changes.
	budgetShare = 0.7
	// budgetSlots is the number of slots that the window is divided into. One more slot
	// of retries is kept, so that rounding to whole slots never exceeds the budget.
	budgetSlots = 10
)

// retryBudget is this node's share of the retry budget of one service. It consists of a
// ratio of the calls that came through this node within the window, and of an equal
// part of the extra retries that are allowed without calls.
type retryBudget struct {
	// calls and retries count the calls for the service and their retries, in a ring of
	// slots.
	calls, retries [budgetSlots + 1]int
	// latestSlot is the number of the latest slot, counted from time zero.
	latestSlot int64
}

// recordCall counts a call for the service.
func (b *retryBudget) recordCall(c *config.RetryBudget, now time.Duration) {
	b.calls[b.advance(c, now)]++
}

// trySpend counts one retry and returns true if the budget allows it. The first retry
// within a window is always allowed.
func (b *retryBudget) trySpend(c *config.RetryBudget, entryNodes int64, now time.Duration) bool {
	current := b.advance(c, now)
	calls, retries := 0, 0
	for i := range b.calls {
		retries += b.retries[i]
		if i != (current+1)%len(b.calls) { // the oldest slot is partly outside the window
			calls += b.calls[i]
		}
	}
	limit := budgetShare * (c.Ratio*float64(calls) + c.Extra/float64(max(1, entryNodes)))
	if float64(retries+1) > max(1, limit) {
		return false
	}
	b.retries[current]++
	return true
}

// advance clears the slots that have expired and returns the index of the current one.
func (b *retryBudget) advance(c *config.RetryBudget, now time.Duration) int {
	slot := int64(now / (time.Duration(c.Window) / budgetSlots))
	for n := int64(0); n < int64(len(b.calls)) && b.latestSlot < slot; n++ {
		b.latestSlot++
		b.calls[b.latestSlot%int64(len(b.calls))] = 0
		b.retries[b.latestSlot%int64(len(b.calls))] = 0
	}
	b.latestSlot = slot
	return int(slot % int64(len(b.calls)))
}
