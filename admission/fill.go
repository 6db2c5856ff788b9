package admission

import (
	"cmp"
	"slices"
	"time"
)

// claim is what one node asks of a total.
type claim struct {
	node   string
	demand int
	slack  time.Duration
	share  int
}

// fill divides a total among claims by max-min fairness: no claim gets more
// than its demand, and what one leaves goes to the others in equal parts.
// Units that cannot be divided go to the claims with the least slack.
func fill(total int, claims []claim) {
	order := make([]*claim, len(claims))
	for i := range claims {
		claims[i].share = 0
		order[i] = &claims[i]
	}
	slices.SortFunc(order, func(a, b *claim) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.node, b.node))
	})
	left := max(0, total)
	for i, c := range order {
		c.share = min(c.demand, left/(len(order)-i))
		left -= c.share
	}
	slices.SortFunc(order, func(a, b *claim) int {
		return cmp.Or(cmp.Compare(a.slack, b.slack), cmp.Compare(a.node, b.node))
	})
	for _, c := range order {
		if left > 0 && c.share < c.demand {
			c.share++
			left--
		}
	}
}

// leftover returns what the shares leave of a total.
func leftover(total int, claims []claim) int {
	for _, c := range claims {
		total -= c.share
	}
	return max(0, total)
}
