package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/routes"
)

// Limits holds the planner's limits and time constants.
type Limits struct {
	// MaxStoreLoads limits the parallel loads from the weight store of a service. Fewer
	// run where they slow each other down.
	MaxStoreLoads int
	// MaxAdapterLoads limits the parallel adapter loads over all engines.
	MaxAdapterLoads int
	// CloseGrace is the time between telling nodes to send no more calls for a model
	// and its unload. It covers the delay of that message.
	CloseGrace time.Duration
	// MinResidency is how long an engine serves a model at least before it may be
	// evicted, so that the calls that waited for it can start.
	MinResidency time.Duration
	// Horizon is the time over which expected calls count when a model is loaded or
	// evicted. CopyHorizon applies to the first copy of a model, which stays on a
	// disk.
	Horizon, CopyHorizon time.Duration
	// OverdueAfter is how long an order may exceed its expected time before the
	// engine is asked for a report.
	OverdueAfter time.Duration
	// MinReportInterval is the least time between two report requests to an engine.
	// Reports lag by some hundred milliseconds.
	MinReportInterval time.Duration
	// CallTime is the assumed duration of a call.
	CallTime time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxStoreLoads:     4,
		MaxAdapterLoads:   24,
		CloseGrace:        25 * time.Millisecond,
		MinResidency:      700 * time.Millisecond,
		Horizon:           3 * time.Second,
		CopyHorizon:       15 * time.Second,
		OverdueAfter:      1500 * time.Millisecond,
		MinReportInterval: 500 * time.Millisecond,
		CallTime:          2 * time.Second,
	}
}

// Planner decides what the engines of all services hold, and tracks what is known of
// them.
type Planner struct {
	limits   Limits
	services map[string]*service
	engines  map[string]*engine
	// byID holds the engines sorted by ID.
	byID     []*engine
	demand   demandState
	running  runningCalls
	slowdown slowdownModel
	// forecasts caches recent forecasts.
	forecasts map[modelKey]forecast
	// stores holds the weight stores by service name.
	stores map[string]*store
	// placement counts the engines that held each model before traffic.
	placement map[modelKey]int
	// changed holds the IDs of the upstreams whose View may have changed.
	changed map[string]bool
	// adaptersDue holds the engines at which an adapter becomes usable, with the time of
	// the first one.
	adaptersDue map[*engine]time.Duration
}

// engine is the state of one engine.
type engine struct {
	desc fleet.Upstream
	// service is nil if the configuration in force has no such service.
	service *service
	// tiers is where the engine has a copy of a model: in memory or on disk.
	tiers map[string]Tier
	// ordersKnown reports whether acceptedOrders is known.
	ordersKnown bool
	// acceptedOrders is the number of orders that the engine has accepted; countedAt is when the latest one was counted.
	acceptedOrders uint64
	countedAt      time.Duration
	// reportedOrders is the number of accepted orders by the latest report.
	reportedOrders uint64
	// reportPending reports whether a report was requested and not yet received.
	// lastReport is when the latest request was sent or answered.
	reportPending bool
	lastReport    time.Duration
	// needsReport reports whether the engine must report its state before its next
	// order.
	needsReport bool
	// pending is the order that has no answer yet.
	pending *Order
	// active is the model order that the engine is carrying out.
	active *activeOrder
	// job is the load that the engine is to carry out next, or is carrying out.
	job  *job
	held holdings
	// adapterLastUsed is when each MODEL/ADAPTER was last reported to run.
	adapterLastUsed map[string]time.Duration
	// doubted is set while entry nodes cannot reach the engine.
	doubted bool
	// rate is the expected calls per second at this engine.
	rate    float64
	running *callCounts
	// closingSince is since when a model or MODEL/ADAPTER gets no new calls.
	closingSince map[string]time.Duration
	// adapterRetryAt is the time before which the engine gets no adapter order.
	adapterRetryAt time.Duration
}

// activeOrder is a model order that the engine has accepted and not yet completed.
type activeOrder struct {
	order Order
	// due is when the order should be done.
	due time.Duration
	// storeLoad is nil unless the order is a load from the weight store.
	storeLoad *storeLoad
}

// job is a load with the unloads that make room for it.
type job struct {
	model string
	tier  Tier
	evict []string
}

// New returns a planner without services, engines or demand.
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
		placement: map[modelKey]int{},
		changed:   map[string]bool{},

		adaptersDue: map[*engine]time.Duration{},
	}
}

// SetServices replaces the services with those of the configuration in force.
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

// SetUpstream takes an upstream's announcement. A new incarnation must report its
// state before its first order.
func (p *Planner) SetUpstream(u fleet.Upstream, now time.Duration) {
	e := p.engines[u.ID]
	known := e != nil && e.desc.Born == u.Born
	if !known {
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
	if !known {
		p.notePlacement(e)
	}
	e.held.applyAnnouncement(u.Residents, now)
	p.completeIfDone(e, now)
	p.changed[u.ID] = true
}

// insert adds an engine, or replaces the earlier one with the same ID.
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

// position returns the index in byID at which an engine is or belongs.
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

// setCopies updates tiers with the copies that an upstream announces.
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

// spec returns the engine's configuration. The engine must have a service.
func (e *engine) spec() *routes.Engine { return e.service.spec }

// completeIfDone ends the active order once the engine serves the model that it was
// to load, or no longer serves the one that it was to unload.
func (p *Planner) completeIfDone(e *engine, now time.Duration) {
	active := e.active
	if active == nil || active.order.Load != e.held.serves(active.order.Model) {
		return
	}
	e.active = nil
	if active.storeLoad != nil {
		p.store(e.desc.Service).limiter.loadFinished(active.storeLoad, now)
	}
	e.orderDone(active.order, now)
}

// orderDone records that a model order was carried out.
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

// View returns what the nodes that send calls should know of an upstream: the models
// that it serves, and the models and adapters that get no new calls. ok is false for
// an unknown upstream.
func (p *Planner) View(id string, now time.Duration) (residents []fleet.Resident, closing []string, ok bool) {
	e := p.engines[id]
	if e == nil {
		return nil, nil, false
	}
	residents = e.held.residents(e.desc.Residents, now)
	return residents, slices.Sorted(maps.Keys(e.closingSince)), true
}

// Changed returns the IDs of the upstreams whose View may have changed since the last
// call.
func (p *Planner) Changed() []string {
	ids := slices.Sorted(maps.Keys(p.changed))
	clear(p.changed)
	return ids
}

// Plan returns the messages to send now, at most one per engine. An engine with an
// unanswered order or report request gets none.
func (p *Planner) Plan(now time.Duration) []Step {
	p.expireReports(now)
	p.doubtUnreachable(now)
	p.noteUsableAdapters(now)
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

// round holds what one round of planning computes once.
type round struct {
	now    time.Duration
	queues map[modelKey]*queue
	// adapterServers holds the engines that serve a model for whose adapters calls
	// wait.
	adapterServers map[modelKey][]*engine
	// adapterLoads is the number of adapter loads in progress at all engines.
	adapterLoads int
}

// nextStep returns the next message for one engine, if there is one.
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

// nextJobStep returns the next order of a job: its unloads, then its load.
func (p *Planner) nextJobStep(e *engine, now time.Duration) (Step, bool) {
	j := e.job
	if len(j.evict) > 0 {
		victim := j.evict[0]
		if now-e.closingSince[victim] < p.limits.CloseGrace {
			return Step{}, false
		}
		return e.orderStep(Order{Model: victim}), true
	}
	if !e.fits(j.model) {
		e.abandonJob()
		return Step{}, false
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

// orderStep returns the step that sends an order, which becomes the pending one.
func (e *engine) orderStep(o Order) Step {
	o.Accepted = e.acceptedOrders
	e.pending = &o
	return Step{Upstream: e.desc, Order: &o}
}
