package residency

import (
	"math"
	"time"
)

const (
	// soleHolderRate is the rate, in calls per second, that is expected before traffic
	// for a model that one engine holds.
	soleHolderRate = 0.1
	// initialUse is the share of what an engine can serve at best that is expected
	// before traffic for a model that several engines hold.
	initialUse = 0.5
)

// notePlacement records the models that an engine held when it was first heard of.
func (p *Planner) notePlacement(e *engine) {
	if p.demand.total > 0 {
		return
	}
	for _, r := range e.desc.Residents {
		p.placement[modelKey{e.desc.Service, r.Model}]++
	}
}

// priorRate returns the calls per second expected for a model from the engines that held
// it before traffic. It fades as the arrival rates are learned.
func (p *Planner) priorRate(key modelKey, now time.Duration) float64 {
	holders := p.placement[key]
	if holders == 0 {
		return 0
	}
	weight := 1.0
	if p.demand.total > 0 {
		weight = math.Exp(-float64(now-p.demand.firstArrival) / float64(rateTimeConstant))
	}
	if holders == 1 {
		return weight * soleHolderRate
	}
	return weight * initialUse * p.bestEngineRate(key.service) * float64(holders)
}

// bestEngineRate returns how many calls per second an engine of a service serves at best.
func (p *Planner) bestEngineRate(service string) float64 {
	best := p.slowdown.bestRate()
	if s := p.services[service]; s != nil && s.spec.Slots > 0 {
		best = min(best, p.slotRate(s.spec.Slots))
	}
	return best
}
