package residency

import (
	"cmp"
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
func (p *Planner) adapterStep(n *node, queues map[modelKey]*queue, now time.Duration) (Step, bool) {
	// An engine that carries out an order for a model refuses those for adapters.
	if n.work != nil || now < n.adaptersHeld || !n.counted || n.desc.Leaving || n.coming(now) >= adaptersPerEngine || p.coming(now) >= p.limits.AdapterWidth {
		return Step{}, false
	}
	for _, r := range n.desc.Residents {
		if _, closing := n.closing[r.Model]; closing {
			continue
		}
		q := queues[modelKey{n.desc.Service, r.Model}]
		if q == nil {
			continue
		}
		for _, a := range q.waitingAdapters() {
			if !p.wanted(n, r.Model, a, now) {
				continue
			}
			return p.placeAdapter(n, r.Model, a, now)
		}
	}
	return Step{}, false
}

// coming counts the adapters on their way to an engine.
func (n *node) coming(now time.Duration) int {
	count := 0
	for _, at := range n.loaded {
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
	_, ordered := n.loaded[model+"/"+adapter]
	return ordered || n.desc.Holds(model, adapter)
}

// wanted reports whether the adapter belongs at this engine: no engine has it,
// and among those that hold the model and take orders this one comes first in an
// order that differs for each adapter.
func (p *Planner) wanted(n *node, model, adapter string, now time.Duration) bool {
	var best *node
	var bestScore uint64
	for _, o := range p.sorted() {
		if o.desc.Service != n.desc.Service || o.desc.Leaving || !o.desc.Holds(model, "") || now < o.adaptersHeld {
			continue
		}
		if _, closing := o.closing[model]; closing {
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
	if names := n.adapters(); len(names) >= n.spec.AdapterPlaces {
		name, ok := n.idleAdapter(names, now)
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

// adapters are all adapters at the engine or on their way, as MODEL/ADAPTER.
func (n *node) adapters() []string {
	var names []string
	for _, r := range n.desc.Residents {
		for _, a := range r.Adapters {
			names = append(names, r.Model+"/"+a)
		}
	}
	for name := range n.loaded {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// idleAdapter is the adapter that ran least recently and not just now.
func (n *node) idleAdapter(names []string, now time.Duration) (string, bool) {
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(n.used[a], n.used[b]), cmp.Compare(a, b)) })
	for _, name := range names {
		ordered, recent := n.loaded[name]
		if n.running[name] == 0 && now-n.used[name] > adapterIdle && (!recent || now-ordered > adapterIdle) {
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
		n.loaded[name] = now + in
		return
	}
	delete(n.loaded, name)
	for i := range n.desc.Residents {
		if r := &n.desc.Residents[i]; r.Model == o.Model {
			r.Adapters = slices.DeleteFunc(slices.Clone(r.Adapters), func(a string) bool { return a == o.Adapter })
		}
	}
}
