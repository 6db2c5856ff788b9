package residency

import (
	"math"
	"slices"
	"time"
)

// storeWindow is the span over which the rate of loads from the weight store is
// kept; one of any length is, if the shortest is.
const storeWindow = 5 * time.Second

// store is what is known of the weight store of a service.
type store struct {
	// starts are when loads began, within the window.
	starts []time.Duration
	pace   storePace
}

func (p *Planner) store(service string) *store {
	s := p.stores[service]
	if s == nil {
		s = &store{pace: newStorePace(p.limits.StoreWidth)}
		p.stores[service] = s
	}
	return s
}

// StoreWidths is how many loads may run at once from the weight store of each service
// that has loaded from one.
func (p *Planner) StoreWidths() map[string]int {
	widths := make(map[string]int, len(p.stores))
	for name, s := range p.stores {
		widths[name] = s.pace.width
	}
	return widths
}

// countFetches takes note of how many loads from the weight stores are in progress.
func (p *Planner) countFetches(now time.Duration) {
	running := map[string]int{}
	for _, n := range p.order {
		if n.work != nil && n.work.fetch != nil {
			running[n.desc.Service]++
		}
	}
	for name, s := range p.stores {
		s.pace.advance(running[name], now)
	}
}

// storeRoom reports whether one more load from the weight store may begin, beside
// that of n: no more than the width at once, and within the rate in any window.
func (p *Planner) storeRoom(name string, s *service, n *node, now time.Duration) bool {
	known := p.store(name)
	known.starts = slices.DeleteFunc(known.starts, func(at time.Duration) bool { return now-at > storeWindow })
	if float64(len(known.starts)+1) > s.spec.StoreLoadsPerSecond*storeWindow.Seconds() {
		return false
	}
	loading := 0
	for _, o := range p.order {
		if o != n && o.job != nil && o.job.tier == Store && o.desc.Service == name {
			loading++
		}
	}
	return loading < known.pace.width
}

// forecast is when a call for a model could run; known is false when nothing is.
type forecast struct {
	at    time.Duration
	known bool
	// made is when it was worked out.
	made time.Duration
}

// forecastAge is for how long a forecast is given again: the reports of many nodes
// ask for the same one, and it changes with the orders of a round.
const forecastAge = 10 * time.Millisecond

// Forecast says in how long a call for a model could run: at best, where it would
// have to come from the weight store. It is false when no engine can load it.
func (p *Planner) Forecast(service, model string, now time.Duration) (time.Duration, bool) {
	key := modelKey{service, model}
	f, ok := p.forecasts[key]
	if !ok || now-f.made > forecastAge {
		f = p.forecast(key, now)
		p.forecasts[key] = f
	}
	return max(0, f.at-now), f.known
}

func (p *Planner) forecast(key modelKey, now time.Duration) forecast {
	f := forecast{made: now}
	queue := p.storeQueue(key.service, now)
	for _, n := range p.order {
		if n.desc.Service != key.service || n.desc.Leaving || n.service == nil {
			continue
		}
		if in, ok := p.forecastAt(n, key.model, queue, now); ok && (!f.known || now+in < f.at) {
			f.at, f.known = now+in, true
		}
	}
	return f
}

func (p *Planner) forecastAt(n *node, model string, queue, now time.Duration) (time.Duration, bool) {
	m := n.service.model(model)
	if m == nil {
		return 0, false
	}
	if n.serves(model) {
		return 0, true
	}
	if n.job != nil && n.job.model == model {
		left := time.Duration(len(n.job.evict)) * p.limits.CallTime / 2
		if n.work != nil && n.work.order.Load {
			return max(0, n.work.due-now), true
		}
		return left + loadTime(m, n.job.tier), true
	}
	wait := time.Duration(0)
	if n.work != nil {
		wait = max(0, n.work.due-now)
	} else if n.job != nil {
		wait = p.limits.CallTime
	}
	if n.tier(model) == Store {
		wait = max(wait, queue)
	}
	return wait + loadTime(m, n.tier(model)), true
}

// storeQueue is in how long the next load from the weight store can begin at best.
func (p *Planner) storeQueue(service string, now time.Duration) time.Duration {
	running, first := 0, time.Duration(math.MaxInt64)
	for _, n := range p.order {
		if n.desc.Service == service && n.work != nil && n.work.fetch != nil {
			running++
			first = min(first, max(0, n.work.due-now))
		}
	}
	if running < p.store(service).pace.width {
		return 0
	}
	return first
}
