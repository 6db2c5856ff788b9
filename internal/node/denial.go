package node

import (
	"time"

	"github.com/agateslip/agateslip/placement"
)

// minDenialInterval is how long after the first denial of a withdrawn grant a load
// order for it could still arrive. No load order is sent after the withdrawal, and one
// from an earlier leader expires with that leader's lease plus the order deadline.
const minDenialInterval = raftLease + orderDeadline

// denialTracker records, by grant ID, when an upstream first answered that it holds no
// replica of a withdrawn grant. A second denial at least minDenialInterval later proves
// that the grant has ended: it was withdrawn before its load order arrived, and none
// can arrive any more. It is used by the planner goroutine only and is replaced at each
// new term.
type denialTracker struct {
	firstDenial map[uint64]time.Duration
}

func newDenialTracker() *denialTracker {
	return &denialTracker{firstDenial: map[uint64]time.Duration{}}
}

// recordDenial records one denial and reports whether the grant may be released.
func (t *denialTracker) recordDenial(grant uint64, now time.Duration) bool {
	first, seen := t.firstDenial[grant]
	if !seen {
		t.firstDenial[grant] = now
		return false
	}
	if now-first < minDenialInterval {
		return false
	}
	delete(t.firstDenial, grant)
	return true
}

// releaseChange returns the change that ends a grant whose upstream denied holding it.
func releaseChange(o placement.Order) placement.Change {
	return placement.Change{Kind: placement.Release, ID: o.Grant, Upstream: o.Upstream, Incarnation: o.Incarnation}
}
