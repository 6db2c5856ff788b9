package residency

import (
	"math"
	"slices"
	"time"
)

// storeRateWindow is the span over which the rate of loads from the weight store is
// kept; one of any length is, if the shortest is.
const storeRateWindow = 5 * time.Second

// store is what is known of the weight store of a service.
type store struct {
	// loadStarts are when loads began, within the window.
	loadStarts []time.Duration
	limiter    storeLimiter
}

func (p *Planner) store(service string) *store {
	s := p.stores[service]
	if s == nil {
		s = &store{limiter: newStoreLimiter(p.limits.StoreWidth)}
		p.stores[service] = s
	}
	return s
}

// StoreWidths is how many loads may run at once from the weight store of each service
// that has loaded from one.
func (p *Planner) StoreWidths() map[string]int {
	widths := make(map[string]int, len(p.stores))
	for name, s := range p.stores {
		widths[name] = s.limiter.limit
	}
	return widths
}

// countStoreLoads takes note of how many loads from the weight stores are in progress.
func (p *Planner) countStoreLoads(now time.Duration) {
	running := map[string]int{}
	for _, e := range p.byID {
		if e.active != nil && e.active.storeLoad != nil {
			running[e.desc.Service]++
		}
	}
	for name, s := range p.stores {
		s.limiter.setConcurrency(running[name], now)
	}
}

// storeHasCapacity reports whether one more load from the weight store may begin, beside
// that of n: no more than the width at once, and within the rate in any window.
func (p *Planner) storeHasCapacity(name string, s *service, e *engine, now time.Duration) bool {
	st := p.store(name)
	st.loadStarts = slices.DeleteFunc(st.loadStarts, func(at time.Duration) bool { return now-at > storeRateWindow })
	if float64(len(st.loadStarts)+1) > s.spec.StoreLoadsPerSecond*storeRateWindow.Seconds() {
		return false
	}
	loading := 0
	for _, o := range p.byID {
		if o != e && o.job != nil && o.job.tier == Store && o.desc.Service == name {
			loading++
		}
	}
	return loading < st.limiter.limit
}

// forecast is when a call for a model could run; known is false when nothing is.
type forecast struct {
	readyAt time.Duration
	known   bool
	// computedAt is when it was worked out.
	computedAt time.Duration
}

// forecastTTL is for how long a forecast is given again: the reports of many nodes
// ask for the same one, and it changes with the orders of a round.
const forecastTTL = 10 * time.Millisecond

// Forecast says in how long a call for a model could run: at best, where it would
// have to come from the weight store. It is false when no engine can load it.
func (p *Planner) Forecast(service, model string, now time.Duration) (time.Duration, bool) {
	key := modelKey{service, model}
	f, ok := p.forecasts[key]
	if !ok || now-f.computedAt > forecastTTL {
		f = p.forecast(key, now)
		p.forecasts[key] = f
	}
	return max(0, f.readyAt-now), f.known
}

func (p *Planner) forecast(key modelKey, now time.Duration) forecast {
	f := forecast{computedAt: now}
	storeWait := p.storeWait(key.service, now)
	for _, e := range p.byID {
		if e.desc.Service != key.service || e.desc.Leaving || e.service == nil {
			continue
		}
		if in, ok := p.forecastEngine(e, key.model, storeWait, now); ok && (!f.known || now+in < f.readyAt) {
			f.readyAt, f.known = now+in, true
		}
	}
	return f
}

func (p *Planner) forecastEngine(e *engine, model string, storeWait, now time.Duration) (time.Duration, bool) {
	m := e.service.model(model)
	if m == nil {
		return 0, false
	}
	if e.acceptsCalls(model) {
		return 0, true
	}
	if e.job != nil && e.job.model == model {
		evictionTime := time.Duration(len(e.job.evict)) * p.limits.CallTime / 2
		if e.active != nil && e.active.order.Load {
			return max(0, e.active.due-now), true
		}
		return evictionTime + loadTime(m, e.job.tier), true
	}
	wait := time.Duration(0)
	if e.active != nil {
		wait = max(0, e.active.due-now)
	} else if e.job != nil {
		wait = p.limits.CallTime
	}
	if e.tier(model) == Store {
		wait = max(wait, storeWait)
	}
	return wait + loadTime(m, e.tier(model)), true
}

// storeWait is in how long the next load from the weight store can begin at best.
func (p *Planner) storeWait(service string, now time.Duration) time.Duration {
	running, firstEnd := 0, time.Duration(math.MaxInt64)
	for _, e := range p.byID {
		if e.desc.Service == service && e.active != nil && e.active.storeLoad != nil {
			running++
			firstEnd = min(firstEnd, max(0, e.active.due-now))
		}
	}
	if running < p.store(service).limiter.limit {
		return 0
	}
	return firstEnd
}
