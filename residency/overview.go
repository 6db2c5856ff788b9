package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/agateslip/agateslip/contract"
)

// EngineOverview is the planner's view of one engine.
type EngineOverview struct {
	// Calls is the number of calls of all entry nodes that run at the engine.
	Calls int `json:"calls"`
	// Orders is the number of orders that the engine has accepted.
	Orders uint64 `json:"orders"`
	// Unclear reports whether the engine must report its state before its next order.
	Unclear bool `json:"unclear,omitempty"`
	// Doing is the model order in progress; Due is the time until it should be done.
	Doing string            `json:"doing,omitempty"`
	Due   contract.Duration `json:"due,omitempty"`
	// Planned is the model to be loaded next; Evict holds the models to be unloaded
	// for it.
	Planned string   `json:"planned,omitempty"`
	Evict   []string `json:"evict,omitempty"`
	// Copies is the number of models of which the engine has a copy in memory or on
	// disk.
	Copies int `json:"copies"`
}

// EngineOverview returns the planner's view of an engine; nil for other upstreams.
func (p *Planner) EngineOverview(id string, now time.Duration) *EngineOverview {
	e := p.engines[id]
	if e == nil || e.service == nil {
		return nil
	}
	o := &EngineOverview{Calls: e.running.total, Orders: e.acceptedOrders, Unclear: e.needsReport, Copies: len(e.tiers)}
	if active := e.active; active != nil {
		o.Doing, o.Due = "unload "+active.order.Model, contract.Duration(active.due-now)
		if active.order.Load {
			o.Doing = "load " + active.order.Model
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
	// PerSecond is the expected rate of calls.
	PerSecond float64 `json:"perSecond"`
	// Known reports whether an engine can load the model; In is then the time until a
	// call for it could run.
	Known bool              `json:"known"`
	In    contract.Duration `json:"in"`
}

// DemandOverview returns the models that calls wait for, most waiting calls first.
func (p *Planner) DemandOverview(now time.Duration) []DemandOverview {
	var list []DemandOverview
	for key, q := range p.queues(now) {
		o := DemandOverview{Service: key.service, Model: key.model, Waiting: q.total(), PerSecond: p.expectedRate(key.service, key.model, now)}
		in, known := p.Forecast(key.service, key.model, now)
		o.In, o.Known = contract.Duration(in), known
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b DemandOverview) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// ModelOverview is the planner's view of one model.
type ModelOverview struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// PerSecond is the expected rate of calls, to a tenth.
	PerSecond float64 `json:"perSecond"`
	// PerEngine is the rate of calls that an engine bears at best, to a tenth.
	PerEngine float64 `json:"perEngine"`
	// Holders is the number of engines that serve the model, Loading of those that load it.
	// Copies is the number of engines that could load it without the weight store.
	Holders int `json:"holders"`
	Loading int `json:"loading"`
	Copies  int `json:"copies"`
}

// BusiestModels returns the n models with the highest expected rates, highest first.
func (p *Planner) BusiestModels(n int, now time.Duration) []ModelOverview {
	byKey := map[modelKey]*ModelOverview{}
	var list []*ModelOverview
	for name, s := range p.services {
		perEngine := toTenth(p.bestEngineRate(name))
		for _, m := range s.models {
			o := &ModelOverview{Service: name, Model: m.spec.Name, PerSecond: p.expectedRate(name, m.spec.Name, now), PerEngine: perEngine}
			byKey[modelKey{name, m.spec.Name}] = o
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *ModelOverview) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Model, b.Model))
	})
	for _, e := range p.byID {
		e.addToOverviews(byKey)
	}
	busiest := make([]ModelOverview, 0, n)
	for _, o := range list[:min(n, len(list))] {
		o.PerSecond = toTenth(o.PerSecond)
		busiest = append(busiest, *o)
	}
	return busiest
}

func toTenth(x float64) float64 { return math.Round(10*x) / 10 }

// addToOverviews counts the engine in the overviews of its models.
func (e *engine) addToOverviews(byKey map[modelKey]*ModelOverview) {
	for name := range e.held.servedSince {
		if o := byKey[modelKey{e.desc.Service, name}]; o != nil {
			o.Holders++
		}
	}
	for name := range e.tiers {
		if o := byKey[modelKey{e.desc.Service, name}]; o != nil && !e.held.models[name] {
			o.Copies++
		}
	}
	if e.job != nil {
		if o := byKey[modelKey{e.desc.Service, e.job.model}]; o != nil {
			o.Loading++
		}
	}
}
