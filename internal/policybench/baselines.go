package policybench

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// loadReportLag is how long routers that decide alone take to learn of each
// other's replicas.
const loadReportLag = time.Second

// baseline is a policy without contracts in its decisions. It loads a model as
// soon as a request finds none, and queues requests until their deadlines.
type baseline struct {
	world *world
	// keep is how long an idle replica stays; negative for ever.
	keep time.Duration
	// perRouter says that each node decides for itself.
	perRouter bool
	next      uint64
	waiting   []wanted
}

// wanted is a load that found no memory.
type wanted struct{ model, owner int }

func (b *baseline) arrive(q *request) {
	if len(b.world.queues[q.Model]) >= maxQueue {
		b.world.refuse(q)
		return
	}
	b.world.accept(q)
	if q.outcome == open {
		b.want(q.Model, b.ownerOf(q))
	}
}

func (b *baseline) ownerOf(q *request) int {
	if b.perRouter {
		return q.Node
	}
	return -1
}

// want loads a model unless enough replicas that the owner knows of exist.
func (b *baseline) want(m, owner int) {
	w := b.world
	known := 0
	for _, r := range w.replicas[m] {
		if r.state == directory.Loading && r.owner == owner || r.state == directory.Ready && w.visible(r, owner) {
			known++
		}
	}
	f := &w.scenario.Models[m]
	needed := (len(w.queues[m]) + w.running[m] + f.Slots - 1) / f.Slots
	if known >= min(max(needed, 1), f.Replicas) {
		return
	}
	if !b.load(m, owner) && !slices.Contains(b.waiting, wanted{m, owner}) {
		b.waiting = append(b.waiting, wanted{m, owner})
	}
}

// load starts a load where memory is free, or makes room for it.
func (b *baseline) load(m, owner int) bool {
	e := b.choose(m)
	if e == nil {
		b.evict(m)
		return false
	}
	b.next++
	return e.load(b.next, m, owner) != nil
}

// choose returns the engine with free memory and the nearest copy.
func (b *baseline) choose(m int) *engine {
	var best *engine
	memory := b.world.scenario.Models[m].Memory
	for _, e := range b.world.engines {
		if e.down || e.free() < memory {
			continue
		}
		if best == nil || tierRank(e.tier(m)) < tierRank(best.tier(m)) ||
			tierRank(e.tier(m)) == tierRank(best.tier(m)) && e.free() > best.free() {
			best = e
		}
	}
	return best
}

func tierRank(t directory.Tier) int {
	return slices.Index([]directory.Tier{directory.TierMemory, directory.TierDisk, directory.TierRemote}, t)
}

// evict unloads idle replicas, the least recently used first, on the engine
// where that costs the least recent use.
func (b *baseline) evict(m int) {
	memory := b.world.scenario.Models[m].Memory
	var best []*replica
	var bestUsed time.Duration
	for _, e := range b.world.engines {
		victims, used, enough := b.victims(e, memory)
		if enough && (best == nil || used < bestUsed) {
			best, bestUsed = victims, used
		}
	}
	for _, r := range best {
		r.engine.unload(r.grant)
	}
}

func (b *baseline) victims(e *engine, memory int64) ([]*replica, time.Duration, bool) {
	if e.down {
		return nil, 0, false
	}
	free := e.free()
	var idle []*replica
	for _, r := range e.replicas {
		if r.state == directory.Unloading {
			free += b.world.scenario.Models[r.model].Memory
		}
		if r.state == directory.Ready && r.running == 0 {
			idle = append(idle, r)
		}
	}
	slices.SortStableFunc(idle, func(x, y *replica) int { return int(x.used - y.used) })
	var victims []*replica
	used := time.Duration(0)
	for _, r := range idle {
		if free >= memory {
			break
		}
		free += b.world.scenario.Models[r.model].Memory
		victims = append(victims, r)
		used = r.used
	}
	return victims, used, free >= memory
}

func (b *baseline) announced(e *engine) {
	for _, r := range e.ended {
		if r.state == directory.Failed && r.model >= 0 && b.hasWaiting(r.model) {
			b.want(r.model, r.owner)
		}
	}
	b.retry()
}

func (b *baseline) freed(*engine) { b.retry() }

// retry starts loads that waited for memory and are still waited for.
func (b *baseline) retry() {
	waiting := b.waiting
	b.waiting = nil
	for _, x := range waiting {
		if b.hasWaiting(x.model) {
			b.want(x.model, x.owner)
		}
	}
}

func (b *baseline) hasWaiting(m int) bool {
	return slices.ContainsFunc(b.world.queues[m], func(q *request) bool { return q.outcome == open })
}

// ended unloads the model's replicas once they were idle long enough.
func (b *baseline) ended(m int) {
	if b.keep < 0 {
		return
	}
	for _, r := range b.world.replicas[m] {
		if r.state != directory.Ready || r.running > 0 {
			continue
		}
		used := r.used
		b.world.clock.after(b.keep, func() {
			if r.state == directory.Ready && r.running == 0 && r.used == used {
				r.engine.unload(r.grant)
			}
		})
	}
	b.retry()
}

func (b *baseline) wantsAdapter(r *replica, adapter string) {
	if !slices.Contains(r.asked, adapter) {
		r.asked = append(r.asked, adapter)
		b.world.loadAdapter(r, adapter)
	}
}

func (b *baseline) charged(*replica) bool { return true }
