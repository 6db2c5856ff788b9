package residency

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/agateslip/agateslip/routes"
)

const (
	// runningCallLoss is added to the loss of unloading a model for each of its
	// running calls, in calls: the unload waits for them.
	runningCallLoss = 0.1
	// maxSpareLoad is the share of an engine's slots below which the engine can take
	// more calls for the models that it serves.
	maxSpareLoad = 0.6
	// minGainRatio is the least ratio of a load's gain to the loss of what it evicts.
	// It is above 1 so that models of equal value do not evict each other in turn.
	minGainRatio = 1.3
	// maxCopyWait is how long a busy engine with a copy of a model is waited for in
	// preference to a load from the weight store.
	maxCopyWait = 2 * time.Second
	// jobsPerRound limits the jobs that one round assigns, and so the round's run
	// time. The next round follows within milliseconds.
	jobsPerRound = 64
)

// loadTime returns how long a load of the model from the given tier takes. Where the
// configuration has no time for a tier, the next slower tier's time applies.
func loadTime(m *routes.Model, t Tier) time.Duration {
	switch {
	case t == Memory && m.MemoryLoad > 0:
		return m.MemoryLoad
	case t != Store && m.DiskLoad > 0:
		return m.DiskLoad
	default:
		return m.StoreLoad
	}
}

// candidate is a load that an engine could start now.
type candidate struct {
	engine *engine
	model  *modelState
	tier   Tier
	evict  []string
	// gain is the value of the load less the loss of what it evicts, in calls; score
	// is the gain per second for which the load occupies the engine.
	gain, score float64
}

// candidateHeap is a heap of each engine's best candidate, highest score first.
type candidateHeap []candidate

func (c candidateHeap) Len() int      { return len(c) }
func (c candidateHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c candidateHeap) Less(i, j int) bool {
	if c[i].score != c[j].score {
		return c[i].score > c[j].score
	}
	return c[i].engine.desc.ID < c[j].engine.desc.ID
}

// Push and Pop implement heap.Interface.
func (c *candidateHeap) Push(x any) { *c = append(*c, x.(candidate)) }

func (c *candidateHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// assignJobs assigns jobs to engines that can take one, highest score first. An
// engine's best candidate is computed once up front and again when it leaves the
// heap: a job assigned in between can only have lowered its score or replaced it.
func (p *Planner) assignJobs(r *round) {
	for name, s := range p.services {
		s.storeAvailable = p.storeHasCapacity(name, s, nil, r.now)
		p.listLoadable(s)
	}
	var candidates candidateHeap
	for _, e := range p.byID {
		if e.canTakeJob() {
			if c, ok := p.bestCandidate(e, r.now); ok {
				candidates = append(candidates, c)
			}
		}
	}
	heap.Init(&candidates)
	for assigned := 0; len(candidates) > 0 && assigned < jobsPerRound; {
		top := heap.Pop(&candidates).(candidate)
		c, ok := p.bestCandidate(top.engine, r.now)
		if !ok {
			continue
		}
		if len(candidates) > 0 && c.score < candidates[0].score {
			heap.Push(&candidates, c)
			continue
		}
		p.assign(c, r.now)
		assigned++
	}
}

// canTakeJob reports whether the engine is ready for a new job: it has none, carries
// out no model order, is not leaving, and its state is known.
func (e *engine) canTakeJob() bool {
	return e.service != nil && !e.desc.Leaving && !e.doubted && !e.needsReport && e.active == nil && e.job == nil && e.ordersKnown
}

// assign gives the candidate's engine its job and stops calls to the models to be
// evicted.
func (p *Planner) assign(c candidate, now time.Duration) {
	e := c.engine
	e.job = &job{model: c.model.spec.Name, tier: c.tier, evict: c.evict}
	c.model.plan(c.tier)
	c.model.queue.serve(e.desc.Software)
	if c.tier != Store {
		e.service.copyLoadGain.add(c.gain, now)
	}
	for _, v := range c.evict {
		e.closingSince[v] = now
		e.service.byName[v].removeHolder(e)
	}
	if c.tier == Store {
		e.service.storeAvailable = p.storeHasCapacity(e.desc.Service, e.service, nil, now)
	}
	p.changed[e.desc.ID] = true
}

// bestCandidate returns the load with the highest score that an engine could start.
func (p *Planner) bestCandidate(e *engine, now time.Duration) (candidate, bool) {
	s := e.service
	if len(s.loadable) == 0 {
		return candidate{}, false
	}
	memory := p.engineMemory(e, now)
	minGain := 0.0
	if memory.freeMB < s.smallestMB {
		minGain = memory.minLoss() * minGainRatio
	}
	best := candidate{}
	for _, m := range s.loadable {
		if m.gainBound <= minGain || m.gainBound <= best.score*s.shortestLoad {
			break // sorted by gainBound: no later model has a higher score
		}
		if m.loadsBefore(e.tier(m.spec.Name)) > 0 && m.queue.wants(e.desc.Software) == nil || e.held.models[m.spec.Name] {
			continue
		}
		if c, ok := p.evaluate(e, m, &memory, now); ok && c.score > best.score {
			best = c
		}
	}
	return best, best.engine != nil
}

// evaluate computes the gain and score of loading a model at an engine. It reports
// false if the load is not possible now or not worth what it evicts.
func (p *Planner) evaluate(e *engine, m *modelState, memory *engineMemory, now time.Duration) (candidate, bool) {
	c := candidate{engine: e, model: m, tier: e.tier(m.spec.Name)}
	pinned := m.queue.wants(e.desc.Software)
	if c.tier == Store && (m.copyAvailable && pinned == nil || !e.service.storeAvailable) {
		return candidate{}, false
	}
	evict, loss, wait, ok := memory.chooseVictims(m.spec.SizeMB)
	if !ok {
		return candidate{}, false
	}
	duration := loadTime(m.spec, c.tier)
	gain := e.service.pinnedCallValue(e.desc.Software) * pinned.loadValue(duration+wait)
	if m.loadsBefore(c.tier) == 0 {
		gain += p.gain(e, m, c.tier, m.queue.loadValue(duration+wait))
	}
	if gain <= 0 {
		return candidate{}, false
	}
	if c.tier == Store {
		gain -= adapterDelay(e, duration)
		if len(m.holders) > 0 {
			// Other engines serve the model meanwhile, but this engine cannot load
			// copies.
			gain -= e.service.opportunityCost(now) * duration.Seconds()
		}
	}
	if gain <= loss*minGainRatio {
		return candidate{}, false
	}
	c.evict = evict
	c.gain = gain - loss
	c.score = c.gain / (duration + wait + p.limits.CloseGrace).Seconds()
	return c, true
}

// gain returns the value, in calls, of holding a model at one more engine. waiting is the
// value of the load for the calls that wait.
func (p *Planner) gain(e *engine, m *modelState, t Tier, waiting float64) float64 {
	horizon := p.limits.Horizon.Seconds()
	if len(m.holders) > 0 {
		p.computeHolderEffects(m)
		share := m.rate / float64(len(m.holders)+1)
		value := (m.addBenefit + p.lossRate(e, e.rate) - p.lossRate(e, e.rate+share)) * horizon
		if !m.hasSpareSlots {
			// The engines that hold it have no spare slots, so waiting calls need the
			// load.
			value += waiting
		}
		return value
	}
	if t == Store && !m.hasCopy {
		horizon = p.limits.CopyHorizon.Seconds()
	}
	crowding := p.lossRate(e, e.rate+m.rate) - p.lossRate(e, e.rate)
	return waiting + m.rate*horizon - crowding*p.limits.Horizon.Seconds()
}

// adapterMissShare is the assumed share of calls, among those for a model with
// adapters, that ask for an adapter which is not loaded.
const adapterMissShare = 0.1

// adapterDelay returns how many calls wait for an adapter because engine e is busy
// for the given time with a load.
func adapterDelay(e *engine, busy time.Duration) float64 {
	delayed := 0.0
	for name := range e.held.servedSince {
		if m := e.service.byName[name]; m != nil && m.spec.Adapters > 0 && len(m.holders) > 0 {
			delayed += m.rate / float64(len(m.holders)) * adapterMissShare * busy.Seconds()
		}
	}
	return delayed
}

// removeCost returns how many more calls per second are lost to lateness if engine e
// no longer shares the calls for a model with the other engines that hold it.
func (p *Planner) removeCost(e *engine, m *modelState) float64 {
	p.computeHolderEffects(m)
	count := float64(len(m.holders))
	before, after := m.rate/count, m.rate/(count-1)
	own := p.lossRate(e, e.rate)
	// m.removeCost counts e as an engine that keeps the model. Replace that term by
	// the effect of losing its share of the calls.
	return m.removeCost - (p.lossRate(e, e.rate-before+after) - own) + p.lossRate(e, e.rate-before) - own
}

// sortByGainBound sorts models by gainBound, highest first.
func sortByGainBound(models []*modelState) {
	slices.SortStableFunc(models, func(a, b *modelState) int { return cmp.Compare(b.gainBound, a.gainBound) })
}
