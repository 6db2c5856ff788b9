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
	// reserved is the memory that each engine keeps for adapters, in MB.
	reserved float64
	// swaps is the worth of the loads of copies, in calls a second.
	swaps rate
	// engines is how many there are.
	engines int
	// storeOpen says that one more load from the weight store may begin.
	storeOpen bool
	// wanted are the models that an engine might load, the most useful first.
	wanted []*modelState
	// smallest is the size of the smallest of them, in MB.
	smallest float64
	// quickest is the shortest time of any load, in seconds.
	quickest float64
}

// modelState is what decides about one model.
type modelState struct {
	spec  *routes.Model
	queue *queue
	// rate is the calls a second that are expected.
	rate float64
	// holders are the engines that hold the model, coming is how many will.
	holders []*node
	coming  int
	// copied says that an engine has a copy, copyNear that one which does not serve
	// the model yet will be free before long.
	copied, copyNear bool
	// spare says that one of the holders has slots to spare.
	spare bool
	// worth is what a load is worth to those who wait, by where it comes from.
	worth [Store + 1]float64
	// bound is at least what one more engine with the model is worth.
	bound float64
	// relief is what the holders gain from one more of them, burden what they lose
	// without one of them, in late calls a second; known once summed is set.
	relief, burden float64
	summed         bool
}

func newService(e *routes.Engine) *service {
	s := &service{spec: e, byName: map[string]*modelState{}}
	largest, quickest := 0.0, time.Duration(math.MaxInt64)
	for i := range e.Models {
		m := &modelState{spec: &e.Models[i]}
		s.models = append(s.models, m)
		s.byName[m.spec.Name] = m
		quickest = min(quickest, loadTime(m.spec, Memory), loadTime(m.spec, Disk))
		if m.spec.Adapters > 0 {
			largest = max(largest, m.spec.AdapterMB)
		}
	}
	s.quickest = quickest.Seconds()
	s.reserved = largest * float64(e.AdapterPlaces)
	return s
}

// price is what the loads of copies are worth that an engine has no time for while it
// does something else, in calls a second.
func (s *service) price(now time.Duration) float64 {
	return s.swaps.value(now) / float64(max(1, s.engines))
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
			*m = modelState{spec: m.spec, holders: m.holders[:0], rate: p.measured(name, m.spec.Name, r.now)}
		}
	}
	for key, q := range r.queues {
		if s := p.services[key.service]; s != nil && s.byName[key.model] != nil {
			s.byName[key.model].queue = q
		}
	}
	for _, n := range p.order {
		if n.service != nil && !n.desc.Leaving {
			p.surveyNode(n, r.now)
		}
	}
	for _, s := range p.services {
		s.engines = 0
	}
	for _, n := range p.order {
		if n.service != nil {
			n.service.engines++
		}
	}
	for _, s := range p.services {
		s.spread()
	}
}

func (p *Planner) surveyNode(n *node, now time.Duration) {
	if n.job != nil && !n.unclear {
		if m := n.service.byName[n.job.model]; m != nil {
			m.coming++
		}
	}
	room := float64(n.running.total) < fullShare*float64(n.desc.Slots)
	for name := range n.held.offered {
		m := n.service.byName[name]
		if m == nil || !n.serves(name) {
			continue
		}
		m.holders = append(m.holders, n)
		m.spare = m.spare || room
		if p.demand.total == 0 {
			m.rate += replicaRate
		}
	}
	near := n.work == nil || n.work.due-now < storeWait
	for name := range n.tiers {
		if m := n.service.byName[name]; m != nil {
			m.copied = true
			m.copyNear = m.copyNear || near && !n.held.models[name]
		}
	}
}

// spread works out the calls a second at each engine, of which each holder of a
// model gets the same share.
func (s *service) spread() {
	for _, m := range s.models {
		for _, n := range m.holders {
			n.rate = 0
		}
	}
	for _, m := range s.models {
		for _, n := range m.holders {
			n.rate += m.rate / float64(len(m.holders))
		}
	}
}

// drop takes a holder away, whose share of the calls the others get.
func (m *modelState) drop(n *node) {
	count := float64(len(m.holders))
	kept := m.holders[:0]
	for _, h := range m.holders {
		if h == n {
			h.rate -= m.rate / count
			continue
		}
		h.rate += m.rate/(count-1) - m.rate/count
		kept = append(kept, h)
	}
	m.holders, m.summed = kept, false
}

// sum works out what one holder more or less means to all of them.
func (p *Planner) sum(m *modelState) {
	if m.summed {
		return
	}
	count := float64(len(m.holders))
	before := m.rate / count
	m.relief, m.burden = 0, 0
	for _, h := range m.holders {
		now := p.pace.lost(h.rate)
		m.relief += now - p.pace.lost(h.rate-before+m.rate/(count+1))
		if count > 1 {
			m.burden += p.pace.lost(h.rate-before+m.rate/(count-1)) - now
		}
	}
	m.summed = true
}

// want lists the models that an engine of the service might load.
func (p *Planner) want(s *service) {
	s.wanted, s.smallest = s.wanted[:0], 0
	for _, m := range s.models {
		if m.coming > 0 {
			continue
		}
		best := 0.0
		for _, t := range []Tier{Memory, Disk, Store} {
			m.worth[t] = m.queue.worth(loadTime(m.spec, t))
			best = max(best, m.worth[t])
		}
		m.bound = p.bound(m, best)
		if m.bound <= 0 {
			continue
		}
		s.wanted = append(s.wanted, m)
		if len(s.wanted) == 1 || m.spec.SizeMB < s.smallest {
			s.smallest = m.spec.SizeMB
		}
	}
	sortByBound(s.wanted)
}

// bound is at least what gain says for any engine; worth is the most that a load
// is worth to those who wait.
func (p *Planner) bound(m *modelState, worth float64) float64 {
	if len(m.holders) == 0 {
		horizon := p.limits.Horizon
		if !m.copied {
			horizon = max(horizon, p.limits.CopyHorizon)
		}
		return worth + m.rate*horizon.Seconds()
	}
	p.sum(m)
	bound := m.relief * p.limits.Horizon.Seconds()
	if !m.spare {
		bound += worth
	}
	return bound
}
