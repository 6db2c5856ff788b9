package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// candidate is an upstream that can run a call now.
type candidate struct {
	upstream *upstream
	// cost is the cost of running the call there, as a share of the upstream's slots.
	cost float64
}

// pick chooses one of the candidates for a call, or nil if there are none.
//
// Many nodes choose from counts that are some hundred milliseconds old. If each took the
// upstream with the lowest cost, all calls that arrive until the counts change would
// crowd it. pick instead assumes that the unseen calls have already been spread so that
// the costs of the cheapest upstreams are equal, and draws an upstream with a
// probability proportional to the calls that it would have got ("load interpretation",
// Dahlin 1999). The draw is by the hash of call and upstream.
func pick(candidates []candidate, call uint64, unseen float64) *upstream {
	level := fillLevel(candidates, unseen)
	var best *upstream
	lowest := math.Inf(1)
	for _, c := range candidates {
		weight := (level - c.cost) * float64(c.upstream.slotCount())
		if weight <= 0 {
			continue
		}
		// The least of exponentially distributed numbers falls on each candidate with a
		// probability proportional to its weight.
		if draw := -math.Log1p(-rendezvousScore(call, c.upstream.desc.ID)) / weight; best == nil || draw < lowest {
			best, lowest = c.upstream, draw
		}
	}
	if best == nil && len(candidates) > 0 {
		return candidates[0].upstream // rounding left no weight: the numbers of calls and slots differ too much
	}
	return best
}

// fillLevel returns the cost that the cheapest candidates reach after the given number
// of calls has been spread over them so that their costs become equal. It sorts the
// candidates by cost.
func fillLevel(candidates []candidate, calls float64) float64 {
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	slots, filled, level := 0.0, 0.0, 0.0
	for i, c := range candidates {
		if i > 0 && slots*c.cost-filled >= calls {
			break
		}
		slots += float64(c.upstream.slotCount())
		filled += float64(c.upstream.slotCount()) * c.cost
		level = (calls + filled) / slots
	}
	return level
}

// countLag is the mean age of the planner's counts when this node receives them: half of
// the interval between the reports of a node.
const countLag = 200 * time.Millisecond

// unseenCalls estimates how many calls of other nodes have reached the candidates since
// the planner counted; at least one, the call itself. In a steady state as many calls
// arrive within LoadReportTTL, the duration of a call, as run.
func (d *Dispatcher) unseenCalls(candidates []candidate, now time.Duration) float64 {
	age := now - d.plannerCountAt + countLag
	if age >= d.limits.LoadReportTTL {
		return 1
	}
	running := 0
	for _, c := range candidates {
		running += c.upstream.plannerCount
	}
	return max(1, float64(running)*float64(age)/float64(d.limits.LoadReportTTL))
}
