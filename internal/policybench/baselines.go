package policybench

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// loadReportLag is the time until entry nodes that place replicas independently learn of
// each other's replicas.
const loadReportLag = time.Second

// baseline is a policy that ignores contracts when it decides. It loads a model as soon
// as a request finds too few replicas, and queues requests until their deadlines.
type baseline struct {
	world *world
	// idleTimeout is how long an idle replica is kept before it is unloaded. A negative
	// value keeps it until it is evicted.
	idleTimeout time.Duration
	// perNode makes each entry node decide independently of the others.
	perNode bool
	// lastGrant is the grant number of the last load ordered.
	lastGrant uint64
	// waitingLoads are retried when an engine reports or memory is freed.
	waitingLoads []waitingLoad
}

// waitingLoad is a load that is postponed until memory is free.
type waitingLoad struct{ model, owner int }

func (b *baseline) requestArrived(q *request) {
	if len(b.world.queues[q.Model]) >= maxQueue {
		b.world.refuse(q)
		return
	}
	b.world.accept(q)
	if q.outcome == pending {
		b.ensureReplica(q.Model, b.ownerOf(q))
	}
}

// ownerOf returns the node that decides for a request, or -1 if all nodes decide
// together.
func (b *baseline) ownerOf(q *request) int {
	if b.perNode {
		return q.Node
	}
	return -1
}

// ensureReplica starts a load unless the owner knows of enough replicas for the queued
// and running requests. A load that finds no memory is postponed.
func (b *baseline) ensureReplica(m, owner int) {
	w := b.world
	known := 0
	for _, r := range w.replicas[m] {
		if r.state == directory.Loading && r.owner == owner || r.state == directory.Ready && w.isVisible(r, owner) {
			known++
		}
	}
	spec := &w.scenario.Models[m]
	needed := (len(w.queues[m]) + w.runningRequests[m] + spec.Slots - 1) / spec.Slots
	if known >= min(max(needed, 1), spec.Replicas) {
		return
	}
	if !b.startLoad(m, owner) && !slices.Contains(b.waitingLoads, waitingLoad{m, owner}) {
		b.waitingLoads = append(b.waitingLoads, waitingLoad{m, owner})
	}
}

// startLoad orders a load from an engine with enough free memory. If there is none, it
// evicts idle replicas and returns false.
func (b *baseline) startLoad(m, owner int) bool {
	e := b.chooseEngine(m)
	if e == nil {
		b.evict(m)
		return false
	}
	b.lastGrant++
	return e.load(b.lastGrant, m, owner) != nil
}

// chooseEngine returns the engine with enough free memory that has the fastest copy of
// the model; among equals, the one with the most free memory. It returns nil if none
// fits.
func (b *baseline) chooseEngine(m int) *engine {
	var best *engine
	memory := b.world.scenario.Models[m].Memory
	for _, e := range b.world.engines {
		if e.down || e.freeMemory() < memory {
			continue
		}
		if best == nil || tierRank(e.tier(m)) < tierRank(best.tier(m)) ||
			tierRank(e.tier(m)) == tierRank(best.tier(m)) && e.freeMemory() > best.freeMemory() {
			best = e
		}
	}
	return best
}

// tierRank orders the tiers from the fastest, 0, to the slowest.
func tierRank(t directory.Tier) int {
	return slices.Index([]directory.Tier{directory.TierMemory, directory.TierDisk, directory.TierRemote}, t)
}

// evict unloads idle replicas to make room for a model. It chooses the engine whose most
// recently used victim was used the longest ago.
func (b *baseline) evict(m int) {
	memory := b.world.scenario.Models[m].Memory
	var best []*replica
	var bestUsed time.Duration
	for _, e := range b.world.engines {
		victims, used, enough := b.selectVictims(e, memory)
		if enough && (best == nil || used < bestUsed) {
			best, bestUsed = victims, used
		}
	}
	for _, r := range best {
		r.engine.unload(r.grant)
	}
}

// selectVictims returns the least recently used idle replicas of an engine whose
// unloading frees the given memory in bytes, the time at which the last of them was used,
// and whether they suffice. Memory of replicas that are being unloaded counts as free.
func (b *baseline) selectVictims(e *engine, memory int64) ([]*replica, time.Duration, bool) {
	if e.down {
		return nil, 0, false
	}
	free := e.freeMemory()
	var idle []*replica
	for _, r := range e.replicas {
		if r.state == directory.Unloading {
			free += b.world.scenario.Models[r.model].Memory
		}
		if r.state == directory.Ready && r.runningRequests == 0 {
			idle = append(idle, r)
		}
	}
	slices.SortStableFunc(idle, func(x, y *replica) int { return int(x.lastUsed - y.lastUsed) })
	var victims []*replica
	used := time.Duration(0)
	for _, r := range idle {
		if free >= memory {
			break
		}
		free += b.world.scenario.Models[r.model].Memory
		victims = append(victims, r)
		used = r.lastUsed
	}
	return victims, used, free >= memory
}

// engineReported reloads models whose load failed while requests wait for them.
func (b *baseline) engineReported(e *engine) {
	for _, r := range e.endedReplicas {
		if r.state == directory.Failed && r.model >= 0 && b.hasOpenRequests(r.model) {
			b.ensureReplica(r.model, r.owner)
		}
	}
	b.retryWaitingLoads()
}

func (b *baseline) memoryFreed(*engine) { b.retryWaitingLoads() }

// retryWaitingLoads retries the postponed loads of models that requests still wait for.
func (b *baseline) retryWaitingLoads() {
	loads := b.waitingLoads
	b.waitingLoads = nil
	for _, load := range loads {
		if b.hasOpenRequests(load.model) {
			b.ensureReplica(load.model, load.owner)
		}
	}
}

// hasOpenRequests reports whether the queue of a model has a request without an outcome.
func (b *baseline) hasOpenRequests(m int) bool {
	return slices.ContainsFunc(b.world.queues[m], func(q *request) bool { return q.outcome == pending })
}

// requestEnded schedules the unload of the model's idle replicas after the idle timeout.
func (b *baseline) requestEnded(m int) {
	if b.idleTimeout < 0 {
		return
	}
	for _, r := range b.world.replicas[m] {
		if r.state != directory.Ready || r.runningRequests > 0 {
			continue
		}
		used := r.lastUsed
		b.world.clock.after(b.idleTimeout, func() {
			if r.state == directory.Ready && r.runningRequests == 0 && r.lastUsed == used {
				r.engine.unload(r.grant)
			}
		})
	}
	b.retryWaitingLoads()
}

func (b *baseline) adapterMissing(r *replica, adapter string) {
	if !slices.Contains(r.requestedAdapters, adapter) {
		r.requestedAdapters = append(r.requestedAdapters, adapter)
		b.world.loadAdapter(r, adapter)
	}
}

func (b *baseline) hasGrant(*replica) bool { return true }
