package placement

import (
	"slices"
	"time"
)

// LearnedPatterns is what a planner learned about recurring calls, for the planner of the
// next leader. It holds relative times because instants of different processes are not
// comparable.
type LearnedPatterns struct {
	Models []ModelPatterns `json:"models"`
}

// ModelPatterns is what was learned about one model.
type ModelPatterns struct {
	Key
	// Burst is the mean number of requests that wait when a load ends.
	Burst float64 `json:"burst"`
	// Wakeups are the model's daily wake-ups.
	Wakeups []WakeupPattern `json:"wakeups"`
}

// WakeupPattern is one daily wake-up: the first call after a gap without calls.
type WakeupPattern struct {
	// In is the time until the wake-up is expected next.
	In time.Duration `json:"in"`
	// Deviation is the mean distance of the calls from the expected time.
	Deviation time.Duration `json:"deviation"`
	// Seen counts the days with the wake-up minus the days without it.
	Seen int `json:"seen"`
}

// Experience returns the learned patterns, sorted by key. Models without wake-ups are left
// out.
func (p *Planner) Experience(now Instant) LearnedPatterns {
	var e LearnedPatterns
	for _, m := range p.models {
		m.arrivals.advancePassed(now)
		if len(m.arrivals.wakeups) == 0 {
			continue
		}
		x := ModelPatterns{Key: m.Key, Burst: m.burst}
		for _, w := range m.arrivals.wakeups {
			x.Wakeups = append(x.Wakeups, WakeupPattern{In: w.at - now, Deviation: w.deviation, Seen: w.netDays})
		}
		e.Models = append(e.Models, x)
	}
	return e
}

// Restore takes over the patterns that an earlier planner's Experience returned; age is the
// time since then. It must be called before the first round, which drops the models that
// are no longer under contract.
func (p *Planner) Restore(now Instant, age time.Duration, e LearnedPatterns) {
	for i := range e.Models {
		x := &e.Models[i]
		m := &model{Key: x.Key, excessSince: now, burst: max(x.Burst, 1)}
		for _, w := range x.Wakeups {
			if len(m.arrivals.wakeups) == maxWakeups || w.Seen <= 0 {
				continue
			}
			m.arrivals.wakeups = append(m.arrivals.wakeups, wakeup{
				at: now + w.In - age, deviation: max(w.Deviation, minDeviation), netDays: min(w.Seen, minNetDays+1),
			})
		}
		m.arrivals.wakeups = slices.Clip(m.arrivals.wakeups)
		p.modelsByKey[x.Key] = m
	}
}
