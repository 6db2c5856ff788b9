package residency

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/agateslip/agateslip/routes"
)

const (
	// runningLoss is what a call that runs counts against making room: an unload
	// waits for it.
	runningLoss = 0.1
	// fullShare is the share of an engine's slots up to which the other holders of
	// a model can take its calls.
	fullShare = 0.6
	// margin is by how much a load must be worth more than what makes room for it,
	// so that models of equal worth do not take turns.
	margin = 1.3
	// storeWait is for how long a busy engine with a copy is preferred to a load
	// from the weight store.
	storeWait = 2 * time.Second
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
	node  *node
	model *modelState
	tier  Tier
	evict []string
	// gain is what it is worth, in calls, score that for each second of the engine.
	gain, score float64
}

// candidates is a heap of the best load of each engine, the most useful first.
type candidates []candidate

func (c candidates) Len() int      { return len(c) }
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c candidates) Less(i, j int) bool {
	if c[i].score != c[j].score {
		return c[i].score > c[j].score
	}
	return c[i].node.desc.ID < c[j].node.desc.ID
}

// Push and Pop implement heap.Interface.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// choose gives jobs to engines that have none, the most useful first. Each engine
// is weighed once, and again when its turn has come: a job that was given out since
// can only have made its best load less useful, or another one.
func (p *Planner) choose(r *round) {
	for name, s := range p.services {
		s.storeOpen = p.storeRoom(name, s, nil, r.now)
		p.want(s)
	}
	var queue candidates
	for _, n := range p.order {
		if n.free() {
			if c, ok := p.best(n, r.now); ok {
				queue = append(queue, c)
			}
		}
	}
	heap.Init(&queue)
	for given := 0; len(queue) > 0 && given < jobsPerRound; {
		first := heap.Pop(&queue).(candidate)
		c, ok := p.best(first.node, r.now)
		if !ok {
			continue
		}
		if len(queue) > 0 && c.score < queue[0].score {
			heap.Push(&queue, c)
			continue
		}
		p.assign(c, r.now)
		given++
	}
}

// free reports whether an engine can take a job.
func (n *node) free() bool {
	return n.service != nil && !n.desc.Leaving && !n.unclear && n.work == nil && n.job == nil && n.counted
}

// assign begins a job.
func (p *Planner) assign(c candidate, now time.Duration) {
	n := c.node
	n.job = &job{model: c.model.spec.Name, tier: c.tier, evict: c.evict}
	c.model.coming++
	if c.tier != Store {
		n.service.swaps.add(c.gain, now)
	}
	for _, v := range c.evict {
		n.closing[v] = now
		n.service.byName[v].drop(n)
	}
	if c.tier == Store {
		n.service.storeOpen = p.storeRoom(n.desc.Service, n.service, nil, now)
	}
	p.changed[n.desc.ID] = true
}

// best is the most useful load that an engine could begin.
func (p *Planner) best(n *node, now time.Duration) (candidate, bool) {
	s := n.service
	if len(s.wanted) == 0 {
		return candidate{}, false
	}
	r := p.room(n, now)
	least := 0.0
	if r.free < s.smallest {
		least = r.least() * margin
	}
	best := candidate{}
	for _, m := range s.wanted {
		if m.bound <= least || m.bound <= best.score*s.quickest {
			break // this model and those after it are worth less
		}
		if m.coming > 0 || n.held.models[m.spec.Name] {
			continue
		}
		if c, ok := p.consider(n, m, &r, now); ok && c.score > best.score {
			best = c
		}
	}
	return best, best.node != nil
}

// consider weighs loading a model at an engine.
func (p *Planner) consider(n *node, m *modelState, r *room, now time.Duration) (candidate, bool) {
	c := candidate{node: n, model: m, tier: n.tier(m.spec.Name)}
	if c.tier == Store && (m.copyNear || !n.service.storeOpen) {
		return candidate{}, false
	}
	gain := p.gain(n, m, c.tier)
	if gain <= 0 {
		return candidate{}, false
	}
	took := loadTime(m.spec, c.tier)
	if c.tier == Store {
		gain -= adapterDelay(n, took)
		if len(m.holders) > 0 {
			// Others serve the model meanwhile, but none else may swap here.
			gain -= n.service.price(now) * took.Seconds()
		}
	}
	evict, loss, wait, ok := r.give(m.spec.SizeMB)
	if !ok || gain <= loss*margin {
		return candidate{}, false
	}
	c.evict = evict
	c.gain = gain - loss
	c.score = c.gain / (took + wait + p.limits.CloseGrace).Seconds()
	return c, true
}

// gain is what holding a model at one more engine is worth, in calls.
func (p *Planner) gain(n *node, m *modelState, t Tier) float64 {
	horizon := p.limits.Horizon.Seconds()
	if len(m.holders) > 0 {
		p.sum(m)
		share := m.rate / float64(len(m.holders)+1)
		relief := (m.relief + p.pace.lost(n.rate) - p.pace.lost(n.rate+share)) * horizon
		if !m.spare {
			// Those that hold it are full.
			relief += m.worth[t]
		}
		return relief
	}
	if t == Store && !m.copied {
		horizon = p.limits.CopyHorizon.Seconds()
	}
	crowding := p.pace.lost(n.rate+m.rate) - p.pace.lost(n.rate)
	return m.worth[t] + m.rate*horizon - crowding*p.limits.Horizon.Seconds()
}

// adapterMisses is the share of the calls for a model with adapters that ask for
// one that is not at hand.
const adapterMisses = 0.1

// adapterDelay is how many calls wait for an adapter because their engine is busy
// with a load for that long.
func adapterDelay(n *node, busy time.Duration) float64 {
	delayed := 0.0
	for name := range n.held.offered {
		if m := n.service.byName[name]; m != nil && m.spec.Adapters > 0 && len(m.holders) > 0 {
			delayed += m.rate / float64(len(m.holders)) * adapterMisses * busy.Seconds()
		}
	}
	return delayed
}

// burden is how many calls a second more are late if an engine no longer shares
// the calls for a model with the others that hold it.
func (p *Planner) burden(n *node, m *modelState) float64 {
	p.sum(m)
	count := float64(len(m.holders))
	before, more := m.rate/count, m.rate/(count-1)
	own := p.pace.lost(n.rate)
	// The sum counts this engine as one of those that go on.
	return m.burden - (p.pace.lost(n.rate-before+more) - own) + p.pace.lost(n.rate-before) - own
}

func sortByBound(models []*modelState) {
	slices.SortStableFunc(models, func(a, b *modelState) int { return cmp.Compare(b.bound, a.bound) })
}
