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
	case m.charged >= m.limit && m.withdrawn == 0, !r.hasRoom(m):
		f.Readiness = Blocked
		f.ReadyIn = max(m.wait, blockedRetry)
	default:
		f.Readiness = Cold
		f.ReadyIn = r.coldFor(m)
	}
	f.RetryAfter = f.ReadyIn
	return f
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
	tier := r.nearestTier(m)
	left := decisionDelay + r.estimator.Tail(tier, m.memory)
	if tier == directory.TierRemote {
		left += r.nextSlot() - r.now
	}
	return left
}

// simulateStore works out when each of the store's places becomes free, and
// when each queued load ends.
func (r *round) simulateStore() {
	width := r.config.Store.Width
	r.storeFrom = r.nextStart
	r.slots = make([]Instant, 0, width)
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
		r.slots = append(r.slots, max(r.now, v.progress.firstAt+mean))
	}
	for len(r.slots) < width {
		r.slots = append(r.slots, r.now)
	}
	slices.Sort(r.slots)
	r.slots = r.slots[len(r.slots)-width:]
	for _, v := range unsent {
		r.takeSlot(v.Memory)
	}
	for i := range r.granted {
		r.simulateLoad(&r.granted[i])
	}
	for i := range r.queue {
		r.simulateLoad(&r.queue[i])
	}
}

func (r *round) simulateLoad(n *need) {
	left := r.estimator.Tail(n.tier, n.model.memory) + decisionDelay
	if n.tier == directory.TierRemote {
		left += r.takeSlot(n.model.memory) - r.now
	}
	if n.model.readyIn == 0 {
		n.model.readyIn = left
	}
}

// takeSlot assigns the next free place of the store to a load and returns its
// start.
func (r *round) takeSlot(memory int64) Instant {
	start := r.nextSlot()
	at := 0
	for i := range r.slots {
		if r.slots[i] < r.slots[at] {
			at = i
		}
	}
	busy := max(r.estimator.Mean(directory.TierRemote, memory), r.spacing())
	r.slots[at] = start + busy
	r.storeFrom = start + r.spacing()
	return start
}

func (r *round) nextSlot() Instant {
	return max(slices.Min(r.slots), r.storeFrom, r.now)
}
