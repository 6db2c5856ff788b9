package routing

import (
	"math"
	"slices"
	"time"
)

// Select chooses the upstream of a request, or returns why there is none. The caller
// must call Sent when it sends the request there.
func (s *Selector) Select(q Query, now time.Duration) (Choice, Result) {
	candidates := s.candidates(q)
	if len(candidates) == 0 {
		return Choice{}, NoReplica
	}
	if len(candidates) > s.config.SampleSize {
		if best := s.selectFromSample(candidates, q, now); best != nil {
			return best.choice(q), Chosen
		}
	}
	best, result := s.selectFromAll(candidates, q, now)
	if best == nil {
		return Choice{}, result
	}
	return best.choice(q), Chosen
}

// candidates returns the upstreams that serve the query's service or model, sorted by ID.
func (s *Selector) candidates(q Query) []*upstream {
	if q.Service != "" {
		return s.services[q.Service]
	}
	return s.models[q.Model]
}

// selectFromAll returns the eligible candidate with the lowest cost. It draws among equal
// ones at random, so that nodes with the same view do not all choose the same one. If
// none is eligible, it returns nil and the highest Result among the reasons.
func (s *Selector) selectFromAll(candidates []*upstream, q Query, now time.Duration) (*upstream, Result) {
	best, lowestCost, ties := (*upstream)(nil), time.Duration(math.MaxInt64), 0
	result := NotTaking
	for _, u := range candidates {
		if r := s.eligibility(u, q, now); r != Chosen {
			result = max(result, r)
			continue
		}
		cost := s.cost(u, q, now)
		if cost == lowestCost {
			ties++
			if s.random.IntN(ties+1) == 0 {
				best = u
			}
		}
		if cost < lowestCost {
			best, lowestCost, ties = u, cost, 0
		}
	}
	return best, result
}

// selectFromSample returns the eligible candidate with the lowest cost among a few: some
// drawn at random, the prompt's rendezvous choice, and one that has the adapter loaded.
// It returns nil if none of them is eligible. If all candidates were compared, load
// reports that lag would lead all nodes to the same upstream (power of two choices,
// Mitzenmacher 2001).
func (s *Selector) selectFromSample(candidates []*upstream, q Query, now time.Duration) *upstream {
	best, lowestCost := (*upstream)(nil), time.Duration(math.MaxInt64)
	consider := func(u *upstream) {
		if s.eligibility(u, q, now) != Chosen {
			return
		}
		if cost := s.cost(u, q, now); cost < lowestCost {
			best, lowestCost = u, cost
		}
	}
	for range s.config.SampleSize {
		consider(candidates[s.random.IntN(len(candidates))])
	}
	if len(q.Prefix) > 0 {
		consider(rendezvousChoice(candidates, q.Prefix[0]))
	}
	if holders := s.adapters[adapterKey{q.Model, q.Adapter}]; len(holders) > 0 {
		consider(holders[s.random.IntN(len(holders))])
	}
	return best
}

// rendezvousChoice returns the candidate that all nodes prefer for prompts that begin
// with the given block (rendezvous hashing, Thaler and Ravishankar 1998).
func rendezvousChoice(candidates []*upstream, first BlockHash) *upstream {
	best, highestWeight := candidates[0], uint64(0)
	for _, u := range candidates {
		if weight := mixBits(uint64(first) ^ u.idHash); weight >= highestWeight {
			best, highestWeight = u, weight
		}
	}
	return best
}

// mixBits returns a hash in which each bit depends on all bits of x (the finalizer of
// SplitMix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// eligibility returns Chosen if the upstream may get the request, or else why not.
func (s *Selector) eligibility(u *upstream, q Query, now time.Duration) Result {
	switch {
	case !u.acceptsWork:
		return NotTaking
	case q.Software != nil && *q.Software != u.software:
		return OtherSoftware
	case slices.Contains(q.Exclude, u.id):
		return Excluded
	case !u.breaker.Allows(now):
		return Broken
	case s.overloaded(u, q):
		return Overloaded
	default:
		return Chosen
	}
}

// overloaded reports whether the upstream has reached its maximum load. For batch requests
// that is its number of slots, which leaves the queue to the others.
func (s *Selector) overloaded(u *upstream, q Query) bool {
	limit := s.config.MaxRequestsPerSlot * float64(u.slots)
	if q.Priority == Batch {
		limit = float64(u.slots)
	}
	return float64(u.load()) >= limit
}

// batchSlowdown is the share of the service time that a full batch adds to the time to
// the first token.
const batchSlowdown = 0.1

// cost returns the expected time to the first token.
func (s *Selector) cost(u *upstream, q Query, now time.Duration) time.Duration {
	costs := s.config.Costs
	cost := time.Duration(float64(costs.ServiceTime) * u.loadDelay(q.Priority))
	if u.domain != q.Domain {
		cost += costs.CrossDomainTime
	}
	if q.Adapter != "" && !u.hasAdapter(q.Model, q.Adapter) {
		cost += costs.AdapterLoadTime
	}
	if len(q.Prefix) > 0 {
		uncachedBlocks := float64(len(q.Prefix)) - s.prefixes.Match(u.id, q.Prefix, now)
		cost += time.Duration(uncachedBlocks * float64(costs.BlockTime))
	}
	return cost
}

// loadDelay returns the time that the upstream's load adds, in units of the service time.
// A batch slows down as it fills, and requests beyond the slots wait for one of them.
func (u *upstream) loadDelay(p Priority) float64 {
	slots := max(1, u.slots)
	load := u.load()
	waiting := max(0, load+1-slots)
	if p == Urgent {
		waiting = min(1, waiting)
	}
	return (batchSlowdown*float64(min(load, slots)) + float64(waiting)) / float64(slots)
}

// decay returns a weight that is 1 at age zero and halves with each half-life.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
