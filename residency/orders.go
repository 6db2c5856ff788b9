package residency

import (
	"strings"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// Order loads or unloads a model or an adapter at an engine. The engine carries it
// out only if it has accepted exactly Accepted orders before.
type Order struct {
	// Load is true for a load and false for an unload.
	Load bool
	// Model names the model. Adapter names the adapter; it is empty for a model
	// order.
	Model, Adapter string
	// Accepted is the number of orders that the engine has accepted before this one.
	Accepted uint64
}

// Step is one message to send to an engine: an order or a request for a report.
type Step struct {
	Upstream fleet.Upstream
	// Order is nil if the step requests a report.
	Order *Order
	// Report is true if the step requests a report.
	Report bool
}

// Answer is an engine's answer to an order.
type Answer uint8

// Answers to an order.
const (
	// Accepted means that the order is being carried out.
	Accepted Answer = iota + 1
	// AlreadyDone means that the engine is already in the state that the order asks for.
	AlreadyDone
	// Refused means that the order was not carried out, because the engine is
	// carrying out another one or has accepted a different number of orders.
	Refused
	// Fenced means that the engine has had orders from a later holder of the right to
	// send them.
	Fenced
	// OtherUpstream means that the address now belongs to another upstream.
	OtherUpstream
	// Impossible means that the engine cannot carry out such an order.
	Impossible
	// Unanswered means that no answer came. The order may still be carried out,
	// possibly later.
	Unanswered
)

var answerNames = [...]string{
	"unknown", "accepted", "held already", "refused", "fenced", "another upstream", "impossible", "unanswered",
}

// String returns the name of the answer for logs and metrics.
func (a Answer) String() string {
	if int(a) >= len(answerNames) {
		a = 0
	}
	return answerNames[a]
}

// Report is an engine's answer to a request for its state.
type Report struct {
	// Accepted is the number of orders that the engine has accepted since it started.
	Accepted uint64
	// Busy reports whether the engine is carrying out an order.
	Busy      bool
	Residents []fleet.Resident
	// LoadingAdapters holds the adapters that are being loaded, as MODEL/ADAPTER.
	LoadingAdapters []string
}

// Answered takes the answer to the order last sent to an upstream. It is ignored if
// the upstream has restarted since: born identifies the incarnation.
func (p *Planner) Answered(id string, born int64, a Answer, now time.Duration) {
	e := p.engines[id]
	if e == nil || e.desc.Born != born || e.pending == nil {
		return
	}
	o := *e.pending
	e.pending = nil
	p.changed[id] = true
	if o.Adapter != "" {
		p.handleAdapterAnswer(e, o, a, now)
		return
	}
	switch a {
	case Accepted:
		e.countOrder(now)
		e.active = p.startOrder(e, o, now)
		if o.Load {
			e.held.addModel(o.Model)
		}
		p.completeIfDone(e, now)
	case AlreadyDone:
		e.orderDone(o, now)
		e.needsReport = true
	case Refused, Unanswered, Fenced, OtherUpstream, Impossible:
		// The engine's state is unknown until it reports. Give up the job so that
		// other engines may take it.
		e.abandonJob()
		e.needsReport = true
	}
}

// maxReportLag is longer than a report can lag behind the engine. If one that was requested later counts fewer orders
// than the planner, and so did the one before it, the answer to an order was not the engine's, or not to that order.
const maxReportLag = 2 * time.Second

// countOrder records that the engine has accepted another order.
func (e *engine) countOrder(now time.Duration) {
	e.acceptedOrders++
	e.countedAt = now
}

// startOrder returns the active order for an order that an engine has accepted, with
// the time at which it should be done.
func (p *Planner) startOrder(e *engine, o Order, now time.Duration) *activeOrder {
	active := &activeOrder{order: o, due: now + p.limits.CallTime}
	if !o.Load || e.service == nil {
		return active
	}
	m := e.service.model(o.Model)
	if m == nil {
		return active
	}
	duration, tier := loadTime(m, e.tier(o.Model)), e.tier(o.Model)
	if tier == Store {
		limiter := &p.store(e.desc.Service).limiter
		active.storeLoad = limiter.loadStarted(duration, now)
		duration = limiter.expectedDuration(duration, limiter.running)
	}
	active.due = now + duration
	return active
}

// extendDeadline moves the due time of an order that the engine reports as still in
// progress. It also updates the store limiter if the order is a load from the weight
// store.
func (p *Planner) extendDeadline(e *engine, now time.Duration) {
	active := e.active
	active.due = max(now, active.due)
	if active.storeLoad != nil {
		limiter := &p.store(e.desc.Service).limiter
		limiter.checkLate(active.storeLoad, now)
		active.due = max(now, active.storeLoad.began+limiter.expectedDuration(active.storeLoad.usual, limiter.running))
	}
}

// abandonJob gives up the engine's job. The models that it was to evict take calls
// again.
func (e *engine) abandonJob() {
	e.job = nil
	clear(e.closingSince)
}

// Reported takes an engine's report; nil means that none came. It is ignored if the
// upstream has restarted since: born identifies the incarnation. It returns true if the
// report shows that the engine has accepted fewer orders than its answers said.
func (p *Planner) Reported(id string, born int64, r *Report, now time.Duration) (miscounted bool) {
	e := p.engines[id]
	if e == nil || e.desc.Born != born || !e.reportPending {
		return false
	}
	e.reportPending = false
	requested := e.lastReport
	e.lastReport = now
	if r == nil {
		return false
	}
	p.changed[id] = true
	repeated := r.Accepted == e.reportedOrders
	e.reportedOrders = r.Accepted
	miscounted = r.Accepted < e.acceptedOrders
	if miscounted && (requested-e.countedAt <= maxReportLag || !repeated) {
		// The report is older than the latest order, or a late copy of an earlier one.
		return false
	}
	e.acceptedOrders, e.ordersKnown = r.Accepted, true
	if r.Busy {
		if e.active == nil {
			// An order of another holder, or one whose answer was lost, is in
			// progress.
			return miscounted
		}
		p.extendDeadline(e, now)
		e.needsReport = false
		return miscounted
	}
	e.desc.Residents = r.Residents
	e.held.applyReport(r, now)
	p.completeIfDone(e, now)
	e.needsReport = false
	if e.active != nil {
		// The order has ended without its expected result.
		e.active = nil
		e.abandonJob()
	}
	return miscounted
}

// Tier is where an engine gets a model's weights from.
type Tier uint8

// Tiers, nearest first.
const (
	// Memory is the engine's host memory.
	Memory Tier = iota + 1
	// Disk is the engine's disk.
	Disk
	// Store is the weight store.
	Store
)

// tier returns the nearest tier from which the engine can load a model.
func (e *engine) tier(model string) Tier {
	if t, ok := e.tiers[model]; ok {
		return t
	}
	return Store
}

// splitAdapterName splits MODEL/ADAPTER.
func splitAdapterName(name string) (model, adapter string, ok bool) { return strings.Cut(name, "/") }
