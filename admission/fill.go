package admission

import (
	"cmp"
	"slices"
	"time"
)

// claim is the demand of one node for a part of a total, and the share that it gets.
type claim struct {
	node   string
	demand int
	slack  time.Duration // time to the node's earliest deadline
	share  int
}

// assignShares divides a total among claims by max-min fairness: no claim gets more
// than its demand, and what one claim does not need is divided equally among the
// others. The units that the integer division leaves over go, one each, to the claims
// with the least slack.
func assignShares(total int, claims []claim) {
	order := make([]*claim, len(claims))
	for i := range claims {
		claims[i].share = 0
		order[i] = &claims[i]
	}
	slices.SortFunc(order, func(a, b *claim) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.node, b.node))
	})
	remaining := max(0, total)
	for i, c := range order {
		c.share = min(c.demand, remaining/(len(order)-i))
		remaining -= c.share
	}
	slices.SortFunc(order, func(a, b *claim) int {
		return cmp.Or(cmp.Compare(a.slack, b.slack), cmp.Compare(a.node, b.node))
	})
	for _, c := range order {
		if remaining > 0 && c.share < c.demand {
			c.share++
			remaining--
		}
	}
}

// leftover returns the part of a total that no claim got.
func leftover(total int, claims []claim) int {
	for _, c := range claims {
		total -= c.share
	}
	return max(0, total)
}
