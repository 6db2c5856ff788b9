package placement

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// blockedRetry is when a caller may ask again for a model that is blocked by
// memory, limits or a silent upstream.
const blockedRetry = 5 * time.Second

// forecast tells for each model how soon a request that arrives now could be
// served.
func (r *round) forecast() {
	r.measureRoom()
	r.simulateStore()
	r.plan.Forecasts = make([]Forecast, 0, len(r.models))
	for _, m := range r.models {
		r.plan.Forecasts = append(r.plan.Forecasts, r.forecastModel(m))
	}
}

func (r *round) forecastModel(m *model) Forecast {
	f := Forecast{Key: m.Key}
	if m.ready > 0 {
		return f
	}
	switch {
	case m.usable > 0:
		f.Readiness = Loading
		f.ReadyIn = r.loadingFor(m)
	case m.readyIn > 0:
		f.Readiness = Loading
		f.ReadyIn = m.readyIn
	case m.charged >= m.limit && m.withdrawn == 0:
		f.Readiness = Blocked
		f.ReadyIn = m.tooLate()
	case !r.hasRoom(m):
		f.Readiness = Blocked
		f.ReadyIn = r.blockedFor(m)
	default:
		f.Readiness = Cold
		f.ReadyIn = r.coldFor(m)
	}
	f.RetryAfter = f.ReadyIn
	if f.ReadyIn == m.tooLate() {
		f.RetryAfter = blockedRetry
	}
	return f
}

// tooLate is the time told where none can be estimated. It is beyond the
// contract's wait.
func (m *model) tooLate() time.Duration {
	return max(m.wait+decisionDelay, blockedRetry)
}

// blockedFor returns the time until a model that finds no memory can be ready,
// once running requests elsewhere ended. The load counts twice, as loads that
// are asked for later may take the memory first.
func (r *round) blockedFor(m *model) time.Duration {
	clear, possible := r.clearFor(m.memory)
	if !possible {
		return m.tooLate()
	}
	return clear + 2*r.coldFor(m)
}

// hasRoom reports whether some upstream could hold the model, perhaps after an
// eviction.
func (r *round) hasRoom(m *model) bool {
	return m.memory <= max(r.mostFree, r.mostEvictable)
}

// loadingFor returns the time until the first of a model's granted loads ends.
func (r *round) loadingFor(m *model) time.Duration {
	best := time.Duration(0)
	for _, v := range m.live {
		if v.lost() && v.status != statusProposed {
			continue
		}
		left := r.timeLeft(v)
		if best == 0 || left < best {
			best = left
		}
	}
	if best == 0 {
		return r.coldFor(m)
	}
	return best
}

// timeLeft returns the tail of the time until a granted load ends. A load
// beyond the tail is expected to take as long again.
func (r *round) timeLeft(v *replica) time.Duration {
	tail := r.estimator.Tail(v.Tier, v.Memory)
	if v.progress == nil || v.progress.sends == 0 {
		return tail + decisionDelay
	}
	age := r.now - v.progress.firstAt
	if age >= tail {
		return age
	}
	return tail - age + decisionDelay
}

// coldFor returns the tail of the time for a load that is asked for now and
// queues behind all others.
func (r *round) coldFor(m *model) time.Duration {
	left := m.cold
	if m.tier != directory.TierRemote {
		return left
	}
	left += r.store.next() - r.now
	if r.overtakes(m) {
		left = max(left, m.tooLate())
	}
	return left
}

// simulateStore works out when each of the store's places becomes free, and
// when each queued load ends.
func (r *round) simulateStore() {
	width := r.config.Store.Width
	r.store = storeTimes{from: max(r.nextStart, r.now), spacing: r.spacing()}
	var unsent []*replica
	for i := range r.replicas {
		v := &r.replicas[i]
		if !r.usesStore(v) {
			continue
		}
		if v.progress == nil || v.progress.sends == 0 {
			unsent = append(unsent, v)
			continue
		}
		mean := r.estimator.Mean(v.Tier, v.Memory)
		r.store.free = append(r.store.free, max(r.now, v.progress.firstAt+mean))
	}
	for len(r.store.free) < width {
		r.store.free = append(r.store.free, r.now)
	}
	slices.Sort(r.store.free)
	r.store.free = r.store.free[len(r.store.free)-width:]
	for _, v := range unsent {
		r.store.take(r.estimator.Mean(directory.TierRemote, v.Memory))
	}
	r.ahead = storeTimes{free: slices.Clone(r.store.free), from: r.store.from, spacing: r.store.spacing}
	for i := range r.granted {
		r.simulateLoad(&r.granted[i])
	}
	for i := range r.queue {
		r.simulateLoad(&r.queue[i])
	}
}

// simulateLoad assigns a queued load its place. The time for which a load can
// still be delayed without missing its deadline becomes its spare time.
func (r *round) simulateLoad(n *need) {
	left := r.estimator.Tail(n.tier, n.model.memory) + decisionDelay
	if n.tier == directory.TierRemote {
		service := r.estimator.Mean(n.tier, n.model.memory)
		start := r.store.take(service) - r.now
		left += start
		r.line = append(r.line, lineItem{service: service, slack: n.slack, promised: n.class == classDemand && start <= n.slack})
	}
	if n.blocked {
		left = r.blockedFor(n.model)
	}
	if n.model.readyIn == 0 {
		n.model.readyIn = left
	}
}

// overtakes reports whether a load that is asked for now would go ahead of
// others in the queue and make one of them late that is in time without it.
func (r *round) overtakes(m *model) bool {
	if len(r.line) == 0 {
		return false
	}
	service := r.estimator.Mean(directory.TierRemote, m.memory)
	slack := m.wait - r.estimator.Tail(directory.TierRemote, m.memory) - decisionDelay
	times := storeTimes{free: append(r.scratch[:0], r.ahead.free...), from: r.ahead.from, spacing: r.ahead.spacing}
	r.scratch = times.free
	inserted := false
	for i := range r.line {
		item := &r.line[i]
		if !inserted && (!item.promised || item.slack > slack) {
			times.take(service)
			inserted = true
		}
		start := times.take(item.service) - r.now
		if item.promised && start > item.slack {
			return true
		}
	}
	return false
}

// lineItem is one load that queues for the store.
type lineItem struct {
	service time.Duration
	// slack is the latest start relative to now that meets the deadline.
	slack time.Duration
	// promised says that the load is in time as the queue stands.
	promised bool
}

// storeTimes simulates the store's places.
type storeTimes struct {
	// free are the instants at which the places become free.
	free []Instant
	// from is when the store's rate allows the next start.
	from    Instant
	spacing time.Duration
}

// next returns when the next load could start.
func (s *storeTimes) next() Instant {
	return max(slices.Min(s.free), s.from)
}

// take assigns the place that becomes free first, and returns the start.
func (s *storeTimes) take(service time.Duration) Instant {
	start := s.next()
	at := 0
	for i := range s.free {
		if s.free[i] < s.free[at] {
			at = i
		}
	}
	s.free[at] = start + max(service, s.spacing)
	s.from = start + s.spacing
	return start
}
