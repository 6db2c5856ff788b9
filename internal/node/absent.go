package node

import (
	"time"

	"github.com/agateslip/agateslip/placement"
)

// absenceHold is how long after an upstream first denied a withdrawn grant a load
// order of that grant could still arrive: none is sent after the withdrawal, and
// an earlier leader's ends with its lease and the order's deadline.
const absenceHold = raftLease + orderDeadline

// absences collects upstreams' own answers that they hold no replica of a
// withdrawn grant. Two answers at least absenceHold apart prove that the grant
// ended: it was withdrawn before its load order arrived. It belongs to the
// planner's goroutine and starts anew with each term.
type absences struct {
	first map[uint64]time.Duration
}

func newAbsences() *absences { return &absences{first: map[uint64]time.Duration{}} }

// deny takes one answer. It is true where the grant may be released.
func (a *absences) deny(grant uint64, now time.Duration) bool {
	first, seen := a.first[grant]
	if !seen {
		a.first[grant] = now
		return false
	}
	if now-first < absenceHold {
		return false
	}
	delete(a.first, grant)
	return true
}

// release is the change that ends a grant whose upstream denied it.
func release(o placement.Order) placement.Change {
	return placement.Change{Kind: placement.Release, ID: o.Grant, Upstream: o.Upstream, Incarnation: o.Incarnation}
}
