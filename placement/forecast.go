package placement

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// blockedRetry is the RetryAfter of a model whose ReadyIn is beyondWait, as when memory,
// replica limits or a silent upstream block it.
const blockedRetry = 5 * time.Second

// forecast adds to the plan, for each model, how soon a request that arrives now could be
// served.
func (r *round) forecast() {
	r.findLargestFree()
	r.simulateStore()
	r.plan.Forecasts = make([]Forecast, 0, len(r.models))
	for _, m := range r.models {
		r.plan.Forecasts = append(r.plan.Forecasts, r.forecastModel(m))
	}
}

// forecastModel returns the forecast of one model.
func (r *round) forecastModel(m *model) Forecast {
	f := Forecast{Key: m.Key}
	if m.readyReplicas > 0 {
		return f
	}
	switch {
	case m.usableReplicas > 0:
		f.Readiness = Loading
		f.ReadyIn = r.readyInLoading(m)
	case m.simulatedReadyIn > 0:
		f.Readiness = Loading
		f.ReadyIn = m.simulatedReadyIn
	case m.chargedReplicas >= m.replicaLimit && m.withdrawnReplicas == 0:
		f.Readiness = Blocked
		f.ReadyIn = m.beyondWait()
	case !r.fitsSomewhere(m):
		f.Readiness = Blocked
		f.ReadyIn = r.readyInBlocked(m)
	default:
		f.Readiness = Cold
		f.ReadyIn = r.readyInCold(m)
	}
	f.RetryAfter = f.ReadyIn
	if f.ReadyIn == m.beyondWait() {
		f.RetryAfter = blockedRetry
	}
	return f
}

// beyondWait returns the ReadyIn of models whose time to readiness cannot be estimated. It
// exceeds the contract's wait.
func (m *model) beyondWait() time.Duration {
	return max(m.maxWait+decisionDelay, blockedRetry)
}

// readyInBlocked returns the time until a model for which no upstream has memory can be
// ready, after running requests elsewhere ended. The load time counts twice because loads
// requested later may take the memory first.
func (r *round) readyInBlocked(m *model) time.Duration {
	freeIn, possible := r.timeToFree(m.memory)
	if !possible {
		return m.beyondWait()
	}
	return freeIn + 2*r.readyInCold(m)
}

// fitsSomewhere reports whether some upstream has the memory for the model, possibly after
// an eviction.
func (r *round) fitsSomewhere(m *model) bool {
	return m.memory <= max(r.largestFree, r.largestFreeable)
}

// readyInLoading returns the time until the first of the model's granted loads ends.
func (r *round) readyInLoading(m *model) time.Duration {
	best := time.Duration(0)
	for _, rep := range m.live {
		if rep.lost() && rep.status != statusProposed {
			continue
		}
		left := r.loadTimeLeft(rep)
		if best == 0 || left < best {
			best = left
		}
	}
	if best == 0 {
		return r.readyInCold(m)
	}
	return best
}

// loadTimeLeft returns the tail of the time until a granted load ends. A load that already
// takes longer than the tail is assumed to need its age again.
func (r *round) loadTimeLeft(rep *replica) time.Duration {
	tail := r.estimator.Tail(rep.Tier, rep.Memory)
	if rep.progress == nil || rep.progress.loadOrders == 0 {
		return tail + decisionDelay
	}
	age := r.now - rep.progress.firstLoadSentAt
	if age >= tail {
		return age
	}
	return tail - age + decisionDelay
}

// readyInCold returns the tail of the time until a load that is requested now ends, if it
// queues behind all others. It returns at least beyondWait if the load would delay others
// past their deadlines.
func (r *round) readyInCold(m *model) time.Duration {
	left := m.coldTail
	if m.tier != directory.TierRemote {
		return left
	}
	left += r.storeAfter.earliestStart() - r.now
	if r.delaysOthers(m) {
		left = max(left, m.beyondWait())
	}
	return left
}

// simulateStore computes when each of the store's load slots becomes free, and when each
// queued load ends.
func (r *round) simulateStore() {
	width := r.config.Store.Width
	r.storeAfter = storeSchedule{nextAllowed: max(r.nextLoadStart, r.now), spacing: r.spacing()}
	var unsent []*replica
	for i := range r.replicas {
		rep := &r.replicas[i]
		if !r.usesStore(rep) {
			continue
		}
		if rep.progress == nil || rep.progress.loadOrders == 0 {
			unsent = append(unsent, rep)
			continue
		}
		mean := r.estimator.Mean(rep.Tier, rep.Memory)
		r.storeAfter.freeAt = append(r.storeAfter.freeAt, max(r.now, rep.progress.firstLoadSentAt+mean))
	}
	for len(r.storeAfter.freeAt) < width {
		r.storeAfter.freeAt = append(r.storeAfter.freeAt, r.now)
	}
	slices.Sort(r.storeAfter.freeAt)
	r.storeAfter.freeAt = r.storeAfter.freeAt[len(r.storeAfter.freeAt)-width:]
	for _, rep := range unsent {
		r.storeAfter.reserve(r.estimator.Mean(directory.TierRemote, rep.Memory))
	}
	r.storeBefore = storeSchedule{freeAt: slices.Clone(r.storeAfter.freeAt), nextAllowed: r.storeAfter.nextAllowed, spacing: r.storeAfter.spacing}
	for i := range r.grantedNeeds {
		r.simulateLoad(&r.grantedNeeds[i])
	}
	for i := range r.queuedNeeds {
		r.simulateLoad(&r.queuedNeeds[i])
	}
}

// simulateLoad reserves a store slot for a load that needs one and sets the model's
// simulatedReadyIn if it is not set yet.
func (r *round) simulateLoad(n *need) {
	left := r.estimator.Tail(n.tier, n.model.memory) + decisionDelay
	if n.tier == directory.TierRemote {
		storeTime := r.estimator.Mean(n.tier, n.model.memory)
		start := r.storeAfter.reserve(storeTime) - r.now
		left += start
		r.simulatedLoads = append(r.simulatedLoads, simulatedLoad{storeTime: storeTime, slack: n.slack, onTime: n.class == classDemand && start <= n.slack})
	}
	if n.blocked {
		left = r.readyInBlocked(n.model)
	}
	if n.model.simulatedReadyIn == 0 {
		n.model.simulatedReadyIn = left
	}
}

// delaysOthers reports whether a load that is requested now would enter the store's queue
// ahead of others and make one of them miss a deadline that it meets otherwise.
func (r *round) delaysOthers(m *model) bool {
	if len(r.simulatedLoads) == 0 {
		return false
	}
	storeTime := r.estimator.Mean(directory.TierRemote, m.memory)
	slack := m.maxWait - r.estimator.Tail(directory.TierRemote, m.memory) - decisionDelay
	times := storeSchedule{freeAt: append(r.scratch[:0], r.storeBefore.freeAt...), nextAllowed: r.storeBefore.nextAllowed, spacing: r.storeBefore.spacing}
	r.scratch = times.freeAt
	inserted := false
	for i := range r.simulatedLoads {
		item := &r.simulatedLoads[i]
		if !inserted && (!item.onTime || item.slack > slack) {
			times.reserve(storeTime)
			inserted = true
		}
		start := times.reserve(item.storeTime) - r.now
		if item.onTime && start > item.slack {
			return true
		}
	}
	return false
}

// simulatedLoad is one load in the simulated queue of the store.
type simulatedLoad struct {
	// storeTime is how long the load occupies a store slot.
	storeTime time.Duration
	// slack is the latest start, relative to now, that meets the deadline.
	slack time.Duration
	// onTime reports whether the load serves waiting requests and meets their deadline in
	// the present queue.
	onTime bool
}

// storeSchedule simulates the store's load slots.
type storeSchedule struct {
	// freeAt are the instants at which the slots become free.
	freeAt []Instant
	// nextAllowed is the earliest instant at which the store's rate allows a start, and
	// spacing the least time between two starts.
	nextAllowed Instant
	spacing     time.Duration
}

// earliestStart returns when the next load could start.
func (s *storeSchedule) earliestStart() Instant {
	return max(slices.Min(s.freeAt), s.nextAllowed)
}

// reserve takes the slot that becomes free first for storeTime, and returns the start.
func (s *storeSchedule) reserve(storeTime time.Duration) Instant {
	start := s.earliestStart()
	first := 0
	for i := range s.freeAt {
		if s.freeAt[i] < s.freeAt[first] {
			first = i
		}
	}
	s.freeAt[first] = start + max(storeTime, s.spacing)
	s.nextAllowed = start + s.spacing
	return start
}
