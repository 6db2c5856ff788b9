package residency

import (
	"strings"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// Order changes what an engine holds. The engine carries it out only if it has
// accepted exactly Accepted orders before.
type Order struct {
	// Load is true for a load and false for an unload.
	Load bool
	// Model is the model; Adapter is empty unless the order concerns one.
	Model, Adapter string
	// Accepted is how many orders the engine has accepted before this one.
	Accepted uint64
}

// Step is one message to an engine: an order or a question.
type Step struct {
	Upstream fleet.Upstream
	// Order is nil for a question.
	Order  *Order
	Report bool
}

// Answer is an engine's answer to an order.
type Answer uint8

// Answers to an order.
const (
	// Accepted means that the order is being carried out.
	Accepted Answer = iota + 1
	// Held means that what it asks for is so already.
	Held
	// Refused means that the order was not carried out: another one is, or the
	// number of accepted orders differs.
	Refused
	// Fenced means that a later holder has sent orders.
	Fenced
	// Elsewhere means that another upstream has this address now.
	Elsewhere
	// Impossible means that the engine cannot carry out such an order.
	Impossible
	// Unanswered means that the order may be carried out, also later.
	Unanswered
)

var answerNames = [...]string{
	"unknown", "accepted", "held already", "refused", "fenced", "another upstream", "impossible", "unanswered",
}

// String names the answer for logs and metrics.
func (a Answer) String() string {
	if int(a) >= len(answerNames) {
		a = 0
	}
	return answerNames[a]
}

// Report is an engine's answer to a question.
type Report struct {
	// Accepted is how many orders it has accepted since it started.
	Accepted uint64
	// Busy says that it carries out an order.
	Busy      bool
	Residents []fleet.Resident
	// Coming are adapters on their way, as MODEL/ADAPTER.
	Coming []string
}

// Answered takes the answer to the order that was sent to an upstream.
func (p *Planner) Answered(id string, born int64, a Answer, now time.Duration) {
	e := p.engines[id]
	if e == nil || e.desc.Born != born || e.pending == nil {
		return
	}
	o := *e.pending
	e.pending = nil
	p.changed[id] = true
	if o.Adapter != "" {
		e.handleAdapterAnswer(o, a, now)
		return
	}
	switch a {
	case Accepted:
		e.acceptedOrders++
		e.active = p.startOrder(e, o, now)
		if o.Load {
			e.held.addModel(o.Model)
		}
		p.completeIfDone(e, now)
	case Held:
		e.orderDone(o, now)
		e.needsReport = true
	case Refused, Unanswered, Fenced, Elsewhere, Impossible:
		// Until the engine has told its state, others may do the job.
		e.abandonJob()
		e.needsReport = true
	}
}

// startOrder is the work of an order that an engine has accepted.
func (p *Planner) startOrder(e *engine, o Order, now time.Duration) *activeOrder {
	w := &activeOrder{order: o, due: now + p.limits.CallTime}
	if !o.Load || e.service == nil {
		return w
	}
	m := e.service.model(o.Model)
	if m == nil {
		return w
	}
	duration, tier := loadTime(m, e.tier(o.Model)), e.tier(o.Model)
	if tier == Store {
		limiter := &p.store(e.desc.Service).limiter
		w.storeLoad = limiter.loadStarted(duration, now)
		duration = limiter.expectedDuration(duration, limiter.running)
	}
	w.due = now + duration
	return w
}

// extendDeadline takes note that an engine still carries out an order that should have
// ended.
func (p *Planner) extendDeadline(e *engine, now time.Duration) {
	w := e.active
	w.due = max(now, w.due)
	if w.storeLoad != nil {
		limiter := &p.store(e.desc.Service).limiter
		limiter.checkLate(w.storeLoad, now)
		w.due = max(now, w.storeLoad.began+limiter.expectedDuration(w.storeLoad.usual, limiter.running))
	}
}

// abandonJob gives a job up; its models take calls again.
func (e *engine) abandonJob() {
	e.job = nil
	clear(e.closingSince)
}

// Reported takes an engine's answer to a question; nil means that none came.
func (p *Planner) Reported(id string, born int64, r *Report, now time.Duration) {
	e := p.engines[id]
	if e == nil || e.desc.Born != born || !e.reportPending {
		return
	}
	e.reportPending = false
	e.lastReport = now
	if r == nil {
		return
	}
	p.changed[id] = true
	if r.Accepted < e.acceptedOrders {
		// The report is older than the latest order.
		return
	}
	e.acceptedOrders, e.ordersKnown = r.Accepted, true
	if r.Busy {
		if e.active == nil {
			// Another holder's order, or one that went unanswered, is under way.
			return
		}
		p.extendDeadline(e, now)
		e.needsReport = false
		return
	}
	e.desc.Residents = r.Residents
	e.held.applyReport(r, now)
	p.completeIfDone(e, now)
	e.needsReport = false
	if e.active != nil {
		// It ended without the expected state.
		e.active = nil
		e.abandonJob()
	}
}

// Tier says where an engine gets a model's weights from.
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

// tier is where the engine would load a model from.
func (e *engine) tier(model string) Tier {
	if t, ok := e.tiers[model]; ok {
		return t
	}
	return Store
}

// splitAdapterName splits MODEL/ADAPTER.
func splitAdapterName(name string) (model, adapter string, ok bool) { return strings.Cut(name, "/") }
