package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateslip/agateslip/contract"
)

// EngineOverview is what the planner knows of one engine.
type EngineOverview struct {
	// Calls is how many calls of all nodes run there.
	Calls int `json:"calls"`
	// Orders is how many orders it has accepted.
	Orders uint64 `json:"orders"`
	// Unclear says that it must be asked before its next order.
	Unclear bool `json:"unclear,omitempty"`
	// Doing is the order under way, Due in how long it should be carried out.
	Doing string            `json:"doing,omitempty"`
	Due   contract.Duration `json:"due,omitempty"`
	// Planned is the model to be loaded next, Evict what makes room for it.
	Planned string   `json:"planned,omitempty"`
	Evict   []string `json:"evict,omitempty"`
	// Copies counts the models that it has copies of.
	Copies int `json:"copies"`
}

// EngineOverview returns what is known of an engine; nil for other upstreams.
func (p *Planner) EngineOverview(id string, now time.Duration) *EngineOverview {
	e := p.engines[id]
	if e == nil || e.service == nil {
		return nil
	}
	o := &EngineOverview{Calls: e.running.total, Orders: e.acceptedOrders, Unclear: e.needsReport, Copies: len(e.tiers)}
	if w := e.active; w != nil {
		o.Doing, o.Due = "unload "+w.order.Model, contract.Duration(w.due-now)
		if w.order.Load {
			o.Doing = "load " + w.order.Model
		}
	}
	if e.job != nil {
		o.Planned, o.Evict = e.job.model, slices.Clone(e.job.evict)
	}
	return o
}

// DemandOverview is the demand for one model that calls wait for.
type DemandOverview struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Waiting int    `json:"waiting"`
	// PerSecond is the rate of calls that is expected.
	PerSecond float64 `json:"perSecond"`
	// Known says that there is a forecast of when it can run, In is that time.
	Known bool              `json:"known"`
	In    contract.Duration `json:"in"`
}

// DemandOverview returns what is waited for, most calls first.
func (p *Planner) DemandOverview(now time.Duration) []DemandOverview {
	var list []DemandOverview
	for key, q := range p.queues(now) {
		o := DemandOverview{Service: key.service, Model: key.model, Waiting: q.calls, PerSecond: p.expectedRate(key.service, key.model, now)}
		in, known := p.Forecast(key.service, key.model, now)
		o.In, o.Known = contract.Duration(in), known
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b DemandOverview) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Model, b.Model))
	})
	return list
}
