package policybench

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/placement"
)

const (
	// commitDelay is the time from the proposal of a change until it is applied;
	// orderDelay that from sending an order until its engine receives it.
	commitDelay = 5 * time.Millisecond
	orderDelay  = 2 * time.Millisecond
	// planDelay is the time during which inputs for one planning round are collected.
	planDelay = 2 * time.Millisecond
	// longestLease and orderDeadline are the values that the control nodes use.
	longestLease  = 2 * time.Second
	orderDeadline = time.Second
	// meanServiceTime is the request duration that admission assumes.
	meanServiceTime = 2500 * time.Millisecond
	// adaptersInFlight is the platform's limit of concurrent adapter loads.
	adaptersInFlight = 30
)

// plannerPolicy is the policy under test: it runs the planner of package placement,
// commits its changes to a ledger, delivers its orders and admits requests by its
// forecasts.
type plannerPolicy struct {
	world   *world
	planner *placement.Planner
	ledger  placement.Ledger
	// pendingChanges are the proposed changes that are not applied yet.
	pendingChanges []placement.Change
	// leaderSince is when the current leader took over. No planning happens while paused.
	leaderSince time.Duration
	paused      bool
	// upstreams holds the last report of each engine, ordered by engine ID.
	upstreams []placement.Upstream
	scenario  *Scenario

	// arrivals counts the requests by model since the last planning round.
	arrivals []int
	// forecasts are those of the last planning round, at plannedAt; nil before the first.
	forecasts []placement.Forecast
	// modelByKey maps a key to the index of its model, and forecastIndex the index of a
	// model to that of its forecast, once forecastsIndexed is set.
	modelByKey       map[placement.Key]int
	forecastIndex    []int
	forecastsIndexed bool
	plannedAt        time.Duration
	// planScheduled is set while a planning round is scheduled after planDelay.
	planScheduled bool
	// planNumber counts planning rounds. A newer round invalidates the wake-up of an
	// older one.
	planNumber uint64
	// leaderEpoch counts leader changes. Changes proposed in an earlier epoch are lost.
	leaderEpoch uint64
}

// newPlannerPolicy returns the policy of package placement for a simulation.
func newPlannerPolicy(w *world) *plannerPolicy {
	p := &plannerPolicy{world: w, scenario: w.scenario, modelByKey: make(map[placement.Key]int)}
	p.planner = placement.NewPlanner(p.config())
	p.arrivals = make([]int, len(w.scenario.Models))
	p.forecastIndex = make([]int, len(w.scenario.Models))
	for i := range w.scenario.Models {
		p.modelByKey[w.scenario.Models[i].Key] = i
	}
	return p
}

func (p *plannerPolicy) config() placement.Config {
	return placement.Config{Store: p.scenario.Store, AdaptersInFlight: adaptersInFlight}
}

func (p *plannerPolicy) requestArrived(q *request) {
	p.arrivals[q.Model]++
	if !p.canMeetDeadline(q) {
		p.world.refuse(q)
		return
	}
	p.world.accept(q)
	if q.outcome == pending {
		p.schedule()
	}
}

// canMeetDeadline estimates the wait of a new request from the forecast and the queue, as
// admission does, and reports whether it is within the contract's wait.
func (p *plannerPolicy) canMeetDeadline(q *request) bool {
	spec := &p.scenario.Models[q.Model]
	queue := len(p.world.queues[q.Model])
	if queue >= maxQueue {
		return false
	}
	wait := time.Duration(0)
	if p.forecasts != nil {
		forecast := &p.forecasts[p.forecastIndex[q.Model]]
		wait = forecast.ReadyIn
		if forecast.Readiness == placement.Loading {
			wait -= p.world.clock.now - p.plannedAt
		}
	}
	// Each full set of slots ahead in the queue delays the request by one service time.
	replicas := max(len(p.world.replicas[q.Model]), 1)
	fullRounds := queue / (spec.Slots * replicas)
	wait += time.Duration(fullRounds) * meanServiceTime
	return wait <= spec.Wait
}

func (p *plannerPolicy) engineReported(e *engine) {
	a := e.announcement()
	position, found := slices.BinarySearchFunc(p.upstreams, e.id, func(u placement.Upstream, id string) int {
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
		p.upstreams = slices.Insert(p.upstreams, position, placement.Upstream{})
	}
	p.upstreams[position] = placement.Upstream{Announcement: a}
	p.schedule()
}

func (p *plannerPolicy) memoryFreed(*engine) {}

func (p *plannerPolicy) requestEnded(m int) {
	if len(p.world.queues[m])+p.world.runningRequests[m] == 0 {
		p.schedule()
	}
}

func (p *plannerPolicy) adapterMissing(*replica, string) { p.schedule() }

func (p *plannerPolicy) hasGrant(r *replica) bool {
	g, found := p.ledger.Find(r.grant)
	return found && g.Upstream == r.engine.id && g.Incarnation == r.engine.incarnation
}

// schedule starts a planning round after planDelay unless one is scheduled.
func (p *plannerPolicy) schedule() {
	if p.planScheduled {
		return
	}
	p.planScheduled = true
	p.world.clock.after(planDelay, func() {
		p.planScheduled = false
		p.plan()
	})
}

// plan runs one planning round, commits its changes, sends its orders and schedules the
// next round.
func (p *plannerPolicy) plan() {
	if p.paused {
		return
	}
	now := p.world.clock.now
	p.world.metrics.PlanningRounds++
	plan := p.planner.Plan(now, placement.Snapshot{
		Leadership: placement.Leadership{
			Lease: true, Since: p.leaderSince, LongestLease: longestLease, OrderDeadline: orderDeadline,
		},
		Contracts: p.scenario.Contracts, Revision: 1,
		Upstreams: p.upstreams, Ledger: &p.ledger, Pending: p.pendingChanges, Demand: p.demand(),
	})
	p.plannedAt = now
	p.forecasts = plan.Forecasts
	// The planner returns the forecasts in the same order in every round.
	for i := range plan.Forecasts {
		if p.forecastsIndexed {
			break
		}
		p.forecastIndex[p.modelByKey[plan.Forecasts[i].Key]] = i
	}
	p.forecastsIndexed = true
	p.commit(plan.Changes)
	for _, o := range plan.Orders {
		p.world.clock.after(orderDelay, func() { p.deliver(o) })
	}
	p.planNumber++
	planNumber := p.planNumber
	p.world.clock.at(plan.Next, func() {
		if planNumber == p.planNumber {
			p.plan()
		}
	})
}

// demand returns the demand since the last round: for each active model a row with its
// running requests and arrivals, and a row for each waiting request of a node that is not
// disconnected. It resets the arrivals.
func (p *plannerPolicy) demand() []placement.Demand {
	var rows []placement.Demand
	for m := range p.scenario.Models {
		queue := p.world.queues[m]
		if len(queue) == 0 && p.world.runningRequests[m] == 0 && p.arrivals[m] == 0 {
			continue
		}
		key := p.scenario.Models[m].Key
		rows = append(rows, placement.Demand{Key: key, Running: p.world.runningRequests[m], Arrivals: p.arrivals[m]})
		p.arrivals[m] = 0
		for _, q := range queue {
			if q.outcome != pending || q.Node == p.world.cutOffNode {
				continue
			}
			rows = append(rows, placement.Demand{
				Key: key, Adapter: q.Adapter, Waiting: 1, Remaining: q.deadline - p.world.clock.now,
			})
		}
	}
	return rows
}

// commit proposes changes and applies them after commitDelay, unless the leader changes
// meanwhile.
func (p *plannerPolicy) commit(changes []placement.Change) {
	if len(changes) == 0 {
		return
	}
	p.pendingChanges = append(p.pendingChanges, changes...)
	epoch := p.leaderEpoch
	p.world.clock.after(commitDelay, func() {
		if epoch != p.leaderEpoch {
			return
		}
		for _, c := range changes {
			p.apply(c)
		}
		p.pendingChanges = p.pendingChanges[len(changes):]
		p.plan()
	})
}

// apply applies a change to the ledger within the limits of the contract.
func (p *plannerPolicy) apply(c placement.Change) {
	limits := placement.Limits{}
	if c.Kind == placement.Add {
		m := p.modelByKey[c.Grant.Key]
		limits.Model = p.scenario.Models[m].Replicas
		limits.Customer = p.scenario.Contracts[p.world.customerIndex(m)].Capacity.Replicas
	}
	if _, err := p.ledger.Apply(c, limits); err != nil {
		p.world.metrics.RefusedChanges++
	}
}

// deliver passes an order to its engine. The engine ignores orders for another
// incarnation and, if it checks them, orders with an old fencing number.
func (p *plannerPolicy) deliver(o placement.Order) {
	for _, e := range p.world.engines {
		if e.id != o.Upstream || e.down || e.incarnation != o.Incarnation {
			continue
		}
		if p.world.options.CheckFencing && o.Fence < e.highestFence {
			return
		}
		e.highestFence = max(e.highestFence, o.Fence)
		p.execute(e, o)
	}
}

// execute performs an order on an engine.
func (p *plannerPolicy) execute(e *engine, o placement.Order) {
	switch o.Kind {
	case placement.LoadModel:
		e.load(o.Grant, p.modelByKey[o.Key], -1)
	case placement.UnloadModel:
		e.unload(o.Grant)
	case placement.LoadAdapter:
		r := e.findReplica(o.Grant)
		if r != nil && r.state == directory.Ready {
			p.world.loadAdapter(r, o.Adapter)
		}
	}
}

// changeLeader replaces the planner by a new one after a pause, as an election does. The
// ledger and the reports are kept; changes in flight and the planner's own state are
// lost.
func (p *plannerPolicy) changeLeader(pause time.Duration) {
	p.paused = true
	p.leaderEpoch++
	p.pendingChanges = nil
	p.world.clock.after(pause, func() {
		p.paused = false
		p.leaderSince = p.world.clock.now
		p.planner = placement.NewPlanner(p.config())
		p.plan()
	})
}
