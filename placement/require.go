package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// foresight is how far ahead expected wake-ups are gathered.
const foresight = 30 * time.Minute

// expireInterval is the time between two checks for passed wake-ups.
const expireInterval = time.Minute

// require decides how many replicas of each model its contract requires now.
//
// Waiting and running requests require replicas, and so do reservations.
// Beyond that a replica is required only where a cold start at the tail of the
// load times now seen could take longer than the contract's wait: always,
// where one load alone does, and around an expected wake-up, where the loads
// expected together do.
func (r *round) require() {
	for _, m := range r.models {
		if m.tierOf != r.copies {
			m.tierOf, m.tier = r.copies, r.nearestTier(m)
		}
		m.cold = decisionDelay + r.estimator.Tail(m.tier, m.memory)
		m.want = max(m.demanded(), m.reserved)
		if m.want == 0 && m.cold > m.wait {
			m.required = true
			m.want = 1
		}
	}
	r.requireExpected()
	for _, m := range r.models {
		if m.want >= len(m.live) {
			m.enoughAt = r.now
		}
	}
}

// demanded returns the replicas that the present requests need. A further
// replica is of use only if the requests beyond the slots of the others take
// longer to be started there than the replica takes to be loaded.
func (m *model) demanded() int {
	requests := m.waiting + m.running
	if requests == 0 {
		return 0
	}
	mean, known := m.service.mean()
	n := 1
	for n < m.limit && requests > n*m.slots {
		excess := float64(requests-n*m.slots) / float64(n*m.slots)
		if known && excess*mean.Seconds() <= m.cold.Seconds() {
			break
		}
		n++
	}
	return n
}

// nearestTier returns the nearest tier that an upstream in service holds the
// model's checkpoint in.
func (r *round) nearestTier(m *model) directory.Tier {
	best := directory.TierRemote
	if len(r.holders) == 0 {
		return best
	}
	for _, h := range r.holders[m.Model] {
		if h.upstream.usable() && tierIndex(h.tier) < tierIndex(best) {
			best = h.tier
		}
	}
	return best
}

// expectation is one expected wake-up.
type expectation struct {
	model *model
	from  Instant
	until Instant
	// service is the time the load keeps one of the store's places.
	service time.Duration
	// latest is the longest time that the load may wait for a place.
	latest time.Duration
	early  bool
}

// requireExpected requires replicas ahead of expected wake-ups that come
// together and could not all be loaded within their waits.
func (r *round) requireExpected() {
	var all []expectation
	r.expireWakeups()
	for _, m := range r.models {
		from, until, found := m.arrivals.expected(r.now)
		if !found || from > r.now+foresight || m.required {
			continue
		}
		if from > r.now {
			r.wake(from)
		}
		all = append(all, r.expect(m, from, until))
	}
	slices.SortStableFunc(all, func(a, b expectation) int { return cmp.Compare(a.from, b.from) })
	for len(all) > 0 {
		n := together(all)
		r.requireTogether(all[:n])
		all = all[n:]
	}
}

// expireWakeups moves passed wake-ups on, every expireInterval.
func (r *round) expireWakeups() {
	if r.now < r.expireAt {
		return
	}
	r.expireAt = r.now + expireInterval
	for _, m := range r.models {
		m.arrivals.expire(r.now)
	}
}

func (r *round) expect(m *model, from, until Instant) expectation {
	e := expectation{model: m, from: from, until: until}
	if m.tier == directory.TierRemote {
		e.service = max(r.estimator.Mean(m.tier, m.memory)/time.Duration(r.config.Store.Width), r.spacing())
	}
	e.latest = m.wait - m.cold
	return e
}

// spacing is the least time between two starts of loads from the store.
func (r *round) spacing() time.Duration {
	return seconds(1 / r.config.Store.Rate)
}

// together returns the number of leading expectations whose windows overlap.
func together(all []expectation) int {
	until := all[0].until
	n := 1
	for n < len(all) && all[n].from <= until {
		until = max(until, all[n].until)
		n++
	}
	return n
}

// requireTogether picks the fewest loads to do ahead so that the others can
// each be loaded on demand within its wait, even if all are called at once
// (Moore, "An n job, one machine sequencing algorithm for minimizing the number
// of late jobs", Management Science 15, 1968).
func (r *round) requireTogether(group []expectation) {
	byLatest := make([]*expectation, len(group))
	for i := range group {
		byLatest[i] = &group[i]
	}
	slices.SortStableFunc(byLatest, func(a, b *expectation) int { return cmp.Compare(a.latest, b.latest) })
	queued := time.Duration(0)
	for i, e := range byLatest {
		queued += e.service
		if queued-e.service <= e.latest {
			continue
		}
		longest := longestOnDemand(byLatest[:i+1])
		longest.early = true
		queued -= longest.service
	}
	lead := decisionDelay
	for _, e := range byLatest {
		if e.early {
			lead += e.service
		}
	}
	for _, e := range byLatest {
		if !e.early {
			continue
		}
		tail := r.estimator.Tail(directory.TierRemote, e.model.memory)
		start := e.from - lead - tail
		if r.now < start {
			r.wake(start)
			continue
		}
		e.model.required = true
		e.model.want = max(e.model.want, 1)
	}
}

func longestOnDemand(group []*expectation) *expectation {
	longest := group[len(group)-1]
	for _, e := range group {
		if !e.early && e.service > longest.service {
			longest = e
		}
	}
	return longest
}
