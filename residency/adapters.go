package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// adapterLoadTime is how long the largest adapter takes to load at full speed,
	// plus a margin: an engine refuses a call that arrives before the adapter is
	// loaded.
	adapterLoadTime = 20 * time.Millisecond
	// maxAdapterLoadsPerEngine limits the adapter loads in progress at one engine.
	maxAdapterLoadsPerEngine = 4
	// adapterRetryDelay is the pause between adapter orders to an engine that refused
	// one or that has no adapter to evict.
	adapterRetryDelay = 150 * time.Millisecond
	// minAdapterIdle is how long an adapter must have been unused before it may be
	// evicted.
	minAdapterIdle = 500 * time.Millisecond
)

// nextAdapterStep returns the next adapter order for an engine, if there is one.
func (p *Planner) nextAdapterStep(e *engine, r *round) (Step, bool) {
	// An engine refuses adapter orders while it carries out a model order.
	if e.active != nil || r.now < e.adapterRetryAt || !e.ordersKnown || e.desc.Leaving || r.adapterLoads >= p.limits.MaxAdapterLoads {
		return Step{}, false
	}
	for _, model := range e.modelsAwaitingAdapters(r) {
		key := modelKey{e.desc.Service, model}
		servers := r.adapterServers[key]
		if step, ok, found := p.nextAdapterFor(e, r, model, r.queues[key], servers); found {
			return step, ok
		}
		pinned := r.queues[key].pinned[e.desc.Software]
		if step, ok, found := p.nextAdapterFor(e, r, model, pinned, withVersion(servers, e.desc.Software)); found {
			return step, ok
		}
	}
	return Step{}, false
}

// nextAdapterFor returns the next adapter order for an engine from the calls of one queue, which any of
// the servers can run. found is set if the engine should load an adapter for them, ok if it can now.
func (p *Planner) nextAdapterFor(e *engine, r *round, model string, q *queue, servers []*engine) (step Step, ok, found bool) {
	if q == nil {
		return Step{}, false, false
	}
	for _, a := range q.waitingAdapters() {
		if !shouldLoadAdapter(e, servers, model, a, r.now) {
			continue
		}
		step, ok := p.orderAdapter(e, model, a, r.now)
		if ok && step.Order.Load {
			r.adapterLoads++
		}
		return step, ok, true
	}
	return Step{}, false, false
}

// modelsAwaitingAdapters returns the models that an engine serves and for whose
// adapters calls wait, sorted by name. It returns none once the engine has reached
// its limit of adapter loads.
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

// findAdapterServers fills r.adapterServers with the engines that could serve the
// adapters that calls wait for, and r.adapterLoads with the number of adapter loads
// in progress.
func (p *Planner) findAdapterServers(r *round) {
	for key, q := range r.queues {
		if !q.wantsAdapters() {
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

// adapterLoads counts the adapter loads in progress at an engine.
func (e *engine) adapterLoads(now time.Duration) int {
	count := 0
	for _, at := range e.held.adapterReadyAt {
		if at > now {
			count++
		}
	}
	return count
}

// adapterLoads counts the adapter loads in progress at all engines.
func (p *Planner) adapterLoads(now time.Duration) int {
	count := 0
	for _, e := range p.engines {
		count += e.adapterLoads(now)
	}
	return count
}

// holdsAdapter reports whether an engine holds or loads an adapter and is not about
// to unload it.
func (e *engine) holdsAdapter(model, adapter string) bool {
	if _, closing := e.closingSince[model+"/"+adapter]; closing {
		return false
	}
	_, held := e.held.adapterReadyAt[model+"/"+adapter]
	return held
}

// acceptsCalls reports whether the engine serves a model and is not about to unload
// it.
func (e *engine) acceptsCalls(model string) bool {
	_, closing := e.closingSince[model]
	return !closing && e.held.serves(model)
}

// shouldLoadAdapter reports whether engine e should load the adapter. Only the
// servers that are not waiting to retry an adapter order count. None of them may hold
// the adapter, and among those without an active model order e must have the highest
// rendezvous hash for it.
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

// orderAdapter returns the order to load an adapter, or to unload an idle one where
// all adapter places are taken.
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

// idleAdapter returns the least recently used adapter that has no running call and
// was neither used nor loaded within minAdapterIdle.
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

// handleAdapterAnswer updates the engine's state with the answer to an adapter order.
func (p *Planner) handleAdapterAnswer(e *engine, o Order, a Answer, now time.Duration) {
	name := o.Model + "/" + o.Adapter
	delete(e.closingSince, name)
	switch a {
	case Accepted:
		e.countOrder(now)
		e.adapterOrderDone(o, now, adapterLoadTime)
		if _, due := p.adaptersDue[e]; o.Load && !due {
			p.adaptersDue[e] = now + adapterLoadTime
		}
	case AlreadyDone:
		if !o.Load {
			e.countOrder(now)
		}
		e.adapterOrderDone(o, now, 0)
	case Refused, Fenced, OtherUpstream, Impossible, Unanswered:
		e.adapterRetryAt = now + adapterRetryDelay
		e.needsReport = true
	}
}

// noteUsableAdapters marks the engines as changed at which an adapter has become usable.
func (p *Planner) noteUsableAdapters(now time.Duration) {
	for e, at := range p.adaptersDue {
		if at > now {
			continue
		}
		p.changed[e.desc.ID] = true
		delete(p.adaptersDue, e)
		for _, next := range e.held.adapterReadyAt {
			if due, ok := p.adaptersDue[e]; next > now && (!ok || next < due) {
				p.adaptersDue[e] = next
			}
		}
	}
}

// NextAdapterUsable returns when the next adapter becomes usable. It reports false if none
// is being loaded.
func (p *Planner) NextAdapterUsable() (at time.Duration, ok bool) {
	for _, due := range p.adaptersDue {
		if !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}

// adapterOrderDone records the effect of an adapter order. A loaded adapter is ready
// after the given delay.
func (e *engine) adapterOrderDone(o Order, now, delay time.Duration) {
	name := o.Model + "/" + o.Adapter
	if o.Load {
		e.held.addAdapter(name, now+delay)
		return
	}
	e.held.removeAdapter(name, now)
}
