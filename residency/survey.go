package residency

import (
	"math"
	"time"

	"github.com/agateslip/agateslip/routes"
)

// service is a service with models. Each round of planning recomputes a part of its
// state.
type service struct {
	spec *routes.Engine
	// models holds the models of spec, in its order.
	models []*modelState
	byName map[string]*modelState
	// adapterMB is the memory that each engine reserves for adapters, in MB.
	adapterMB float64
	// copyLoadGain is the gain of the loads from local copies over all engines, in
	// calls per second.
	copyLoadGain rate
	// engineCount is the number of engines of the service.
	engineCount int
	// byVersion counts the engines that can take calls, by the version of their software.
	byVersion map[string]int
	// storeAvailable reports whether one more load from the weight store may begin.
	storeAvailable bool
	// loadable holds the models that an engine might load, highest gainBound first.
	loadable []*modelState
	// smallestMB is the size of the smallest loadable model, in MB.
	smallestMB float64
	// shortestLoad is the shortest load time of any model, in seconds.
	shortestLoad float64
}

// modelState is what a round of planning knows of one model.
type modelState struct {
	spec  *routes.Model
	queue *queue
	// rate is the expected calls per second.
	rate float64
	// holders holds the engines that serve the model; plannedLoads is the number of
	// jobs to load it, plannedStoreLoads that of those from the weight store.
	holders                         []*engine
	plannedLoads, plannedStoreLoads int
	// hasCopy reports whether an engine has a copy. copyAvailable reports whether an
	// engine that has a copy, but has not loaded it, is free now or within
	// maxCopyWait.
	hasCopy, copyAvailable bool
	// hasSpareSlots reports whether one of the holders has spare slots.
	hasSpareSlots bool
	// gainBound is an upper bound of the gain of a load at any engine, in calls.
	gainBound float64
	// addBenefit is how many fewer calls per second the holders lose to lateness with
	// one more holder, and removeCost how many more with one holder less. Both are
	// valid if effectsKnown is set.
	addBenefit, removeCost float64
	effectsKnown           bool
}

// newService returns a service with the given configuration.
func newService(spec *routes.Engine) *service {
	s := &service{spec: spec, byName: map[string]*modelState{}, byVersion: map[string]int{}}
	largestAdapterMB, shortestLoad := 0.0, time.Duration(math.MaxInt64)
	for i := range spec.Models {
		m := &modelState{spec: &spec.Models[i]}
		s.models = append(s.models, m)
		s.byName[m.spec.Name] = m
		shortestLoad = min(shortestLoad, loadTime(m.spec, Memory), loadTime(m.spec, Disk))
		if m.spec.Adapters > 0 {
			largestAdapterMB = max(largestAdapterMB, m.spec.AdapterMB)
		}
	}
	s.shortestLoad = shortestLoad.Seconds()
	s.adapterMB = largestAdapterMB * float64(spec.AdapterPlaces)
	return s
}

// opportunityCost returns the gain from loads of local copies that one engine forgoes
// while it is busy with another load, in calls per second.
func (s *service) opportunityCost(now time.Duration) float64 {
	return s.copyLoadGain.value(now) / float64(max(1, s.engineCount))
}

// model returns the model with the given name, or nil if the service has none.
func (s *service) model(name string) *routes.Model {
	if m := s.byName[name]; m != nil {
		return m.spec
	}
	return nil
}

// survey recomputes the state of all models from the engines and the entry nodes'
// reports.
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
	for _, s := range p.services {
		s.engineCount = 0
		clear(s.byVersion)
	}
	for _, e := range p.byID {
		if e.service == nil {
			continue
		}
		e.service.engineCount++
		if !e.desc.Leaving && !e.doubted {
			e.service.byVersion[e.desc.Software]++
			p.surveyEngine(e, r.now)
		}
	}
	for _, s := range p.services {
		s.spreadRates()
	}
}

// surveyEngine adds an engine's job, served models and copies to the state of the
// models.
func (p *Planner) surveyEngine(e *engine, now time.Duration) {
	if e.job != nil && !e.needsReport {
		if m := e.service.byName[e.job.model]; m != nil {
			m.plan(e.job.tier)
			m.queue.serve(e.desc.Software)
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
		if spareSlots {
			m.queue.serve(e.desc.Software)
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

// plan counts a job to load the model.
func (m *modelState) plan(t Tier) {
	m.plannedLoads++
	if t == Store {
		m.plannedStoreLoads++
	}
}

// loadsBefore returns the number of planned loads of a model that end before one from the given tier would.
//
// It answers this load pattern: all engines that have a copy of a model are busy when calls for it arrive, so that it
// is fetched from the weight store. That takes many times as long as the load of a copy, which another engine may
// begin as soon as it is free.
func (m *modelState) loadsBefore(t Tier) int {
	if t == Store {
		return m.plannedLoads
	}
	return m.plannedLoads - m.plannedStoreLoads
}

// spreadRates computes the expected calls per second at each engine. The holders of a
// model share its calls equally.
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

// removeHolder removes an engine from the holders. The others take over its share of
// the model's calls.
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

// computeHolderEffects sets addBenefit and removeCost of a model, unless they are
// known.
func (p *Planner) computeHolderEffects(m *modelState) {
	if m.effectsKnown {
		return
	}
	count := float64(len(m.holders))
	before := m.rate / count
	m.addBenefit, m.removeCost = 0, 0
	for _, h := range m.holders {
		current := p.lossRate(h, h.rate)
		m.addBenefit += current - p.lossRate(h, h.rate-before+m.rate/(count+1))
		if count > 1 {
			m.removeCost += p.lossRate(h, h.rate-before+m.rate/(count-1)) - current
		}
	}
	m.effectsKnown = true
}

// listLoadable sets s.loadable to the models that an engine of the service might
// load, and their gainBound.
func (p *Planner) listLoadable(s *service) {
	s.loadable, s.smallestMB = s.loadable[:0], 0
	for _, m := range s.models {
		m.gainBound = s.pinnedValue(m)
		if m.loadsBefore(Memory) == 0 {
			bestValue := 0.0
			for _, t := range []Tier{Memory, Disk, Store} {
				bestValue = max(bestValue, m.queue.loadValue(loadTime(m.spec, t)))
			}
			m.gainBound += p.gainBound(m, bestValue)
		}
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

// gainBound returns an upper bound of what gain returns for any engine; bestValue is
// the highest value of a load for the waiting calls.
func (p *Planner) gainBound(m *modelState, bestValue float64) float64 {
	if len(m.holders) == 0 {
		horizon := p.limits.Horizon
		if !m.hasCopy {
			horizon = max(horizon, p.limits.CopyHorizon)
		}
		return bestValue + m.rate*horizon.Seconds()
	}
	p.computeHolderEffects(m)
	bound := m.addBenefit * p.limits.Horizon.Seconds()
	if !m.hasSpareSlots {
		bound += bestValue
	}
	return bound
}
