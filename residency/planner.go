package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/routes"
)

// Limits are the planner's thresholds.
type Limits struct {
	// StoreWidth is how many loads run from the weight store at once at most; fewer
	// where they are seen to slow each other down.
	StoreWidth int
	// AdapterWidth is how many adapters are on their way at once, over all
	// engines.
	AdapterWidth int
	// CloseGrace is how long before an unload nodes are told to send no more
	// calls; it covers the way of the message.
	CloseGrace time.Duration
	// MinStay is how long a loaded model stays at least, so that the calls that
	// waited for it can start.
	MinStay time.Duration
	// Horizon is the time over which expected calls count for what an engine holds;
	// CopyHorizon that for a first copy of a model, which stays on a disk.
	Horizon, CopyHorizon time.Duration
	// Overdue is how long beyond its expected time an order may take before the
	// engine is asked.
	Overdue time.Duration
	// ReportPause is the least time between two questions to an engine, whose
	// answers lag by some hundred milliseconds.
	ReportPause time.Duration
	// CallTime is how long a call takes, for estimates.
	CallTime time.Duration
}

// DefaultLimits returns the limits of the deployments at hand.
func DefaultLimits() Limits {
	return Limits{
		StoreWidth:   4,
		AdapterWidth: 24,
		CloseGrace:   25 * time.Millisecond,
		MinStay:      700 * time.Millisecond,
		Horizon:      3 * time.Second,
		CopyHorizon:  15 * time.Second,
		Overdue:      1500 * time.Millisecond,
		ReportPause:  500 * time.Millisecond,
		CallTime:     2 * time.Second,
	}
}

// Planner holds what is known of the engines of all services.
type Planner struct {
	limits   Limits
	services map[string]*service
	nodes    map[string]*node
	// order is the nodes by id.
	order   []*node
	demand  demandBook
	running runningBook
	pace    pace
	// forecasts are those of the last moments.
	forecasts map[modelKey]forecast
	// stores are the weight stores of the services.
	stores  map[string]*store
	changed map[string]bool
}

// node is one engine.
type node struct {
	desc fleet.Upstream
	// service is nil where the configuration in force has no such service.
	service *service
	// tiers is where the copies are that the engine has at hand.
	tiers map[string]Tier
	// counted says that orders is known.
	counted bool
	// orders is how many orders the engine has accepted.
	orders uint64
	// asking says that a report was asked for, asked when the latest one was.
	asking bool
	asked  time.Duration
	// unclear says that the engine must be asked before its next order.
	unclear bool
	// sent is the order that has no answer yet.
	sent *Order
	// work is the order that the engine carries out.
	work *work
	job  *job
	held holdings
	// used is when each adapter last ran.
	used map[string]time.Duration
	// rate is the calls a second that are expected here.
	rate    float64
	running *calls
	// closing is since when a model gets no new calls.
	closing map[string]time.Duration
	// adaptersHeld is until when no adapter is ordered.
	adaptersHeld time.Duration
}

// work is a model order that was accepted.
type work struct {
	order Order
	due   time.Duration
	// fetch is nil unless the order is a load from the weight store.
	fetch *storeLoad
}

// job is a load with the unloads that make room for it.
type job struct {
	model string
	tier  Tier
	evict []string
}

// New returns a planner that knows nothing.
func New(l Limits) *Planner {
	return &Planner{
		limits:    l,
		services:  map[string]*service{},
		nodes:     map[string]*node{},
		demand:    newDemandBook(),
		running:   newRunningBook(),
		forecasts: map[modelKey]forecast{},
		pace:      newPace(),
		stores:    map[string]*store{},
		changed:   map[string]bool{},
	}
}

// SetServices takes the services of the configuration in force.
func (p *Planner) SetServices(services []routes.Service) {
	clear(p.services)
	for i := range services {
		if e := services[i].Engine; e != nil {
			p.services[services[i].Name] = newService(e)
		}
	}
	for _, n := range p.nodes {
		n.service = p.services[n.desc.Service]
	}
	clear(p.forecasts)
}

// SetUpstream takes what an upstream says of itself.
func (p *Planner) SetUpstream(u fleet.Upstream, now time.Duration) {
	n := p.nodes[u.ID]
	if n == nil || n.desc.Born != u.Born {
		n = &node{
			unclear: true,
			held:    newHoldings(),
			used:    map[string]time.Duration{},
			running: p.running.at(u.ID),
			closing: map[string]time.Duration{},
		}
		p.put(u.ID, n)
	}
	n.takeCopies(&u)
	n.desc = u
	n.desc.Closing = nil
	n.service = p.services[u.Service]
	n.held.announced(u.Residents, now)
	p.settle(n, now)
	p.changed[u.ID] = true
}

// put adds a node, in place of an earlier one of that name.
func (p *Planner) put(id string, n *node) {
	at, known := p.place(id)
	if known {
		p.order[at] = n
	} else {
		p.order = slices.Insert(p.order, at, n)
	}
	p.nodes[id] = n
	n.desc.ID = id
}

// place is where a node is in the order, or belongs.
func (p *Planner) place(id string) (at int, known bool) {
	return slices.BinarySearchFunc(p.order, id, func(n *node, id string) int { return cmp.Compare(n.desc.ID, id) })
}

// Remove forgets an upstream that has ended.
func (p *Planner) Remove(id string) {
	if at, known := p.place(id); known {
		p.order = slices.Delete(p.order, at, at+1)
	}
	delete(p.nodes, id)
	p.running.forget(id)
}

// takeCopies notes which copies of weights an upstream has at hand.
func (n *node) takeCopies(u *fleet.Upstream) {
	if n.tiers != nil && slices.Equal(n.desc.InMemory, u.InMemory) && slices.Equal(n.desc.OnDisk, u.OnDisk) {
		return
	}
	n.tiers = make(map[string]Tier, len(u.OnDisk)+len(u.InMemory))
	for _, model := range u.OnDisk {
		n.tiers[model] = Disk
	}
	for _, model := range u.InMemory {
		n.tiers[model] = Memory
	}
}

// spec is what the configuration says of the engine.
func (n *node) spec() *routes.Engine { return n.service.spec }

// settle compares what the engine says that it serves with what was ordered.
func (p *Planner) settle(n *node, now time.Duration) {
	w := n.work
	if w == nil || w.order.Load != n.held.offers(w.order.Model) {
		return
	}
	n.work = nil
	if w.fetch != nil {
		p.store(n.desc.Service).pace.finished(w.fetch, now)
	}
	n.closed(w.order, now)
}

// closed takes note that an order was carried out.
func (n *node) closed(o Order, now time.Duration) {
	if o.Load {
		if n.job != nil && n.job.model == o.Model {
			n.job = nil
		}
		return
	}
	n.held.dropModel(o.Model, now)
	delete(n.closing, o.Model)
	if n.job != nil {
		n.job.evict = slices.DeleteFunc(n.job.evict, func(m string) bool { return m == o.Model })
	}
}

// View is what nodes that send calls should know of an upstream's models.
func (p *Planner) View(id string, now time.Duration) (residents []fleet.Resident, closing []string, ok bool) {
	n := p.nodes[id]
	if n == nil {
		return nil, nil, false
	}
	residents = n.held.residents(n.desc.Residents, now)
	return residents, slices.Sorted(maps.Keys(n.closing)), true
}

// Changed returns the upstreams whose View may have changed since the last call.
func (p *Planner) Changed() []string {
	ids := slices.Sorted(maps.Keys(p.changed))
	clear(p.changed)
	return ids
}

// Plan returns what is to be sent now.
func (p *Planner) Plan(now time.Duration) []Step {
	p.age(now)
	p.countFetches(now)
	r := &round{now: now, queues: p.queues(now)}
	if slices.ContainsFunc(p.order, (*node).free) {
		p.survey(r)
		p.choose(r)
	}
	p.findAdapters(r)
	var steps []Step
	for _, n := range p.order {
		if n.service == nil || n.sent != nil || n.asking {
			continue
		}
		if step, ok := p.next(n, r); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// round is what one round of planning looks up once.
type round struct {
	now    time.Duration
	queues map[modelKey]*queue
	// servers are the engines that serve a model for whose adapters calls wait.
	servers map[modelKey][]*node
	// coming counts the adapters on their way to all engines.
	coming int
}

// next returns the next step at one engine.
func (p *Planner) next(n *node, r *round) (Step, bool) {
	now := r.now
	if n.work != nil && now > n.work.due+p.limits.Overdue {
		n.unclear = true
	}
	if n.unclear {
		if n.asked != 0 && now-n.asked < p.limits.ReportPause {
			return Step{}, false
		}
		n.asking, n.asked = true, now
		return Step{Upstream: n.desc, Report: true}, true
	}
	if step, ok := p.adapterStep(n, r); ok {
		return step, true
	}
	if n.work != nil || n.job == nil {
		return Step{}, false
	}
	return p.jobStep(n, now)
}

// jobStep returns the next order of a job: unloads, then the load.
func (p *Planner) jobStep(n *node, now time.Duration) (Step, bool) {
	j := n.job
	if len(j.evict) > 0 {
		victim := j.evict[0]
		if now-n.closing[victim] < p.limits.CloseGrace {
			return Step{}, false
		}
		return n.order(Order{Model: victim}), true
	}
	if j.tier == Store {
		if !p.storeRoom(n.desc.Service, n.service, n, now) {
			return Step{}, false
		}
		s := p.store(n.desc.Service)
		s.starts = append(s.starts, now)
	}
	return n.order(Order{Load: true, Model: j.model}), true
}

// order makes the step that sends an order.
func (n *node) order(o Order) Step {
	o.Accepted = n.orders
	n.sent = &o
	return Step{Upstream: n.desc, Order: &o}
}
