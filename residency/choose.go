package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/agateslip/agateslip/routes"
)

const (
	// spareLoss is the share of a model's expected calls that is lost with one of
	// several engines that hold it, while the others have room.
	spareLoss = 0.1
	// fullShare is the share of an engine's slots up to which the other holders of
	// a model can take its calls.
	fullShare = 0.6
	// margin is by how much a load must be worth more than what makes room for it,
	// so that models of equal worth do not take turns.
	margin = 1.3
	// storeWait is for how long a busy engine with a copy is preferred to a load
	// from the weight store.
	storeWait = 2 * time.Second
)

func compareStrings(a, b string) int { return strings.Compare(a, b) }

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
	model *routes.Model
	tier  Tier
	evict []string
	score float64
}

// choose gives jobs to engines that have none, the most useful first.
func (p *Planner) choose(now time.Duration) {
	queues := p.queues(now)
	for {
		best := candidate{}
		for _, n := range p.sorted() {
			if !n.free(now) {
				continue
			}
			for i := range n.spec.Models {
				c, ok := p.consider(n, &n.spec.Models[i], queues, now)
				if ok && c.score > best.score {
					best = c
				}
			}
		}
		if best.node == nil {
			return
		}
		p.assign(best, now)
	}
}

// free reports whether an engine can take a job.
func (n *node) free(time.Duration) bool {
	return n.spec != nil && !n.desc.Leaving && !n.unclear && n.work == nil && n.job == nil && n.counted
}

// assign begins a job.
func (p *Planner) assign(c candidate, now time.Duration) {
	c.node.job = &job{model: c.model.Name, tier: c.tier, evict: c.evict, began: now}
	for _, v := range c.evict {
		c.node.closing[v] = now
	}
	p.changed[c.node.desc.ID] = true
}

// consider weighs loading a model at an engine.
func (p *Planner) consider(n *node, m *routes.Model, queues map[modelKey]*queue, now time.Duration) (candidate, bool) {
	if n.desc.Holds(m.Name, "") {
		return candidate{}, false
	}
	c := candidate{node: n, model: m, tier: n.tier(m.Name)}
	took := loadTime(m, c.tier)
	q := queues[modelKey{n.desc.Service, m.Name}]
	gain := p.gain(n.desc.Service, m.Name, q, took, now)
	if gain <= 0 {
		return candidate{}, false
	}
	if c.tier == Store && (!p.storeRoom(n, now) || p.copyNear(n.desc.Service, m.Name, now)) {
		return candidate{}, false
	}
	evict, loss, wait, ok := p.makeRoom(n, m, now)
	if !ok || gain <= loss*margin {
		return candidate{}, false
	}
	c.evict = evict
	c.score = (gain - loss) / (took + wait).Seconds()
	return c, true
}

// gain is what holding a model at one more engine is worth, in calls.
func (p *Planner) gain(service, model string, q *queue, within, now time.Duration) float64 {
	holders, coming := p.holders(service, model)
	if coming > 0 {
		return 0
	}
	waiting := q.worth(within)
	if holders > 0 {
		// Those that hold it are full, or calls wait for one of its adapters.
		if p.spare(service, model) {
			return 0
		}
		return waiting
	}
	return waiting + p.rate(service, model, now)*p.limits.Horizon.Seconds()
}

// holders counts the engines that hold a model, and those that will.
func (p *Planner) holders(service, model string) (holders, coming int) {
	for _, n := range p.nodes {
		if n.desc.Service != service || n.desc.Leaving {
			continue
		}
		_, closing := n.closing[model]
		switch {
		case n.job != nil && n.job.model == model:
			coming++
		case n.desc.Holds(model, "") && !closing:
			holders++
		}
	}
	return holders, coming
}

// spare reports whether an engine that holds a model has slots to spare.
func (p *Planner) spare(service, model string) bool {
	for _, n := range p.nodes {
		_, closing := n.closing[model]
		if n.desc.Service != service || n.desc.Leaving || closing || !n.desc.Holds(model, "") {
			continue
		}
		if float64(n.busy()) < fullShare*float64(n.desc.Slots) {
			return true
		}
	}
	return false
}

// busy is how many calls run at the engine.
func (n *node) busy() int {
	total := 0
	for name, calls := range n.running {
		if !strings.Contains(name, "/") {
			total += calls
		}
	}
	return total
}

// copyNear reports whether an engine has a copy of a model and will be free
// before long.
func (p *Planner) copyNear(service, model string, now time.Duration) bool {
	for _, n := range p.nodes {
		if n.desc.Service != service || n.desc.Leaving || n.spec == nil || n.tier(model) == Store {
			continue
		}
		if n.work == nil || n.work.due-now < storeWait {
			return true
		}
	}
	return false
}

// victim is a model that could make room.
type victim struct {
	name string
	size float64
	loss float64
	wait time.Duration
}

// makeRoom chooses what an engine gives up for a model: the least loss first.
func (p *Planner) makeRoom(n *node, m *routes.Model, now time.Duration) (evict []string, loss float64, wait time.Duration, ok bool) {
	free := n.spec.WeightsMB - n.reserved()
	var victims []victim
	for _, r := range n.desc.Residents {
		spec := n.spec.Model(r.Model)
		if spec == nil {
			continue
		}
		free -= spec.SizeMB
		if now-n.since[r.Model] < p.limits.MinStay {
			continue
		}
		victims = append(victims, p.victim(n, spec, now))
	}
	if free >= m.SizeMB {
		return nil, 0, 0, true
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss+a.wait.Seconds(), b.loss+b.wait.Seconds()), compareStrings(a.name, b.name))
	})
	for _, v := range victims {
		evict = append(evict, v.name)
		loss += v.loss
		wait = max(wait, v.wait)
		if free += v.size; free >= m.SizeMB {
			return p.needed(evict, victims, free-m.SizeMB), loss, wait + p.limits.CloseGrace, true
		}
	}
	return nil, 0, 0, false
}

// needed drops victims that turned out not to be needed for the room.
func (p *Planner) needed(evict []string, victims []victim, over float64) []string {
	kept := evict[:0:0]
	for _, name := range evict {
		i := slices.IndexFunc(victims, func(v victim) bool { return v.name == name })
		if victims[i].size <= over {
			over -= victims[i].size
			continue
		}
		kept = append(kept, name)
	}
	return kept
}

// victim says what the loss of a model at an engine would cost.
func (p *Planner) victim(n *node, m *routes.Model, now time.Duration) victim {
	v := victim{name: m.Name, size: m.SizeMB}
	rate := p.rate(n.desc.Service, m.Name, now)
	expected := rate * p.limits.Horizon.Seconds()
	others := -1 // this one
	for _, o := range p.nodes {
		if _, closing := o.closing[m.Name]; o.desc.Service == n.desc.Service && !o.desc.Leaving && !closing && o.desc.Holds(m.Name, "") {
			others++
		}
	}
	v.loss = expected
	if room := float64(others*n.desc.Slots) * fullShare; others > 0 && rate*p.limits.CallTime.Seconds() < room/2 {
		v.loss = expected * spareLoss
	}
	if n.running[m.Name] > 0 {
		// An unload waits for the calls that run.
		v.wait = p.limits.CallTime
		v.loss += float64(n.running[m.Name]) * spareLoss
	}
	return v
}

// reserved is the memory kept for adapters.
func (n *node) reserved() float64 {
	largest := 0.0
	for i := range n.spec.Models {
		if n.spec.Models[i].Adapters > 0 {
			largest = max(largest, n.spec.Models[i].AdapterMB)
		}
	}
	return largest * float64(n.spec.AdapterPlaces)
}
