package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// victim is a model that could be evicted.
type victim struct {
	name   string
	sizeMB float64
	// loss is the cost of evicting the model, in calls; wait is how long the unload
	// waits for running calls.
	loss float64
	wait time.Duration
}

// engineMemory is an engine's free memory for weights and the models that it could
// evict, lowest cost first.
type engineMemory struct {
	freeMB  float64
	victims []victim
}

// engineMemory returns the memory of one engine. Models that it does not serve yet,
// or has served for less than MinResidency, cannot be evicted.
func (p *Planner) engineMemory(e *engine, now time.Duration) engineMemory {
	memory := engineMemory{freeMB: e.freeMB()}
	for name := range e.held.models {
		m := e.service.byName[name]
		if m == nil {
			continue
		}
		if since, served := e.held.servedSince[name]; !served || now-since < p.limits.MinResidency {
			continue
		}
		memory.victims = append(memory.victims, p.victim(e, m))
	}
	slices.SortFunc(memory.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss+a.wait.Seconds(), b.loss+b.wait.Seconds()), strings.Compare(a.name, b.name))
	})
	return memory
}

// fits reports whether a model fits into an engine beside what it holds. A report may show that a model which the
// engine was said to have unloaded is still there.
func (e *engine) fits(model string) bool {
	m := e.service.model(model)
	return m != nil && e.freeMB() >= m.SizeMB
}

// freeMB returns the memory of an engine that neither models nor adapters take, in MB.
func (e *engine) freeMB() float64 {
	free := e.spec().WeightsMB - e.service.adapterMB
	for name := range e.held.models {
		if m := e.service.model(name); m != nil {
			free -= m.SizeMB
		}
	}
	return free
}

// minLoss returns the lowest loss of any victim; infinity if there is none.
func (memory *engineMemory) minLoss() float64 {
	lowest := math.Inf(1)
	for i := range memory.victims {
		lowest = min(lowest, memory.victims[i].loss)
	}
	return lowest
}

// chooseVictims returns the models to evict so that one of the given size in MB fits,
// their total loss, and how long their unloads wait. ok is false if evicting all
// victims is not enough.
func (memory *engineMemory) chooseVictims(sizeMB float64) (evict []string, loss float64, wait time.Duration, ok bool) {
	free := memory.freeMB
	if free >= sizeMB {
		return nil, 0, 0, true
	}
	for _, v := range memory.victims {
		evict = append(evict, v.name)
		loss += v.loss
		wait = max(wait, v.wait)
		if free += v.sizeMB; free >= sizeMB {
			return dropUnneeded(evict, memory.victims, free-sizeMB), loss, wait, true
		}
	}
	return nil, 0, 0, false
}

// dropUnneeded removes the victims without which the model still fits; excessMB is
// how much more memory the victims free than needed.
func dropUnneeded(evict []string, victims []victim, excessMB float64) []string {
	kept := evict[:0:0]
	for _, name := range evict {
		i := slices.IndexFunc(victims, func(v victim) bool { return v.name == name })
		if victims[i].sizeMB <= excessMB {
			excessMB -= victims[i].sizeMB
			continue
		}
		kept = append(kept, name)
	}
	return kept
}

// victim returns the cost of evicting a model from an engine.
func (p *Planner) victim(e *engine, m *modelState) victim {
	v := victim{name: m.spec.Name, sizeMB: m.spec.SizeMB}
	if len(m.holders) > 1 {
		v.loss = max(0, p.removeCost(e, m)*p.limits.Horizon.Seconds())
	} else {
		v.loss = m.rate * p.limits.Horizon.Seconds()
	}
	if calls := e.running.byName[v.name]; calls > 0 {
		v.wait = p.drainTime(calls)
		v.loss += float64(calls) * runningCallLoss
	}
	return v
}

// drainTime returns the expected time until so many running calls have ended: the mean of the
// longest of that many exponentially distributed times.
func (p *Planner) drainTime(calls int) time.Duration {
	harmonic := 0.0
	for n := 1; n <= calls; n++ {
		harmonic += 1 / float64(n)
	}
	return time.Duration(harmonic * float64(p.limits.CallTime))
}
