package placement

import (
	"slices"
	"time"
)

// Experience is what a planner learned about recurring calls, for the next
// leader's planner. It holds ages in place of instants, as instants of
// different processes are never compared.
type Experience struct {
	Models []ModelExperience `json:"models"`
}

// ModelExperience is the experience with one model.
type ModelExperience struct {
	Key
	// Burst is the mean number of requests that wait when a load ends.
	Burst float64 `json:"burst"`
	// Wakeups are the recurring first calls after a quiet time.
	Wakeups []WakeupExperience `json:"wakeups"`
}

// WakeupExperience is one recurring first call after a quiet time.
type WakeupExperience struct {
	// In is the time until it is expected next.
	In time.Duration `json:"in"`
	// Deviation is the mean distance from the expected time.
	Deviation time.Duration `json:"deviation"`
	// Seen counts the days with such a call, less the days without.
	Seen int `json:"seen"`
}

// Experience returns what was learned, in the order of keys. Models without a
// recurring call are left out.
func (p *Planner) Experience(now Instant) Experience {
	var e Experience
	for _, m := range p.models {
		m.arrivals.expire(now)
		if len(m.arrivals.wakeups) == 0 {
			continue
		}
		x := ModelExperience{Key: m.Key, Burst: m.burst}
		for _, w := range m.arrivals.wakeups {
			x.Wakeups = append(x.Wakeups, WakeupExperience{In: w.at - now, Deviation: w.deviation, Seen: w.seen})
		}
		e.Models = append(e.Models, x)
	}
	return e
}

// Restore takes over an earlier planner's experience of the given age. It is
// called before the first round; models that are no longer under contract are
// dropped there.
func (p *Planner) Restore(now Instant, age time.Duration, e Experience) {
	for i := range e.Models {
		x := &e.Models[i]
		m := &model{Key: x.Key, enoughAt: now, burst: max(x.Burst, 1)}
		for _, w := range x.Wakeups {
			if len(m.arrivals.wakeups) == maxWakeups || w.Seen <= 0 {
				continue
			}
			m.arrivals.wakeups = append(m.arrivals.wakeups, wakeup{
				at: now + w.In - age, deviation: max(w.Deviation, leastDeviation), seen: min(w.Seen, expectAfter+1),
			})
		}
		m.arrivals.wakeups = slices.Clip(m.arrivals.wakeups)
		p.byKey[x.Key] = m
	}
}
