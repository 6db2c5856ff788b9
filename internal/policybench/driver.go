package policybench

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/placement"
)

const (
	// commitDelay is how long a proposed change takes to be applied, and
	// orderDelay how long an order is on its way.
	commitDelay = 5 * time.Millisecond
	orderDelay  = 2 * time.Millisecond
	// planDelay gathers inputs for one planning round.
	planDelay = 2 * time.Millisecond
	// longestLease and orderDeadline are those of the control group.
	longestLease  = 2 * time.Second
	orderDeadline = time.Second
	// meanService is what admission takes a request to run.
	meanService = 2500 * time.Millisecond
	// adaptersInFlight is the platform's limit of adapter loads at once.
	adaptersInFlight = 30
)

// planned drives the placement package: it commits changes, delivers orders
// and admits requests by the forecasts.
type planned struct {
	world    *world
	planner  *placement.Planner
	ledger   placement.Ledger
	pending  []placement.Change
	since    time.Duration
	paused   bool
	views    []placement.Upstream
	scenario *Scenario

	arrived   []int
	forecasts []placement.Forecast
	index     map[placement.Key]int
	position  []int
	ordered   bool
	plannedAt time.Duration
	scheduled bool
	version   uint64
	epoch     uint64
}

func newPlanned(w *world) *planned {
	p := &planned{world: w, scenario: w.scenario, index: make(map[placement.Key]int)}
	p.planner = placement.NewPlanner(p.config())
	p.arrived = make([]int, len(w.scenario.Models))
	p.position = make([]int, len(w.scenario.Models))
	for i := range w.scenario.Models {
		p.index[w.scenario.Models[i].Key] = i
	}
	return p
}

func (p *planned) config() placement.Config {
	return placement.Config{Store: p.scenario.Store, AdaptersInFlight: adaptersInFlight}
}

func (p *planned) arrive(q *request) {
	p.arrived[q.Model]++
	if !p.feasible(q) {
		p.world.refuse(q)
		return
	}
	p.world.accept(q)
	if q.outcome == open {
		p.schedule()
	}
}

// feasible estimates the wait from the forecast and the queue, as admission
// does.
func (p *planned) feasible(q *request) bool {
	f := &p.scenario.Models[q.Model]
	queue := len(p.world.queues[q.Model])
	if queue >= maxQueue {
		return false
	}
	wait := time.Duration(0)
	if p.forecasts != nil {
		forecast := &p.forecasts[p.position[q.Model]]
		wait = forecast.ReadyIn
		if forecast.Readiness == placement.Loading {
			wait -= p.world.clock.now - p.plannedAt
		}
	}
	// Each full set of slots ahead in the queue takes one service time.
	replicas := max(len(p.world.replicas[q.Model]), 1)
	rounds := queue / (f.Slots * replicas)
	wait += time.Duration(rounds) * meanService
	return wait <= f.Wait
}

func (p *planned) announced(e *engine) {
	a := e.announcement()
	at, found := slices.BinarySearchFunc(p.views, e.id, func(u placement.Upstream, id string) int {
		switch {
		case u.Announcement.ID < id:
			return -1
		case u.Announcement.ID > id:
			return 1
		default:
			return 0
		}
	})
	if !found {
		p.views = slices.Insert(p.views, at, placement.Upstream{})
	}
	p.views[at] = placement.Upstream{Announcement: a}
	p.schedule()
}

func (p *planned) freed(*engine) {}

func (p *planned) ended(m int) {
	if len(p.world.queues[m])+p.world.running[m] == 0 {
		p.schedule()
	}
}

func (p *planned) wantsAdapter(*replica, string) { p.schedule() }

func (p *planned) charged(r *replica) bool {
	g, found := p.ledger.Find(r.grant)
	return found && g.Upstream == r.engine.id && g.Incarnation == r.engine.incarnation
}

// schedule plans soon.
func (p *planned) schedule() {
	if p.scheduled {
		return
	}
	p.scheduled = true
	p.world.clock.after(planDelay, func() {
		p.scheduled = false
		p.plan()
	})
}

func (p *planned) plan() {
	if p.paused {
		return
	}
	now := p.world.clock.now
	p.world.metrics.Rounds++
	plan := p.planner.Plan(now, placement.Snapshot{
		Leadership: placement.Leadership{
			Lease: true, Since: p.since, LongestLease: longestLease, OrderDeadline: orderDeadline,
		},
		Contracts: p.scenario.Contracts, Revision: 1,
		Upstreams: p.views, Ledger: &p.ledger, Pending: p.pending, Demand: p.demand(),
	})
	p.plannedAt = now
	p.forecasts = plan.Forecasts
	// The order of the forecasts is the same in every round.
	for i := range plan.Forecasts {
		if p.ordered {
			break
		}
		p.position[p.index[plan.Forecasts[i].Key]] = i
	}
	p.ordered = true
	p.commit(plan.Changes)
	for _, o := range plan.Orders {
		p.world.clock.after(orderDelay, func() { p.deliver(o) })
	}
	p.version++
	version := p.version
	p.world.clock.at(plan.Next, func() {
		if version == p.version {
			p.plan()
		}
	})
}

// demand gathers one row a model, or two if adapters are waited for.
func (p *planned) demand() []placement.Demand {
	var rows []placement.Demand
	for m := range p.scenario.Models {
		queue := p.world.queues[m]
		if len(queue) == 0 && p.world.running[m] == 0 && p.arrived[m] == 0 {
			continue
		}
		key := p.scenario.Models[m].Key
		rows = append(rows, placement.Demand{Key: key, Running: p.world.running[m], Arrivals: p.arrived[m]})
		p.arrived[m] = 0
		for _, q := range queue {
			if q.outcome != open || q.Node == p.world.cut {
				continue
			}
			rows = append(rows, placement.Demand{
				Key: key, Adapter: q.Adapter, Waiting: 1, Remaining: q.deadline - p.world.clock.now,
			})
		}
	}
	return rows
}

// commit applies changes after the delay of the replicated log.
func (p *planned) commit(changes []placement.Change) {
	if len(changes) == 0 {
		return
	}
	p.pending = append(p.pending, changes...)
	epoch := p.epoch
	p.world.clock.after(commitDelay, func() {
		if epoch != p.epoch {
			return
		}
		for _, c := range changes {
			p.apply(c)
		}
		p.pending = p.pending[len(changes):]
		p.plan()
	})
}

func (p *planned) apply(c placement.Change) {
	limits := placement.Limits{}
	if c.Kind == placement.Add {
		m := p.index[c.Grant.Key]
		limits.Model = p.scenario.Models[m].Replicas
		limits.Customer = p.scenario.Contracts[p.world.customer(m)].Capacity.Replicas
	}
	if _, err := p.ledger.Apply(c, limits); err != nil {
		p.world.metrics.RefusedChanges++
	}
}

// deliver hands an order to its engine, which refuses old incarnations and,
// where it checks them, old fencing numbers.
func (p *planned) deliver(o placement.Order) {
	for _, e := range p.world.engines {
		if e.id != o.Upstream || e.down || e.incarnation != o.Incarnation {
			continue
		}
		if p.world.options.CheckFencing && o.Fence < e.fence {
			return
		}
		e.fence = max(e.fence, o.Fence)
		p.perform(e, o)
	}
}

func (p *planned) perform(e *engine, o placement.Order) {
	switch o.Kind {
	case placement.LoadModel:
		e.load(o.Grant, p.index[o.Key], -1)
	case placement.UnloadModel:
		e.unload(o.Grant)
	case placement.LoadAdapter:
		r := e.find(o.Grant)
		if r != nil && r.state == directory.Ready {
			p.world.loadAdapter(r, o.Adapter)
		}
	}
}

// changeLeader replaces the planner after a pause, as a new leader does. The
// ledger survives; proposals in progress and soft state are lost.
func (p *planned) changeLeader(pause time.Duration) {
	p.paused = true
	p.epoch++
	p.pending = nil
	p.world.clock.after(pause, func() {
		p.paused = false
		p.since = p.world.clock.now
		p.planner = placement.NewPlanner(p.config())
		p.plan()
	})
}
