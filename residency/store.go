package residency

import (
	"slices"
	"time"
)

// storeWindow is the span over which the rate of loads from the weight store is
// kept; one of any length is, if the shortest is.
const storeWindow = 5 * time.Second

// storeRoom reports whether one more load from the weight store may begin: no
// more than the width at once, and within the rate in any window.
func (p *Planner) storeRoom(n *node, now time.Duration) bool {
	service := n.desc.Service
	starts := slices.DeleteFunc(p.storeStarts[service], func(at time.Duration) bool { return now-at > storeWindow })
	p.storeStarts[service] = starts
	if float64(len(starts)+1) > n.spec.StoreLoadsPerSecond*storeWindow.Seconds() {
		return false
	}
	loading := 0
	for _, o := range p.nodes {
		if o != n && o.desc.Service == service && o.job != nil && o.job.tier == Store {
			loading++
		}
	}
	return loading < p.limits.StoreWidth
}

// Forecast says in how long a call for a model could run; false when nothing is
// known.
func (p *Planner) Forecast(service, model string, now time.Duration) (time.Duration, bool) {
	best, known := time.Duration(0), false
	for _, n := range p.nodes {
		if n.desc.Service != service || n.desc.Leaving || n.spec == nil {
			continue
		}
		if in, ok := p.forecastAt(n, model, now); ok && (!known || in < best) {
			best, known = in, true
		}
	}
	return best, known
}

func (p *Planner) forecastAt(n *node, model string, now time.Duration) (time.Duration, bool) {
	m := n.spec.Model(model)
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
	if n.tier(model) == Store {
		return 0, false
	}
	wait := time.Duration(0)
	if n.work != nil {
		wait = max(0, n.work.due-now)
	} else if n.job != nil {
		wait = p.limits.CallTime
	}
	return wait + loadTime(m, n.tier(model)), true
}
