package routing

import (
	"math"
	"slices"
	"time"
)

// Select chooses the upstream of a request. The caller notes with Sent that it
// sends the request there.
func (s *Selector) Select(q Query, now time.Duration) (Choice, Result) {
	candidates := s.candidates(q)
	if len(candidates) == 0 {
		return Choice{}, NoReplica
	}
	if len(candidates) > s.config.Sample {
		if best := s.sample(candidates, q, now); best != nil {
			return best.choice(q), Chosen
		}
	}
	best, result := s.scan(candidates, q, now)
	if best == nil {
		return Choice{}, result
	}
	return best.choice(q), Chosen
}

// candidates returns the upstreams that serve the target.
func (s *Selector) candidates(q Query) []*upstream {
	if q.Service != "" {
		return s.services[q.Service]
	}
	return s.models[q.Model]
}

// scan returns the best candidate. Equal ones are chosen by lot, so that nodes
// with the same view do not all choose the same.
func (s *Selector) scan(candidates []*upstream, q Query, now time.Duration) (*upstream, Result) {
	best, least, ties := (*upstream)(nil), time.Duration(math.MaxInt64), 0
	result := NotTaking
	for _, u := range candidates {
		if r := s.usable(u, q, now); r != Chosen {
			result = max(result, r)
			continue
		}
		cost := s.cost(u, q, now)
		if cost == least {
			ties++
			if s.random.IntN(ties+1) == 0 {
				best = u
			}
		}
		if cost < least {
			best, least, ties = u, cost, 0
		}
	}
	return best, result
}

// sample returns the best of a few candidates: some drawn by lot, the prompt's
// home and one that has the adapter. It returns nil if none of them is usable.
// Comparing all by reports that lag would send the requests of all nodes to the
// same upstream (power of two choices, Mitzenmacher 2001).
func (s *Selector) sample(candidates []*upstream, q Query, now time.Duration) *upstream {
	best, least := (*upstream)(nil), time.Duration(math.MaxInt64)
	consider := func(u *upstream) {
		if s.usable(u, q, now) != Chosen {
			return
		}
		if cost := s.cost(u, q, now); cost < least {
			best, least = u, cost
		}
	}
	for range s.config.Sample {
		consider(candidates[s.random.IntN(len(candidates))])
	}
	if len(q.Prefix) > 0 {
		consider(home(candidates, q.Prefix[0]))
	}
	if holders := s.adapters[adapterKey{q.Model, q.Adapter}]; len(holders) > 0 {
		consider(holders[s.random.IntN(len(holders))])
	}
	return best
}

// home returns the candidate that all nodes prefer for prompts that begin with
// the block (rendezvous hashing, Thaler and Ravishankar 1998).
func home(candidates []*upstream, first BlockHash) *upstream {
	best, most := candidates[0], uint64(0)
	for _, u := range candidates {
		if weight := mix(uint64(first) ^ u.hash); weight >= most {
			best, most = u, weight
		}
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// usable reports whether the upstream may be given the request, or why not.
func (s *Selector) usable(u *upstream, q Query, now time.Duration) Result {
	switch {
	case !u.takes:
		return NotTaking
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

// overloaded reports whether the upstream has as much work as it may. Batch
// requests leave it at its slots.
func (s *Selector) overloaded(u *upstream, q Query) bool {
	bound := s.config.Overload * float64(u.slots)
	if q.Priority == Batch {
		bound = float64(u.slots)
	}
	return float64(u.load()) >= bound
}

// batchShare is the part of a request's time that a full batch adds to the
// time to the first token.
const batchShare = 0.1

// cost is the expected time to the first token.
func (s *Selector) cost(u *upstream, q Query, now time.Duration) time.Duration {
	costs := s.config.Costs
	cost := time.Duration(float64(costs.Service) * u.delay(q.Priority))
	if u.domain != q.Domain {
		cost += costs.Crossing
	}
	if q.Adapter != "" && !u.hasAdapter(q.Model, q.Adapter) {
		cost += costs.Adapter
	}
	if len(q.Prefix) > 0 {
		missing := float64(len(q.Prefix)) - s.prefixes.Match(u.id, q.Prefix, now)
		cost += time.Duration(missing * float64(costs.Block))
	}
	return cost
}

// delay is the time that the load adds, in service times: a batch slows down
// as it fills, and what exceeds the slots waits for one of them.
func (u *upstream) delay(p Priority) float64 {
	slots := max(1, u.slots)
	load := u.load()
	waiting := max(0, load+1-slots)
	if p == Urgent {
		waiting = min(1, waiting)
	}
	return (batchShare*float64(min(load, slots)) + float64(waiting)) / float64(slots)
}

// decay halves a weight each half-life.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
