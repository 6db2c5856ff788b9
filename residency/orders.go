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
	n := p.nodes[id]
	if n == nil || n.desc.Born != born || n.sent == nil {
		return
	}
	o := *n.sent
	n.sent = nil
	p.changed[id] = true
	if o.Adapter != "" {
		n.adapterAnswered(o, a, now)
		return
	}
	switch a {
	case Accepted:
		n.orders++
		n.work = p.begin(n, o, now)
		if o.Load {
			n.held.loadsModel(o.Model)
		}
		p.settle(n, now)
	case Held:
		n.closed(o, now)
		n.unclear = true
	case Refused, Unanswered, Fenced, Elsewhere, Impossible:
		// Until the engine has told its state, others may do the job.
		n.abandon()
		n.unclear = true
	}
}

// begin is the work of an order that an engine has accepted.
func (p *Planner) begin(n *node, o Order, now time.Duration) *work {
	w := &work{order: o, due: now + p.limits.CallTime}
	if !o.Load || n.service == nil {
		return w
	}
	m := n.service.model(o.Model)
	if m == nil {
		return w
	}
	took, tier := loadTime(m, n.tier(o.Model)), n.tier(o.Model)
	if tier == Store {
		s := &p.store(n.desc.Service).pace
		w.fetch = s.begin(took, now)
		took = s.duration(took, s.running)
	}
	w.due = now + took
	return w
}

// overdue takes note that an engine still carries out an order that should have
// ended.
func (p *Planner) overdue(n *node, now time.Duration) {
	w := n.work
	w.due = max(now, w.due)
	if w.fetch != nil {
		s := &p.store(n.desc.Service).pace
		s.late(w.fetch, now)
		w.due = max(now, w.fetch.began+s.duration(w.fetch.usual, s.running))
	}
}

// abandon gives a job up; its models take calls again.
func (n *node) abandon() {
	n.job = nil
	clear(n.closing)
}

// Reported takes an engine's answer to a question; nil means that none came.
func (p *Planner) Reported(id string, born int64, r *Report, now time.Duration) {
	n := p.nodes[id]
	if n == nil || n.desc.Born != born || !n.asking {
		return
	}
	n.asking = false
	n.asked = now
	if r == nil {
		return
	}
	p.changed[id] = true
	if r.Accepted < n.orders {
		// The report is older than the latest order.
		return
	}
	n.orders, n.counted = r.Accepted, true
	if r.Busy {
		if n.work == nil {
			// Another holder's order, or one that went unanswered, is under way.
			return
		}
		p.overdue(n, now)
		n.unclear = false
		return
	}
	n.desc.Residents = r.Residents
	n.held.exact(r, now)
	p.settle(n, now)
	n.unclear = false
	if n.work != nil {
		// It ended without the expected state.
		n.work = nil
		n.abandon()
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
func (n *node) tier(model string) Tier {
	if t, ok := n.tiers[model]; ok {
		return t
	}
	return Store
}

// cutAdapter splits MODEL/ADAPTER.
func cutAdapter(name string) (model, adapter string, ok bool) { return strings.Cut(name, "/") }
