package residency

import (
	"math"
	"slices"
	"time"
)

// storeRateWindow is the window over which StoreLoadsPerSecond is enforced. A rate
// that is kept in every window of this length is kept in longer ones too.
const storeRateWindow = 5 * time.Second

// store is the state of the weight store of one service.
type store struct {
	// loadStarts holds when loads began, within the last storeRateWindow.
	loadStarts []time.Duration
	limiter    storeLimiter
}

// store returns the weight store of a service, and creates it if there is none.
func (p *Planner) store(service string) *store {
	s := p.stores[service]
	if s == nil {
		s = &store{limiter: newStoreLimiter(p.limits.MaxStoreLoads)}
		p.stores[service] = s
	}
	return s
}

// StoreLoadLimits returns the current limit of parallel loads from the weight store, by
// service.
func (p *Planner) StoreLoadLimits() map[string]int {
	widths := make(map[string]int, len(p.stores))
	for name, s := range p.stores {
		widths[name] = s.limiter.limit
	}
	return widths
}

// countStoreLoads updates each store's limiter with the number of loads in progress.
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

// storeHasCapacity reports whether one more load from the weight store may begin
// without exceeding the configured rate or the limit of parallel loads. The job of
// engine e, which may be nil, does not count.
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

// forecast is when a call for a model could run. known is false if no engine can load
// the model.
type forecast struct {
	readyAt time.Duration
	known   bool
	// computedAt is when the forecast was computed.
	computedAt time.Duration
}

// forecastTTL is how long a forecast is cached. The reports of many nodes ask for the
// same one, and it changes with the orders of a round.
const forecastTTL = 10 * time.Millisecond

// Forecast returns the time until a call for a model could run. It is a lower bound
// if the model has to come from the weight store. The second result is false if no
// engine can load the model.
func (p *Planner) Forecast(service, model string, now time.Duration) (time.Duration, bool) {
	key := modelKey{service, model}
	f, ok := p.forecasts[key]
	if !ok || now-f.computedAt > forecastTTL {
		f = p.forecast(key, now)
		p.forecasts[key] = f
	}
	return max(0, f.readyAt-now), f.known
}

// ForecastAnother returns the time until the first load of a model that is planned or in progress makes another engine
// hold it. The second result is false if there is none.
func (p *Planner) ForecastAnother(service, model string, now time.Duration) (in time.Duration, ok bool) {
	for _, e := range p.byID {
		if e.desc.Service != service || e.desc.Leaving || e.service == nil || e.job == nil || e.job.model != model || e.acceptsCalls(model) {
			continue
		}
		if after, known := p.forecastEngine(e, model, 0, now); known && (!ok || after < in) {
			in, ok = after, true
		}
	}
	return in, ok
}

// forecast returns the earliest time at which an engine could run a call for a model.
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

// forecastEngine returns the time until engine e could run a call for a model. A load
// from the weight store begins after storeWait at the earliest.
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

// storeWait returns the least time until the next load from the weight store can
// begin.
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
