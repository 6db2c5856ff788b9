package residency

import (
	"math"
	"time"

	"github.com/agateslip/agateslip/routes"
)

// service is one service with models, and what a round of choices knows of it.
type service struct {
	spec *routes.Engine
	// models are those of spec, in its order.
	models []*modelState
	byName map[string]*modelState
	// adapterMB is the memory that each engine keeps for adapters, in MB.
	adapterMB float64
	// copyLoadGain is the worth of the loads of copies, in calls a second.
	copyLoadGain rate
	// engineCount is how many there are.
	engineCount int
	// storeAvailable says that one more load from the weight store may begin.
	storeAvailable bool
	// loadable are the models that an engine might load, the most useful first.
	loadable []*modelState
	// smallestMB is the size of the smallestMB of them, in MB.
	smallestMB float64
	// shortestLoad is the shortest time of any load, in seconds.
	shortestLoad float64
}

// modelState is what decides about one model.
type modelState struct {
	spec  *routes.Model
	queue *queue
	// rate is the calls a second that are expected.
	rate float64
	// holders are the engines that hold the model, coming is how many will.
	holders      []*engine
	plannedLoads int
	// hasCopy says that an engine has a copy, copyAvailable that one which does not serve
	// the model yet will be free before long.
	hasCopy, copyAvailable bool
	// hasSpareSlots says that one of the holders has slots to hasSpareSlots.
	hasSpareSlots bool
	// loadValue is what a load is loadValue to those who wait, by where it comes from.
	loadValue [Store + 1]float64
	// gainBound is at least what one more engine with the model is worth.
	gainBound float64
	// addBenefit is what the holders gain from one more of them, removeCost what they lose
	// without one of them, in late calls a second; known once summed is set.
	addBenefit, removeCost float64
	effectsKnown           bool
}

func newService(e *routes.Engine) *service {
	s := &service{spec: e, byName: map[string]*modelState{}}
	largestAdapterMB, shortestLoad := 0.0, time.Duration(math.MaxInt64)
	for i := range e.Models {
		m := &modelState{spec: &e.Models[i]}
		s.models = append(s.models, m)
		s.byName[m.spec.Name] = m
		shortestLoad = min(shortestLoad, loadTime(m.spec, Memory), loadTime(m.spec, Disk))
		if m.spec.Adapters > 0 {
			largestAdapterMB = max(largestAdapterMB, m.spec.AdapterMB)
		}
	}
	s.shortestLoad = shortestLoad.Seconds()
	s.adapterMB = largestAdapterMB * float64(e.AdapterPlaces)
	return s
}

// opportunityCost is what the loads of copies are worth that an engine has no time for while it
// does something else, in calls a second.
func (s *service) opportunityCost(now time.Duration) float64 {
	return s.copyLoadGain.value(now) / float64(max(1, s.engineCount))
}

// model finds a model by name; nil when the service has no such model.
func (s *service) model(name string) *routes.Model {
	if m := s.byName[name]; m != nil {
		return m.spec
	}
	return nil
}

// survey looks at all engines and reports.
func (p *Planner) survey(r *round) {
	for name, s := range p.services {
		for _, m := range s.models {
			*m = modelState{spec: m.spec, holders: m.holders[:0], rate: p.expectedRate(name, m.spec.Name, r.now)}
		}
	}
	for key, q := range r.queues {
		if s := p.services[key.service]; s != nil && s.byName[key.model] != nil {
			s.byName[key.model].queue = q
		}
	}
	for _, e := range p.byID {
		if e.service != nil && !e.desc.Leaving {
			p.surveyEngine(e, r.now)
		}
	}
	for _, s := range p.services {
		s.engineCount = 0
	}
	for _, e := range p.byID {
		if e.service != nil {
			e.service.engineCount++
		}
	}
	for _, s := range p.services {
		s.spreadRates()
	}
}

func (p *Planner) surveyEngine(e *engine, now time.Duration) {
	if e.job != nil && !e.needsReport {
		if m := e.service.byName[e.job.model]; m != nil {
			m.plannedLoads++
		}
	}
	spareSlots := float64(e.running.total) < maxSpareLoad*float64(e.desc.Slots)
	for name := range e.held.servedSince {
		m := e.service.byName[name]
		if m == nil || !e.acceptsCalls(name) {
			continue
		}
		m.holders = append(m.holders, e)
		m.hasSpareSlots = m.hasSpareSlots || spareSlots
		if p.demand.total == 0 {
			m.rate += initialHolderRate
		}
	}
	availableSoon := e.active == nil || e.active.due-now < maxCopyWait
	for name := range e.tiers {
		if m := e.service.byName[name]; m != nil {
			m.hasCopy = true
			m.copyAvailable = m.copyAvailable || availableSoon && !e.held.models[name]
		}
	}
}

// spreadRates works out the calls a second at each engine, of which each holder of a
// model gets the same share.
func (s *service) spreadRates() {
	for _, m := range s.models {
		for _, e := range m.holders {
			e.rate = 0
		}
	}
	for _, m := range s.models {
		for _, e := range m.holders {
			e.rate += m.rate / float64(len(m.holders))
		}
	}
}

// removeHolder takes a holder away, whose share of the calls the others get.
func (m *modelState) removeHolder(e *engine) {
	count := float64(len(m.holders))
	kept := m.holders[:0]
	for _, h := range m.holders {
		if h == e {
			h.rate -= m.rate / count
			continue
		}
		h.rate += m.rate/(count-1) - m.rate/count
		kept = append(kept, h)
	}
	m.holders, m.effectsKnown = kept, false
}

// computeHolderEffects works out what one holder more or less means to all of them.
func (p *Planner) computeHolderEffects(m *modelState) {
	if m.effectsKnown {
		return
	}
	count := float64(len(m.holders))
	before := m.rate / count
	m.addBenefit, m.removeCost = 0, 0
	for _, h := range m.holders {
		current := p.slowdown.lossRate(h.rate)
		m.addBenefit += current - p.slowdown.lossRate(h.rate-before+m.rate/(count+1))
		if count > 1 {
			m.removeCost += p.slowdown.lossRate(h.rate-before+m.rate/(count-1)) - current
		}
	}
	m.effectsKnown = true
}

// listLoadable lists the models that an engine of the service might load.
func (p *Planner) listLoadable(s *service) {
	s.loadable, s.smallestMB = s.loadable[:0], 0
	for _, m := range s.models {
		if m.plannedLoads > 0 {
			continue
		}
		bestValue := 0.0
		for _, t := range []Tier{Memory, Disk, Store} {
			m.loadValue[t] = m.queue.loadValue(loadTime(m.spec, t))
			bestValue = max(bestValue, m.loadValue[t])
		}
		m.gainBound = p.gainBound(m, bestValue)
		if m.gainBound <= 0 {
			continue
		}
		s.loadable = append(s.loadable, m)
		if len(s.loadable) == 1 || m.spec.SizeMB < s.smallestMB {
			s.smallestMB = m.spec.SizeMB
		}
	}
	sortByGainBound(s.loadable)
}

// gainBound is at least what gain says for any engine; worth is the most that a load
// is worth to those who wait.
func (p *Planner) gainBound(m *modelState, worth float64) float64 {
	if len(m.holders) == 0 {
		horizon := p.limits.Horizon
		if !m.hasCopy {
			horizon = max(horizon, p.limits.CopyHorizon)
		}
		return worth + m.rate*horizon.Seconds()
	}
	p.computeHolderEffects(m)
	bound := m.addBenefit * p.limits.Horizon.Seconds()
	if !m.hasSpareSlots {
		bound += worth
	}
	return bound
}
