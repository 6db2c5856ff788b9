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
	// MinResidency is how long a loaded model stays at least, so that the calls that
	// waited for it can start.
	MinResidency time.Duration
	// Horizon is the time over which expected calls count for what an engine holds;
	// CopyHorizon that for a first copy of a model, which stays on a disk.
	Horizon, CopyHorizon time.Duration
	// OverdueAfter is how long beyond its expected time an order may take before the
	// engine is asked.
	OverdueAfter time.Duration
	// MinReportInterval is the least time between two questions to an engine, whose
	// answers lag by some hundred milliseconds.
	MinReportInterval time.Duration
	// CallTime is how long a call takes, for estimates.
	CallTime time.Duration
}

// DefaultLimits returns the limits of the deployments at hand.
func DefaultLimits() Limits {
	return Limits{
		StoreWidth:        4,
		AdapterWidth:      24,
		CloseGrace:        25 * time.Millisecond,
		MinResidency:      700 * time.Millisecond,
		Horizon:           3 * time.Second,
		CopyHorizon:       15 * time.Second,
		OverdueAfter:      1500 * time.Millisecond,
		MinReportInterval: 500 * time.Millisecond,
		CallTime:          2 * time.Second,
	}
}

// Planner holds what is known of the engines of all services.
type Planner struct {
	limits   Limits
	services map[string]*service
	engines  map[string]*engine
	// byID is the nodes by id.
	byID     []*engine
	demand   demandState
	running  runningCalls
	slowdown slowdownModel
	// forecasts are those of the last moments.
	forecasts map[modelKey]forecast
	// stores are the weight stores of the services.
	stores  map[string]*store
	changed map[string]bool
}

// engine is one engine.
type engine struct {
	desc fleet.Upstream
	// service is nil where the configuration in force has no such service.
	service *service
	// tiers is where the copies are that the engine has at hand.
	tiers map[string]Tier
	// ordersKnown says that orders is known.
	ordersKnown bool
	// acceptedOrders is how many acceptedOrders the engine has accepted.
	acceptedOrders uint64
	// reportPending says that a report was asked for, asked when the latest one was.
	reportPending bool
	lastReport    time.Duration
	// needsReport says that the engine must be asked before its next order.
	needsReport bool
	// pending is the order that has no answer yet.
	pending *Order
	// active is the order that the engine carries out.
	active *activeOrder
	job    *job
	held   holdings
	// adapterLastUsed is when each adapter last ran.
	adapterLastUsed map[string]time.Duration
	// rate is the calls a second that are expected here.
	rate    float64
	running *callCounts
	// closingSince is since when a model gets no new calls.
	closingSince map[string]time.Duration
	// adapterRetryAt is until when no adapter is ordered.
	adapterRetryAt time.Duration
}

// activeOrder is a model order that was accepted.
type activeOrder struct {
	order Order
	due   time.Duration
	// storeLoad is nil unless the order is a load from the weight store.
	storeLoad *storeLoad
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
		engines:   map[string]*engine{},
		demand:    newDemandState(),
		running:   newRunningCalls(),
		forecasts: map[modelKey]forecast{},
		slowdown:  newSlowdownModel(),
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
	for _, e := range p.engines {
		e.service = p.services[e.desc.Service]
	}
	clear(p.forecasts)
}

// SetUpstream takes what an upstream says of itself.
func (p *Planner) SetUpstream(u fleet.Upstream, now time.Duration) {
	e := p.engines[u.ID]
	if e == nil || e.desc.Born != u.Born {
		e = &engine{
			needsReport:     true,
			held:            newHoldings(),
			adapterLastUsed: map[string]time.Duration{},
			running:         p.running.forEngine(u.ID),
			closingSince:    map[string]time.Duration{},
		}
		p.insert(u.ID, e)
	}
	e.setCopies(&u)
	e.desc = u
	e.desc.Closing = nil
	e.service = p.services[u.Service]
	e.held.applyAnnouncement(u.Residents, now)
	p.completeIfDone(e, now)
	p.changed[u.ID] = true
}

// insert adds a node, in place of an earlier one of that name.
func (p *Planner) insert(id string, e *engine) {
	at, known := p.position(id)
	if known {
		p.byID[at] = e
	} else {
		p.byID = slices.Insert(p.byID, at, e)
	}
	p.engines[id] = e
	e.desc.ID = id
}

// position is where a node is in the order, or belongs.
func (p *Planner) position(id string) (at int, known bool) {
	return slices.BinarySearchFunc(p.byID, id, func(e *engine, id string) int { return cmp.Compare(e.desc.ID, id) })
}

// Remove forgets an upstream that has ended.
func (p *Planner) Remove(id string) {
	if at, known := p.position(id); known {
		p.byID = slices.Delete(p.byID, at, at+1)
	}
	delete(p.engines, id)
	p.running.forget(id)
}

// setCopies notes which copies of weights an upstream has at hand.
func (e *engine) setCopies(u *fleet.Upstream) {
	if e.tiers != nil && slices.Equal(e.desc.InMemory, u.InMemory) && slices.Equal(e.desc.OnDisk, u.OnDisk) {
		return
	}
	e.tiers = make(map[string]Tier, len(u.OnDisk)+len(u.InMemory))
	for _, model := range u.OnDisk {
		e.tiers[model] = Disk
	}
	for _, model := range u.InMemory {
		e.tiers[model] = Memory
	}
}

// spec is what the configuration says of the engine.
func (e *engine) spec() *routes.Engine { return e.service.spec }

// completeIfDone compares what the engine says that it serves with what was ordered.
func (p *Planner) completeIfDone(e *engine, now time.Duration) {
	w := e.active
	if w == nil || w.order.Load != e.held.serves(w.order.Model) {
		return
	}
	e.active = nil
	if w.storeLoad != nil {
		p.store(e.desc.Service).limiter.loadFinished(w.storeLoad, now)
	}
	e.orderDone(w.order, now)
}

// orderDone takes note that an order was carried out.
func (e *engine) orderDone(o Order, now time.Duration) {
	if o.Load {
		if e.job != nil && e.job.model == o.Model {
			e.job = nil
		}
		return
	}
	e.held.removeModel(o.Model, now)
	delete(e.closingSince, o.Model)
	if e.job != nil {
		e.job.evict = slices.DeleteFunc(e.job.evict, func(m string) bool { return m == o.Model })
	}
}

// View is what nodes that send calls should know of an upstream's models.
func (p *Planner) View(id string, now time.Duration) (residents []fleet.Resident, closing []string, ok bool) {
	e := p.engines[id]
	if e == nil {
		return nil, nil, false
	}
	residents = e.held.residents(e.desc.Residents, now)
	return residents, slices.Sorted(maps.Keys(e.closingSince)), true
}

// Changed returns the upstreams whose View may have changed since the last call.
func (p *Planner) Changed() []string {
	ids := slices.Sorted(maps.Keys(p.changed))
	clear(p.changed)
	return ids
}

// Plan returns what is to be sent now.
func (p *Planner) Plan(now time.Duration) []Step {
	p.expireReports(now)
	p.countStoreLoads(now)
	r := &round{now: now, queues: p.queues(now)}
	if slices.ContainsFunc(p.byID, (*engine).canTakeJob) {
		p.survey(r)
		p.assignJobs(r)
	}
	p.findAdapterServers(r)
	var steps []Step
	for _, e := range p.byID {
		if e.service == nil || e.pending != nil || e.reportPending {
			continue
		}
		if step, ok := p.nextStep(e, r); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// round is what one round of planning looks up once.
type round struct {
	now    time.Duration
	queues map[modelKey]*queue
	// adapterServers are the engines that serve a model for whose adapters calls wait.
	adapterServers map[modelKey][]*engine
	// adapterLoads counts the adapters on their way to all engines.
	adapterLoads int
}

// nextStep returns the nextStep step at one engine.
func (p *Planner) nextStep(e *engine, r *round) (Step, bool) {
	now := r.now
	if e.active != nil && now > e.active.due+p.limits.OverdueAfter {
		e.needsReport = true
	}
	if e.needsReport {
		if e.lastReport != 0 && now-e.lastReport < p.limits.MinReportInterval {
			return Step{}, false
		}
		e.reportPending, e.lastReport = true, now
		return Step{Upstream: e.desc, Report: true}, true
	}
	if step, ok := p.nextAdapterStep(e, r); ok {
		return step, true
	}
	if e.active != nil || e.job == nil {
		return Step{}, false
	}
	return p.nextJobStep(e, now)
}

// nextJobStep returns the next order of a job: unloads, then the load.
func (p *Planner) nextJobStep(e *engine, now time.Duration) (Step, bool) {
	j := e.job
	if len(j.evict) > 0 {
		victim := j.evict[0]
		if now-e.closingSince[victim] < p.limits.CloseGrace {
			return Step{}, false
		}
		return e.orderStep(Order{Model: victim}), true
	}
	if j.tier == Store {
		if !p.storeHasCapacity(e.desc.Service, e.service, e, now) {
			return Step{}, false
		}
		s := p.store(e.desc.Service)
		s.loadStarts = append(s.loadStarts, now)
	}
	return e.orderStep(Order{Load: true, Model: j.model}), true
}

// orderStep makes the step that sends an orderStep.
func (e *engine) orderStep(o Order) Step {
	o.Accepted = e.acceptedOrders
	e.pending = &o
	return Step{Upstream: e.desc, Order: &o}
}
