package fleet

// RateLimit is what an incarnation of an upstream says with its answers of the rate at which
// it takes calls from all nodes together. Several nodes learn of changes at different
// times; each change has a number, by which they agree on the latest.
type RateLimit struct {
	// Seq is the number of the latest change; zero if the upstream has not named a limit.
	Seq uint64 `json:"seq,omitempty"`
	// Limited is set while there is a limit, and PerSecond is the limit in calls per second.
	Limited   bool    `json:"limited,omitempty"`
	PerSecond float64 `json:"perSecond,omitempty"`
}

// Supersedes reports whether l is newer than o. Of two changes with the same number, which two
// nodes have seen independently, the stricter one counts as newer.
func (l RateLimit) Supersedes(o RateLimit) bool {
	return l.Seq > o.Seq || l.Seq == o.Seq && l.stricter(o)
}

// Observe returns the limit after an answer that names next, whose Seq is ignored. informed is
// set if the call was sent by a node that already knew of l. Without it, the answer may be
// older than l, so that only a stricter limit is taken from it.
func (l RateLimit) Observe(next RateLimit, informed bool) RateLimit {
	if next.Limited == l.Limited && next.PerSecond == l.PerSecond || !informed && !next.stricter(l) {
		return l
	}
	next.Seq = l.Seq + 1
	return next
}

// stricter reports whether l allows less than o.
func (l RateLimit) stricter(o RateLimit) bool {
	return l.Limited && (!o.Limited || l.PerSecond < o.PerSecond)
}
