package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// wakeupHorizon is how far ahead expected wake-ups are considered.
const wakeupHorizon = 30 * time.Minute

// wakeupCheckInterval is the time between two checks for passed wake-ups.
const wakeupCheckInterval = time.Minute

// requireReplicas decides how many replicas of each model are required now.
//
// Waiting and running requests require replicas, and so do reservations. Beyond these, a
// replica is required only where a cold start, at the tail of the current load times, could
// take longer than the contract's wait. This holds always if a single load takes too long,
// and around an expected wake-up if the loads expected at the same time do together.
func (r *round) requireReplicas() {
	for _, m := range r.models {
		if m.tierRevision != r.copiesRevision {
			m.tierRevision, m.tier = r.copiesRevision, r.nearestTier(m)
		}
		m.coldTail = decisionDelay + r.estimator.Tail(m.tier, m.memory)
		m.want = max(m.replicasForDemand(), m.reservedReplicas)
		if m.want == 0 && m.coldTail > m.maxWait {
			m.keepWarm = true
			m.want = 1
		}
	}
	r.requireExpected()
	for _, m := range r.models {
		if m.want >= len(m.live) {
			m.excessSince = r.now
		}
	}
}

// replicasForDemand returns the number of replicas that the present requests need. Requests
// beyond the slots wait for others to end. A further replica helps only if that takes longer
// than a cold start.
func (m *model) replicasForDemand() int {
	requests := m.waiting + m.running
	if requests == 0 {
		return 0
	}
	mean, known := m.serviceTime.mean()
	n := 1
	for n < m.replicaLimit && requests > n*m.slots {
		excess := float64(requests-n*m.slots) / float64(n*m.slots)
		if known && excess*mean.Seconds() <= m.coldTail.Seconds() {
			break
		}
		n++
	}
	return n
}

// nearestTier returns the nearest tier in which a usable upstream holds the model's
// checkpoint; TierRemote if none does.
func (r *round) nearestTier(m *model) directory.Tier {
	best := directory.TierRemote
	if len(r.copyHolders) == 0 {
		return best
	}
	for _, h := range r.copyHolders[m.Model] {
		if h.upstream.usable() && tierIndex(h.tier) < tierIndex(best) {
			best = h.tier
		}
	}
	return best
}

// expectedWakeup is a model's next wake-up with its window, from and until.
type expectedWakeup struct {
	model *model
	from  Instant
	until Instant
	// storeTime is the load's share of the store's time: the mean load time divided by the
	// store's width, but at least the spacing of starts. It is zero for a local checkpoint.
	storeTime time.Duration
	// maxStoreWait is the longest time that the load may wait for the store and still be in
	// time.
	maxStoreWait time.Duration
	// preload reports whether the model is loaded before the window begins.
	preload bool
}

// requireExpected requires replicas ahead of expected wake-ups whose windows overlap and
// whose models could not all be loaded on demand within their waits.
func (r *round) requireExpected() {
	var all []expectedWakeup
	r.advanceWakeups()
	for _, m := range r.models {
		from, until, found := m.arrivals.nextWindow(r.now)
		if !found || from > r.now+wakeupHorizon || m.keepWarm {
			continue
		}
		if from > r.now {
			r.planBy(from)
		}
		all = append(all, r.expectWakeup(m, from, until))
	}
	slices.SortStableFunc(all, func(a, b expectedWakeup) int { return cmp.Compare(a.from, b.from) })
	for len(all) > 0 {
		n := countOverlapping(all)
		r.requirePreloads(all[:n])
		all = all[n:]
	}
}

// advanceWakeups advances passed wake-ups, at most once every wakeupCheckInterval.
func (r *round) advanceWakeups() {
	if r.now < r.nextWakeupCheck {
		return
	}
	r.nextWakeupCheck = r.now + wakeupCheckInterval
	for _, m := range r.models {
		m.arrivals.advancePassed(r.now)
	}
}

// expectWakeup returns the expected wake-up of a model with the given window.
func (r *round) expectWakeup(m *model, from, until Instant) expectedWakeup {
	e := expectedWakeup{model: m, from: from, until: until}
	if m.tier == directory.TierRemote {
		e.storeTime = max(r.estimator.Mean(m.tier, m.memory)/time.Duration(r.config.Store.Width), r.spacing())
	}
	e.maxStoreWait = m.maxWait - m.coldTail
	return e
}

// spacing returns the least time between two starts of loads from the store.
func (r *round) spacing() time.Duration {
	return seconds(1 / r.config.Store.Rate)
}

// countOverlapping returns how many wake-ups, from the first on, have windows that form one
// uninterrupted period. The wake-ups are sorted by the start of the window.
func countOverlapping(all []expectedWakeup) int {
	until := all[0].until
	n := 1
	for n < len(all) && all[n].from <= until {
		until = max(until, all[n].until)
		n++
	}
	return n
}

// requirePreloads picks the fewest models to load ahead so that each of the others can be
// loaded on demand within its wait, even if all are called at once (Moore, "An n job, one
// machine sequencing algorithm for minimizing the number of late jobs", Management Science
// 15, 1968).
func (r *round) requirePreloads(group []expectedWakeup) {
	byMaxWait := make([]*expectedWakeup, len(group))
	for i := range group {
		byMaxWait[i] = &group[i]
	}
	slices.SortStableFunc(byMaxWait, func(a, b *expectedWakeup) int { return cmp.Compare(a.maxStoreWait, b.maxStoreWait) })
	queued := time.Duration(0)
	for i, e := range byMaxWait {
		queued += e.storeTime
		if queued-e.storeTime <= e.maxStoreWait {
			continue
		}
		longest := longestOnDemand(byMaxWait[:i+1])
		longest.preload = true
		queued -= longest.storeTime
	}
	leadTime := decisionDelay
	for _, e := range byMaxWait {
		if e.preload {
			leadTime += e.storeTime
		}
	}
	for _, e := range byMaxWait {
		if !e.preload {
			continue
		}
		tail := r.estimator.Tail(directory.TierRemote, e.model.memory)
		start := e.from - leadTime - tail
		if r.now < start {
			r.planBy(start)
			continue
		}
		e.model.keepWarm = true
		e.model.want = max(e.model.want, 1)
	}
}

// longestOnDemand returns the wake-up with the longest storeTime among those that are not
// preloaded.
func longestOnDemand(group []*expectedWakeup) *expectedWakeup {
	longest := group[len(group)-1]
	for _, e := range group {
		if !e.preload && e.storeTime > longest.storeTime {
			longest = e
		}
	}
	return longest
}
