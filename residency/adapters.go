package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// adapterLoadTime is how long an adapter is on its way, for the largest one at
	// full speed, with the margin that a call sent earlier would be refused.
	adapterLoadTime = 20 * time.Millisecond
	// maxAdapterLoadsPerEngine is how many adapters may be on their way to an engine.
	maxAdapterLoadsPerEngine = 4
	// adapterRetryDelay is the pause before another adapter order to an engine that
	// refused one.
	adapterRetryDelay = 150 * time.Millisecond
	// minAdapterIdle is how long an adapter must not have run before it makes room.
	minAdapterIdle = 500 * time.Millisecond
)

// nextAdapterStep returns the next adapter order at an engine.
func (p *Planner) nextAdapterStep(e *engine, r *round) (Step, bool) {
	// An engine that carries out an order for a model refuses those for adapters.
	if e.active != nil || r.now < e.adapterRetryAt || !e.ordersKnown || e.desc.Leaving || r.adapterLoads >= p.limits.AdapterWidth {
		return Step{}, false
	}
	for _, model := range e.modelsAwaitingAdapters(r) {
		key := modelKey{e.desc.Service, model}
		for _, a := range r.queues[key].waitingAdapters() {
			if !shouldLoadAdapter(e, r.adapterServers[key], model, a, r.now) {
				continue
			}
			step, ok := p.orderAdapter(e, model, a, r.now)
			if ok && step.Order.Load {
				r.adapterLoads++
			}
			return step, ok
		}
	}
	return Step{}, false
}

// modelsAwaitingAdapters are the models of an engine for whose adapters calls wait, in a fixed order.
func (e *engine) modelsAwaitingAdapters(r *round) []string {
	var models []string
	if len(r.adapterServers) == 0 || e.adapterLoads(r.now) >= maxAdapterLoadsPerEngine {
		return nil
	}
	for model := range e.held.servedSince {
		if r.adapterServers[modelKey{e.desc.Service, model}] != nil && e.acceptsCalls(model) {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// findAdapterServers looks up the engines that could serve the adapters that calls wait
// for.
func (p *Planner) findAdapterServers(r *round) {
	for key, q := range r.queues {
		if len(q.adapters) == 0 {
			continue
		}
		if r.adapterServers == nil {
			r.adapterServers = map[modelKey][]*engine{}
			r.adapterLoads = p.adapterLoads(r.now)
		}
		for _, e := range p.byID {
			if e.desc.Service == key.service && !e.desc.Leaving && e.acceptsCalls(key.model) {
				r.adapterServers[key] = append(r.adapterServers[key], e)
			}
		}
	}
}

// adapterLoads counts the adapters on their way to an engine.
func (e *engine) adapterLoads(now time.Duration) int {
	count := 0
	for _, at := range e.held.adapterReadyAt {
		if at > now {
			count++
		}
	}
	return count
}

func (p *Planner) adapterLoads(now time.Duration) int {
	count := 0
	for _, e := range p.engines {
		count += e.adapterLoads(now)
	}
	return count
}

// holdsAdapter reports whether an adapter is at an engine or on its way.
func (e *engine) holdsAdapter(model, adapter string) bool {
	if _, closing := e.closingSince[model+"/"+adapter]; closing {
		return false
	}
	_, held := e.held.adapterReadyAt[model+"/"+adapter]
	return held
}

// acceptsCalls reports whether the engine acceptsCalls a model and goes on doing so.
func (e *engine) acceptsCalls(model string) bool {
	_, closing := e.closingSince[model]
	return !closing && e.held.serves(model)
}

// shouldLoadAdapter reports whether the adapter belongs at this engine: no engine has it,
// and among those that hold the model and take orders this one comes first in an
// order that differs for each adapter.
func shouldLoadAdapter(e *engine, servers []*engine, model, adapter string, now time.Duration) bool {
	var first *engine
	var highest uint64
	for _, o := range servers {
		if now < o.adapterRetryAt {
			continue
		}
		if o.holdsAdapter(model, adapter) {
			return false
		}
		if o.active != nil {
			continue
		}
		if score := xxhash.Sum64String(model + "/" + adapter + "@" + o.desc.ID); first == nil || score > highest {
			first, highest = o, score
		}
	}
	return first == e
}

// orderAdapter orders an adapter, or the unload of one that makes room.
func (p *Planner) orderAdapter(e *engine, model, adapter string, now time.Duration) (Step, bool) {
	if len(e.held.adapterReadyAt) >= e.spec().AdapterPlaces {
		name, ok := e.idleAdapter(slices.Collect(maps.Keys(e.held.adapterReadyAt)), now)
		if !ok {
			e.adapterRetryAt = now + adapterRetryDelay
			return Step{}, false
		}
		m, a, _ := splitAdapterName(name)
		e.closingSince[name] = now
		p.changed[e.desc.ID] = true
		return e.orderStep(Order{Model: m, Adapter: a}), true
	}
	return e.orderStep(Order{Load: true, Model: model, Adapter: adapter}), true
}

// idleAdapter is the adapter that ran least recently and not just now.
func (e *engine) idleAdapter(names []string, now time.Duration) (string, bool) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.adapterLastUsed[a], e.adapterLastUsed[b]), cmp.Compare(a, b))
	})
	for _, name := range names {
		if e.running.byName[name] == 0 && now-max(e.adapterLastUsed[name], e.held.adapterReadyAt[name]) > minAdapterIdle {
			return name, true
		}
	}
	return "", false
}

// handleAdapterAnswer takes the answer to an adapter order.
func (e *engine) handleAdapterAnswer(o Order, a Answer, now time.Duration) {
	name := o.Model + "/" + o.Adapter
	delete(e.closingSince, name)
	switch a {
	case Accepted:
		e.acceptedOrders++
		e.adapterOrderDone(o, now, adapterLoadTime)
	case Held:
		if !o.Load {
			e.acceptedOrders++
		}
		e.adapterOrderDone(o, now, 0)
	case Refused, Fenced, Elsewhere, Impossible, Unanswered:
		e.adapterRetryAt = now + adapterRetryDelay
		e.needsReport = true
	}
}

// adapterOrderDone takes note of what an adapter order changed.
func (e *engine) adapterOrderDone(o Order, now, delay time.Duration) {
	name := o.Model + "/" + o.Adapter
	if o.Load {
		e.held.addAdapter(name, now+delay)
		return
	}
	e.held.removeAdapter(name, now)
}
