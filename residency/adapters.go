package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// adapterTime is how long an adapter is on its way, for the largest one at
	// full speed, with the margin that a call sent earlier would be refused.
	adapterTime = 20 * time.Millisecond
	// adaptersPerEngine is how many adapters may be on their way to an engine.
	adaptersPerEngine = 4
	// adapterPause is the pause before another adapter order to an engine that
	// refused one.
	adapterPause = 150 * time.Millisecond
	// adapterIdle is how long an adapter must not have run before it makes room.
	adapterIdle = 500 * time.Millisecond
)

// adapterStep returns the next adapter order at an engine.
func (p *Planner) adapterStep(n *node, r *round) (Step, bool) {
	// An engine that carries out an order for a model refuses those for adapters.
	if n.work != nil || r.now < n.adaptersHeld || !n.counted || n.desc.Leaving || r.coming >= p.limits.AdapterWidth {
		return Step{}, false
	}
	for _, model := range n.askedModels(r) {
		key := modelKey{n.desc.Service, model}
		for _, a := range r.queues[key].waitingAdapters() {
			if !wanted(n, r.servers[key], model, a, r.now) {
				continue
			}
			step, ok := p.placeAdapter(n, model, a, r.now)
			if ok && step.Order.Load {
				r.coming++
			}
			return step, ok
		}
	}
	return Step{}, false
}

// askedModels are the models of an engine for whose adapters calls wait, in a fixed order.
func (n *node) askedModels(r *round) []string {
	var models []string
	if len(r.servers) == 0 || n.coming(r.now) >= adaptersPerEngine {
		return nil
	}
	for model := range n.held.offered {
		if r.servers[modelKey{n.desc.Service, model}] != nil && n.serves(model) {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// findAdapters looks up the engines that could serve the adapters that calls wait
// for.
func (p *Planner) findAdapters(r *round) {
	for key, q := range r.queues {
		if len(q.adapters) == 0 {
			continue
		}
		if r.servers == nil {
			r.servers = map[modelKey][]*node{}
			r.coming = p.coming(r.now)
		}
		for _, n := range p.order {
			if n.desc.Service == key.service && !n.desc.Leaving && n.serves(key.model) {
				r.servers[key] = append(r.servers[key], n)
			}
		}
	}
}

// coming counts the adapters on their way to an engine.
func (n *node) coming(now time.Duration) int {
	count := 0
	for _, at := range n.held.adapters {
		if at > now {
			count++
		}
	}
	return count
}

func (p *Planner) coming(now time.Duration) int {
	count := 0
	for _, n := range p.nodes {
		count += n.coming(now)
	}
	return count
}

// holdsAdapter reports whether an adapter is at an engine or on its way.
func (n *node) holdsAdapter(model, adapter string) bool {
	if _, closing := n.closing[model+"/"+adapter]; closing {
		return false
	}
	_, held := n.held.adapters[model+"/"+adapter]
	return held
}

// serves reports whether the engine serves a model and goes on doing so.
func (n *node) serves(model string) bool {
	_, closing := n.closing[model]
	return !closing && n.held.offers(model)
}

// wanted reports whether the adapter belongs at this engine: no engine has it,
// and among those that hold the model and take orders this one comes first in an
// order that differs for each adapter.
func wanted(n *node, servers []*node, model, adapter string, now time.Duration) bool {
	var best *node
	var bestScore uint64
	for _, o := range servers {
		if now < o.adaptersHeld {
			continue
		}
		if o.holdsAdapter(model, adapter) {
			return false
		}
		if o.work != nil {
			continue
		}
		if score := xxhash.Sum64String(model + "/" + adapter + "@" + o.desc.ID); best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	return best == n
}

// placeAdapter orders an adapter, or the unload of one that makes room.
func (p *Planner) placeAdapter(n *node, model, adapter string, now time.Duration) (Step, bool) {
	if len(n.held.adapters) >= n.spec().AdapterPlaces {
		name, ok := n.idleAdapter(slices.Collect(maps.Keys(n.held.adapters)), now)
		if !ok {
			n.adaptersHeld = now + adapterPause
			return Step{}, false
		}
		m, a, _ := cutAdapter(name)
		n.closing[name] = now
		p.changed[n.desc.ID] = true
		return n.order(Order{Model: m, Adapter: a}), true
	}
	return n.order(Order{Load: true, Model: model, Adapter: adapter}), true
}

// idleAdapter is the adapter that ran least recently and not just now.
func (n *node) idleAdapter(names []string, now time.Duration) (string, bool) {
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(n.used[a], n.used[b]), cmp.Compare(a, b)) })
	for _, name := range names {
		if n.running.byName[name] == 0 && now-max(n.used[name], n.held.adapters[name]) > adapterIdle {
			return name, true
		}
	}
	return "", false
}

// adapterAnswered takes the answer to an adapter order.
func (n *node) adapterAnswered(o Order, a Answer, now time.Duration) {
	name := o.Model + "/" + o.Adapter
	delete(n.closing, name)
	switch a {
	case Accepted:
		n.orders++
		n.adapterDone(o, now, adapterTime)
	case Held:
		if !o.Load {
			n.orders++
		}
		n.adapterDone(o, now, 0)
	case Refused, Fenced, Elsewhere, Impossible, Unanswered:
		n.adaptersHeld = now + adapterPause
		n.unclear = true
	}
}

// adapterDone takes note of what an adapter order changed.
func (n *node) adapterDone(o Order, now, in time.Duration) {
	name := o.Model + "/" + o.Adapter
	if o.Load {
		n.held.loadsAdapter(name, now+in)
		return
	}
	n.held.dropAdapter(name, now)
}
