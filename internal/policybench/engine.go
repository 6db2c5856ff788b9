package policybench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// setUpBaseTime is the part of a load that does not depend on the checkpoint size.
	setUpBaseTime = 500 * time.Millisecond
	// setUpSpeed is the speed of the set-up after the read, in bytes per second.
	setUpSpeed = 20 * float64(gib)
	// diskSpeed and memorySpeed are the read speeds of these tiers in bytes per second.
	diskSpeed   = 6 * float64(gib)
	memorySpeed = 25 * float64(gib)
	// unloadTime is the time to free the memory of a replica.
	unloadTime = 300 * time.Millisecond
	// loadSpread is the standard deviation of the logarithm of load times.
	loadSpread = 0.15
	// stragglerChance is the probability that a load takes twice as long.
	stragglerChance = 0.005
	// tombstoneTime is how long an engine still reports a failed or unloaded replica.
	tombstoneTime = 30 * time.Second
)

// replica is a replica on a simulated engine. Its model is an index into Scenario.Models.
type replica struct {
	grant           uint64
	model           int
	engine          *engine
	state           directory.ReplicaState
	runningRequests int
	adapters        []string
	readyAt         time.Duration
	// owner is the entry node that ordered the load; -1 if all nodes know of it at once.
	owner int
	// transfer is the fetch from the weight store in progress, if any.
	transfer *transfer
	// lastUsed is when the last request ended here, or when the replica became ready.
	lastUsed time.Duration
	// requestedAdapters are the adapters that a baseline has requested on this replica.
	requestedAdapters []string
}

// engine simulates a model engine.
type engine struct {
	id          string
	domain      string
	world       *world
	incarnation uint64
	seq         uint64
	down        bool
	replicas    []*replica
	// endedReplicas are failed and unloaded replicas that are still reported.
	endedReplicas []*replica
	diskCopies    cache
	memoryCopies  cache
	// announcePending is set while a report is on its way.
	announcePending bool
	// loadsToFail is the number of upcoming loads that fail; highestFence the highest
	// fencing number seen.
	loadsToFail  int
	highestFence uint64
}

// cache is a set of checkpoint copies. It evicts the least recently added ones beyond its
// limit in bytes.
type cache struct {
	limit  int64
	models []int
}

func (c *cache) has(m int) bool { return slices.Contains(c.models, m) }

// add adds a model, or makes it the most recent one, and evicts others beyond the limit.
func (c *cache) add(m int, size func(int) int64) {
	c.models = slices.DeleteFunc(c.models, func(x int) bool { return x == m })
	c.models = append(c.models, m)
	total := int64(0)
	for _, x := range c.models {
		total += size(x)
	}
	for total > c.limit {
		total -= size(c.models[0])
		c.models = c.models[1:]
	}
}

// usedMemory returns the accelerator memory that replicas hold, in bytes.
func (e *engine) usedMemory() int64 {
	total := int64(0)
	for _, r := range e.replicas {
		total += e.world.scenario.Models[r.model].Memory
	}
	return total
}

func (e *engine) freeMemory() int64 { return e.world.scenario.Memory - e.usedMemory() }

// tier returns the fastest tier with a copy of a model.
func (e *engine) tier(m int) directory.Tier {
	switch {
	case e.memoryCopies.has(m):
		return directory.TierMemory
	case e.diskCopies.has(m):
		return directory.TierDisk
	default:
		return directory.TierRemote
	}
}

// findReplica returns the replica with a grant, also if it has ended but is still
// reported, or nil.
func (e *engine) findReplica(grant uint64) *replica {
	for _, r := range e.replicas {
		if r.grant == grant {
			return r
		}
	}
	for _, r := range e.endedReplicas {
		if r.grant == grant {
			return r
		}
	}
	return nil
}

// load starts a load. It returns nil if the engine is down, knows the grant or lacks
// memory.
func (e *engine) load(grant uint64, m, owner int) *replica {
	w := e.world
	if e.down || e.findReplica(grant) != nil {
		return nil
	}
	r := &replica{grant: grant, model: m, engine: e, state: directory.Loading, owner: owner}
	if e.freeMemory() < w.scenario.Models[m].Memory {
		w.metrics.OverCommits++
		e.endReplica(r, directory.Failed)
		return nil
	}
	w.loadStarted(r)
	e.replicas = append(e.replicas, r)
	e.readCheckpoint(r)
	e.announce()
	return r
}

// readCheckpoint simulates the read of the checkpoint from the fastest tier and the
// set-up, and finishes the load afterwards.
func (e *engine) readCheckpoint(r *replica) {
	w := e.world
	size := float64(w.scenario.Models[r.model].Size)
	factor := w.loadNoise(r.model)
	scaled := func(s float64) time.Duration { return time.Duration(s * factor * float64(time.Second)) }
	setUp := scaled(setUpBaseTime.Seconds() + size/setUpSpeed)
	switch e.tier(r.model) {
	case directory.TierMemory:
		w.clock.after(scaled(size/memorySpeed)+setUp, func() { e.finishLoad(r) })
	case directory.TierDisk:
		w.clock.after(scaled(size/diskSpeed)+setUp, func() { e.finishLoad(r) })
	default:
		r.transfer = w.store.fetch(scaled(size/w.scenario.FetchSpeed), func() {
			r.transfer = nil
			if r.state != directory.Loading {
				return
			}
			e.addCopies(r.model)
			e.announce()
			w.clock.after(setUp, func() { e.finishLoad(r) })
		})
	}
}

// loadNoise returns a random factor of a load's nominal duration. Each model has its own
// random sequence, so that runs that differ in the loads of other models stay comparable.
func (w *world) loadNoise(m int) float64 {
	if w.options.ExactLoadTimes {
		return 1
	}
	if w.loadNoiseRNGs[m] == nil {
		w.loadNoiseRNGs[m] = rand.New(rand.NewPCG(w.options.Seed, uint64(100+m)))
	}
	rng := w.loadNoiseRNGs[m]
	noise := math.Exp(loadSpread * rng.NormFloat64())
	if rng.Float64() < stragglerChance {
		noise *= 2
	}
	return noise
}

// addCopies adds a copy of a model to the memory and disk tiers.
func (e *engine) addCopies(m int) {
	size := func(x int) int64 { return e.world.scenario.Models[x].Size }
	e.memoryCopies.add(m, size)
	e.diskCopies.add(m, size)
}

// finishLoad makes a loading replica ready, or failed if a fault requires it.
func (e *engine) finishLoad(r *replica) {
	if r.state != directory.Loading {
		return
	}
	if e.loadsToFail > 0 {
		e.loadsToFail--
		e.endReplica(r, directory.Failed)
		return
	}
	e.addCopies(r.model)
	r.state = directory.Ready
	r.readyAt = e.world.clock.now
	r.lastUsed = r.readyAt
	e.announce()
	e.world.replicaReady(r)
}

// unload starts to free a replica. The memory is freed once its running requests have
// ended. An unknown grant is reported as unloaded.
func (e *engine) unload(grant uint64) {
	r := e.findReplica(grant)
	if e.down {
		return
	}
	if r == nil {
		e.endReplica(&replica{grant: grant, model: -1, engine: e}, directory.Unloaded)
		return
	}
	if r.state == directory.Unloading || r.state == directory.Unloaded || r.state == directory.Failed {
		return
	}
	if r.transfer != nil {
		e.world.store.cancel(r.transfer)
	}
	r.state = directory.Unloading
	e.announce()
	e.unloadIfIdle(r)
}

// unloadIfIdle frees a replica that is being unloaded and runs no request.
func (e *engine) unloadIfIdle(r *replica) {
	if r.state != directory.Unloading || r.runningRequests > 0 {
		return
	}
	e.world.clock.after(unloadTime, func() {
		if r.state == directory.Unloading {
			e.endReplica(r, directory.Unloaded)
			e.world.policy.memoryFreed(e)
		}
	})
}

// endReplica removes a replica in a final state, which is reported for tombstoneTime.
func (e *engine) endReplica(r *replica, state directory.ReplicaState) {
	r.state = state
	e.replicas = slices.DeleteFunc(e.replicas, func(x *replica) bool { return x == r })
	e.endedReplicas = append(e.endedReplicas, r)
	e.world.clock.after(tombstoneTime, func() {
		e.endedReplicas = slices.DeleteFunc(e.endedReplicas, func(x *replica) bool { return x == r })
	})
	e.announce()
	e.world.replicaEnded(r)
}

// kill ends the engine's process: replicas and copies in memory are lost, copies on disk
// remain. The engine restarts as a new incarnation after the given time.
func (e *engine) kill(restartAfter time.Duration) {
	e.down = true
	killed := e.replicas
	e.replicas, e.endedReplicas = nil, nil
	e.memoryCopies.models = nil
	for _, r := range killed {
		if r.transfer != nil {
			e.world.store.cancel(r.transfer)
		}
		r.state = directory.Unloaded
		e.world.replicaKilled(r)
	}
	e.world.clock.after(restartAfter, func() {
		e.down = false
		e.incarnation++
		e.seq = 0
		e.announce()
		e.world.policy.memoryFreed(e)
	})
}

// announce reports the state of the engine to the policy after reportDelay.
func (e *engine) announce() {
	if e.announcePending || e.down {
		return
	}
	e.announcePending = true
	e.world.clock.after(reportDelay, func() {
		e.announcePending = false
		if !e.down {
			e.world.policy.engineReported(e)
		}
	})
}

// announcement returns the report of the current state.
func (e *engine) announcement() *directory.Announcement {
	e.seq++
	s := e.world.scenario
	a := &directory.Announcement{
		ID: e.id, Incarnation: e.incarnation, Seq: e.seq, Domain: e.domain, Kind: directory.Engine,
		Memory: s.Memory, Slots: 8 * max(len(e.replicas), 1), ChecksFencing: e.world.options.CheckFencing,
	}
	for _, list := range [][]*replica{e.replicas, e.endedReplicas} {
		for _, r := range list {
			a.Replicas = append(a.Replicas, e.report(r))
			a.Load.Running += r.runningRequests
		}
	}
	for _, m := range e.diskCopies.models {
		a.Copies = append(a.Copies, directory.Copy{Model: s.Models[m].Model, Tier: directory.TierDisk})
	}
	for _, m := range e.memoryCopies.models {
		a.Copies = append(a.Copies, directory.Copy{Model: s.Models[m].Model, Tier: directory.TierMemory})
	}
	return a
}

// report returns the announced state of a replica.
func (e *engine) report(r *replica) directory.Replica {
	report := directory.Replica{Grant: r.grant, State: r.state, Adapters: slices.Clone(r.adapters)}
	if r.model >= 0 {
		spec := &e.world.scenario.Models[r.model]
		report.Model = spec.Model
		if r.state != directory.Failed && r.state != directory.Unloaded {
			report.Memory = spec.Memory
		}
	}
	return report
}
