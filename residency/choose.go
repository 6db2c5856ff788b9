package residency

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/agateslip/agateslip/routes"
)

const (
	// runningCallLoss is what a call that runs counts against making room: an unload
	// waits for it.
	runningCallLoss = 0.1
	// maxSpareLoad is the share of an engine's slots up to which the other holders of
	// a model can take its calls.
	maxSpareLoad = 0.6
	// minGainRatio is by how much a load must be worth more than what makes room for it,
	// so that models of equal worth do not take turns.
	minGainRatio = 1.3
	// maxCopyWait is for how long a busy engine with a copy is preferred to a load
	// from the weight store.
	maxCopyWait = 2 * time.Second
	// jobsPerRound bounds the jobs that one round gives out, and so its length; the
	// next round follows within milliseconds.
	jobsPerRound = 64
)

// loadTime is how long a load takes.
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

// candidate is a load that could begin now.
type candidate struct {
	engine *engine
	model  *modelState
	tier   Tier
	evict  []string
	// gain is what it is worth, in calls, score that for each second of the engine.
	gain, score float64
}

// candidateHeap is a heap of the best load of each engine, the most useful first.
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

// assignJobs gives jobs to engines that have none, the most useful first. Each engine
// is weighed once, and again when its turn has come: a job that was given out since
// can only have made its best load less useful, or another one.
func (p *Planner) assignJobs(r *round) {
	for name, s := range p.services {
		s.storeAvailable = p.storeHasCapacity(name, s, nil, r.now)
		p.listLoadable(s)
	}
	var queue candidateHeap
	for _, e := range p.byID {
		if e.canTakeJob() {
			if c, ok := p.bestCandidate(e, r.now); ok {
				queue = append(queue, c)
			}
		}
	}
	heap.Init(&queue)
	for assigned := 0; len(queue) > 0 && assigned < jobsPerRound; {
		first := heap.Pop(&queue).(candidate)
		c, ok := p.bestCandidate(first.engine, r.now)
		if !ok {
			continue
		}
		if len(queue) > 0 && c.score < queue[0].score {
			heap.Push(&queue, c)
			continue
		}
		p.assign(c, r.now)
		assigned++
	}
}

// canTakeJob reports whether an engine can take a job.
func (e *engine) canTakeJob() bool {
	return e.service != nil && !e.desc.Leaving && !e.needsReport && e.active == nil && e.job == nil && e.ordersKnown
}

// assign begins a job.
func (p *Planner) assign(c candidate, now time.Duration) {
	e := c.engine
	e.job = &job{model: c.model.spec.Name, tier: c.tier, evict: c.evict}
	c.model.plannedLoads++
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

// bestCandidate is the most useful load that an engine could begin.
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
			break // this model and those after it are worth less
		}
		if m.plannedLoads > 0 || e.held.models[m.spec.Name] {
			continue
		}
		if c, ok := p.evaluate(e, m, &memory, now); ok && c.score > best.score {
			best = c
		}
	}
	return best, best.engine != nil
}

// evaluate weighs loading a model at an engine.
func (p *Planner) evaluate(e *engine, m *modelState, memory *engineMemory, now time.Duration) (candidate, bool) {
	c := candidate{engine: e, model: m, tier: e.tier(m.spec.Name)}
	if c.tier == Store && (m.copyAvailable || !e.service.storeAvailable) {
		return candidate{}, false
	}
	gain := p.gain(e, m, c.tier)
	if gain <= 0 {
		return candidate{}, false
	}
	duration := loadTime(m.spec, c.tier)
	if c.tier == Store {
		gain -= adapterDelay(e, duration)
		if len(m.holders) > 0 {
			// Others serve the model meanwhile, but none else may swap here.
			gain -= e.service.opportunityCost(now) * duration.Seconds()
		}
	}
	evict, loss, wait, ok := memory.chooseVictims(m.spec.SizeMB)
	if !ok || gain <= loss*minGainRatio {
		return candidate{}, false
	}
	c.evict = evict
	c.gain = gain - loss
	c.score = c.gain / (duration + wait + p.limits.CloseGrace).Seconds()
	return c, true
}

// gain is what holding a model at one more engine is worth, in calls.
func (p *Planner) gain(e *engine, m *modelState, t Tier) float64 {
	horizon := p.limits.Horizon.Seconds()
	if len(m.holders) > 0 {
		p.computeHolderEffects(m)
		share := m.rate / float64(len(m.holders)+1)
		relief := (m.addBenefit + p.slowdown.lossRate(e.rate) - p.slowdown.lossRate(e.rate+share)) * horizon
		if !m.hasSpareSlots {
			// Those that hold it are full.
			relief += m.loadValue[t]
		}
		return relief
	}
	if t == Store && !m.hasCopy {
		horizon = p.limits.CopyHorizon.Seconds()
	}
	crowding := p.slowdown.lossRate(e.rate+m.rate) - p.slowdown.lossRate(e.rate)
	return m.loadValue[t] + m.rate*horizon - crowding*p.limits.Horizon.Seconds()
}

// adapterMissShare is the share of the calls for a model with adapters that ask for
// one that is not at hand.
const adapterMissShare = 0.1

// adapterDelay is how many calls wait for an adapter because their engine is busy
// with a load for that long.
func adapterDelay(e *engine, busy time.Duration) float64 {
	delayed := 0.0
	for name := range e.held.servedSince {
		if m := e.service.byName[name]; m != nil && m.spec.Adapters > 0 && len(m.holders) > 0 {
			delayed += m.rate / float64(len(m.holders)) * adapterMissShare * busy.Seconds()
		}
	}
	return delayed
}

// removeCost is how many calls a second more are late if an engine no longer shares
// the calls for a model with the others that hold it.
func (p *Planner) removeCost(e *engine, m *modelState) float64 {
	p.computeHolderEffects(m)
	count := float64(len(m.holders))
	before, after := m.rate/count, m.rate/(count-1)
	own := p.slowdown.lossRate(e.rate)
	// The sum counts this engine as one of those that go on.
	return m.removeCost - (p.slowdown.lossRate(e.rate-before+after) - own) + p.slowdown.lossRate(e.rate-before) - own
}

func sortByGainBound(models []*modelState) {
	slices.SortStableFunc(models, func(a, b *modelState) int { return cmp.Compare(b.gainBound, a.gainBound) })
}
