package residency

import (
	"cmp"
	"slices"
	"strings"
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
	model *routes.Model
	tier  Tier
	evict []string
	score float64
}

// choose gives jobs to engines that have none, the most useful first.
func (p *Planner) choose(now time.Duration) {
	var free []*node
	for _, n := range p.sorted() {
		if n.free() {
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return
	}
	models := p.survey(now)
	for {
		best := candidate{}
		for _, n := range free {
			if n.job != nil {
				continue
			}
			r := p.room(n, models, now)
			for i := range n.spec.Models {
				c, ok := p.consider(n, &n.spec.Models[i], models, &r, now)
				if ok && c.score > best.score {
					best = c
				}
			}
		}
		if best.node == nil {
			return
		}
		p.assign(best, now)
		models.assigned(best)
	}
}

// free reports whether an engine can take a job.
func (n *node) free() bool {
	return n.spec != nil && !n.desc.Leaving && !n.unclear && n.work == nil && n.job == nil && n.counted
}

// assign begins a job.
func (p *Planner) assign(c candidate, now time.Duration) {
	c.node.job = &job{model: c.model.Name, tier: c.tier, evict: c.evict}
	for _, v := range c.evict {
		c.node.closing[v] = now
	}
	p.changed[c.node.desc.ID] = true
}

// consider weighs loading a model at an engine.
func (p *Planner) consider(n *node, m *routes.Model, models survey, r *room, now time.Duration) (candidate, bool) {
	state := models.of(n.desc.Service, m.Name)
	c := candidate{node: n, model: m, tier: n.tier(m.Name)}
	took := loadTime(m, c.tier)
	if state.coming > 0 || n.held.models[m.Name] {
		return candidate{}, false
	}
	gain := p.gain(n, state, took, c.tier)
	if gain <= 0 {
		return candidate{}, false
	}
	if c.tier == Store && (state.copyNear || !p.storeRoom(n, now)) {
		return candidate{}, false
	}
	if c.tier == Store {
		gain -= p.adapterDelay(n, models, took)
	}
	evict, loss, wait, ok := r.give(m.SizeMB)
	if !ok || gain <= loss*margin {
		return candidate{}, false
	}
	c.evict = evict
	c.score = (gain - loss) / (took + wait + p.limits.CloseGrace).Seconds()
	return c, true
}

// modelState is what decides about one model of a service.
type modelState struct {
	queue *queue
	rate  float64
	// holders are the engines that hold the model, coming is how many will.
	holders []*node
	coming  int
	// copied says that an engine has a copy, copyNear that one will be free before
	// long.
	copied, copyNear bool
	// spare says that one of the holders has slots to spare.
	spare bool
}

// survey is the state of all models, made once for a round of choices.
type survey map[modelKey]*modelState

func (s survey) of(service, model string) *modelState {
	state := s[modelKey{service, model}]
	if state == nil {
		state = &modelState{}
		s[modelKey{service, model}] = state
	}
	return state
}

// assigned takes note of a job.
func (s survey) assigned(c candidate) {
	service := c.node.desc.Service
	s.of(service, c.model.Name).coming++
	for _, v := range c.evict {
		state := s.of(service, v)
		state.holders = slices.DeleteFunc(state.holders, func(n *node) bool { return n == c.node })
	}
	s.spread()
}

// spread works out the calls a second at each engine, of which each holder of a
// model gets the same share.
func (s survey) spread() {
	for _, state := range s {
		for _, n := range state.holders {
			n.rate = 0
		}
	}
	for _, state := range s {
		for _, n := range state.holders {
			n.rate += state.rate / float64(len(state.holders))
		}
	}
}

// survey looks at all engines and reports.
func (p *Planner) survey(now time.Duration) survey {
	s := survey{}
	for service, e := range p.engines {
		for i := range e.Models {
			s.of(service, e.Models[i].Name).rate = p.measured(service, e.Models[i].Name, now)
		}
	}
	for key, q := range p.queues(now) {
		s.of(key.service, key.model).queue = q
	}
	for _, n := range p.nodes {
		if n.spec != nil && !n.desc.Leaving {
			p.surveyNode(s, n, now)
		}
	}
	s.spread()
	return s
}

func (p *Planner) surveyNode(s survey, n *node, now time.Duration) {
	service := n.desc.Service
	if n.job != nil && !n.unclear {
		s.of(service, n.job.model).coming++
	}
	room := float64(n.busy()) < fullShare*float64(n.desc.Slots)
	for model := range n.held.offered {
		if !n.serves(model) {
			continue
		}
		state := s.of(service, model)
		state.holders = append(state.holders, n)
		state.spare = state.spare || room
		if p.demand.total == 0 {
			state.rate += replicaRate
		}
	}
	near := n.work == nil || n.work.due-now < storeWait
	for _, copies := range [][]string{n.desc.InMemory, n.desc.OnDisk} {
		for _, m := range copies {
			state := s.of(service, m)
			state.copied = true
			state.copyNear = state.copyNear || near
		}
	}
}

// gain is what holding a model at one more engine is worth, in calls.
func (p *Planner) gain(n *node, m *modelState, within time.Duration, t Tier) float64 {
	horizon := p.limits.Horizon.Seconds()
	if len(m.holders) > 0 {
		relief := p.relief(n, m) * horizon
		if !m.spare {
			// Those that hold it are full.
			relief += m.queue.worth(within)
		}
		return relief
	}
	if t == Store && !m.copied {
		horizon = p.limits.CopyHorizon.Seconds()
	}
	crowding := p.pace.lost(n.rate+m.rate) - p.pace.lost(n.rate)
	return m.queue.worth(within) + m.rate*horizon - crowding*p.limits.Horizon.Seconds()
}

// adapterMisses is the share of the calls for a model with adapters that ask for
// one that is not at hand.
const adapterMisses = 0.1

// adapterDelay is how many calls wait for an adapter because their engine is busy
// with a load for that long.
func (p *Planner) adapterDelay(n *node, models survey, busy time.Duration) float64 {
	delayed := 0.0
	for model := range n.held.offered {
		spec := n.spec.Model(model)
		if state := models.of(n.desc.Service, model); spec != nil && spec.Adapters > 0 && len(state.holders) > 0 {
			delayed += state.rate / float64(len(state.holders)) * adapterMisses * busy.Seconds()
		}
	}
	return delayed
}

// relief is how many calls a second fewer are late if one more engine shares the
// calls for a model with those that hold it.
func (p *Planner) relief(n *node, m *modelState) float64 {
	before, after := m.rate/float64(len(m.holders)), m.rate/float64(len(m.holders)+1)
	relief := p.pace.lost(n.rate) - p.pace.lost(n.rate+after)
	for _, h := range m.holders {
		relief += p.pace.lost(h.rate) - p.pace.lost(h.rate-before+after)
	}
	return relief
}

// burden is how many calls a second more are late if an engine no longer shares
// the calls for a model with the others that hold it.
func (p *Planner) burden(n *node, m *modelState) float64 {
	before, after := m.rate/float64(len(m.holders)), m.rate/float64(len(m.holders)-1)
	burden := p.pace.lost(n.rate-before) - p.pace.lost(n.rate)
	for _, h := range m.holders {
		if h != n {
			burden += p.pace.lost(h.rate-before+after) - p.pace.lost(h.rate)
		}
	}
	return burden
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

// victim is a model that could make room.
type victim struct {
	name string
	size float64
	loss float64
	wait time.Duration
}

// room is what an engine has free, and what it could give up, the least loss
// first.
type room struct {
	free    float64
	victims []victim
}

// room looks at one engine.
func (p *Planner) room(n *node, models survey, now time.Duration) room {
	r := room{free: n.spec.WeightsMB - n.reserved()}
	for _, model := range n.held.sortedModels() {
		spec := n.spec.Model(model)
		if spec == nil {
			continue
		}
		r.free -= spec.SizeMB
		if since, offered := n.held.offered[model]; !offered || now-since < p.limits.MinStay {
			continue
		}
		r.victims = append(r.victims, p.victim(n, spec, models.of(n.desc.Service, model)))
	}
	slices.SortFunc(r.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss+a.wait.Seconds(), b.loss+b.wait.Seconds()), strings.Compare(a.name, b.name))
	})
	return r
}

// give chooses what is given up for a model of a size.
func (r *room) give(size float64) (evict []string, loss float64, wait time.Duration, ok bool) {
	free := r.free
	if free >= size {
		return nil, 0, 0, true
	}
	for _, v := range r.victims {
		evict = append(evict, v.name)
		loss += v.loss
		wait = max(wait, v.wait)
		if free += v.size; free >= size {
			return needed(evict, r.victims, free-size), loss, wait, true
		}
	}
	return nil, 0, 0, false
}

// needed drops victims that turned out not to be needed for the room.
func needed(evict []string, victims []victim, over float64) []string {
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
func (p *Planner) victim(n *node, m *routes.Model, state *modelState) victim {
	v := victim{name: m.Name, size: m.SizeMB}
	if len(state.holders) > 1 {
		v.loss = max(0, p.burden(n, state)*p.limits.Horizon.Seconds())
	} else {
		v.loss = state.rate * p.limits.Horizon.Seconds()
	}
	if n.running[m.Name] > 0 {
		v.wait = p.limits.CallTime
		v.loss += float64(n.running[m.Name]) * runningLoss
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
