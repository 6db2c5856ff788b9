package policybench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// initTime is the part of a load that does not depend on the size.
	initTime = 500 * time.Millisecond
	// initSpeed is the rest of the set-up, in bytes a second.
	initSpeed = 20 * float64(gib)
	// diskSpeed and memorySpeed are in bytes a second.
	diskSpeed   = 6 * float64(gib)
	memorySpeed = 25 * float64(gib)
	// unloadTime is how long freeing a replica takes.
	unloadTime = 300 * time.Millisecond
	// loadSpread is the standard deviation of the logarithm of load times.
	loadSpread = 0.15
	// stragglerChance is the share of loads that take twice as long.
	stragglerChance = 0.005
	// tombstoneTime is how long an engine reports an ended replica.
	tombstoneTime = 30 * time.Second
)

// replica is a replica on a fake engine.
type replica struct {
	grant    uint64
	model    int
	engine   *engine
	state    directory.ReplicaState
	running  int
	adapters []string
	readyAt  time.Duration
	// owner is the node that ordered the load; -1 for all.
	owner    int
	transfer *transfer
	// used is when the last request ended here.
	used time.Duration
	// asked are the adapters that a baseline asked for.
	asked []string
}

// engine is a fake model engine.
type engine struct {
	id          string
	domain      string
	world       *world
	incarnation uint64
	seq         uint64
	down        bool
	replicas    []*replica
	ended       []*replica
	disk        cache
	memory      cache
	announced   bool
	// failing counts the next loads that fail, fence is the highest fencing
	// number seen.
	failing int
	fence   uint64
}

// cache is a least-recently-used set of checkpoint copies.
type cache struct {
	limit  int64
	models []int
}

func (c *cache) has(m int) bool { return slices.Contains(c.models, m) }

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

func (e *engine) used() int64 {
	total := int64(0)
	for _, r := range e.replicas {
		total += e.world.scenario.Models[r.model].Memory
	}
	return total
}

func (e *engine) free() int64 { return e.world.scenario.Memory - e.used() }

func (e *engine) tier(m int) directory.Tier {
	switch {
	case e.memory.has(m):
		return directory.TierMemory
	case e.disk.has(m):
		return directory.TierDisk
	default:
		return directory.TierRemote
	}
}

func (e *engine) find(grant uint64) *replica {
	for _, r := range e.replicas {
		if r.grant == grant {
			return r
		}
	}
	for _, r := range e.ended {
		if r.grant == grant {
			return r
		}
	}
	return nil
}

// load starts a load, or returns nil if the engine refuses it.
func (e *engine) load(grant uint64, m, owner int) *replica {
	w := e.world
	if e.down || e.find(grant) != nil {
		return nil
	}
	r := &replica{grant: grant, model: m, engine: e, state: directory.Loading, owner: owner}
	if e.free() < w.scenario.Models[m].Memory {
		w.metrics.OverCommits++
		e.end(r, directory.Failed)
		return nil
	}
	w.startsLoad(r)
	e.replicas = append(e.replicas, r)
	e.read(r)
	e.announce()
	return r
}

// read brings the checkpoint into the accelerator.
func (e *engine) read(r *replica) {
	w := e.world
	size := float64(w.scenario.Models[r.model].Size)
	noise := w.loadNoise(r.model)
	scaled := func(s float64) time.Duration { return time.Duration(s * noise * float64(time.Second)) }
	setUp := scaled(initTime.Seconds() + size/initSpeed)
	switch e.tier(r.model) {
	case directory.TierMemory:
		w.clock.after(scaled(size/memorySpeed)+setUp, func() { e.finish(r) })
	case directory.TierDisk:
		w.clock.after(scaled(size/diskSpeed)+setUp, func() { e.finish(r) })
	default:
		r.transfer = w.store.fetch(scaled(size/w.scenario.Fetch), func() {
			r.transfer = nil
			if r.state != directory.Loading {
				return
			}
			e.keepCopy(r.model)
			e.announce()
			w.clock.after(setUp, func() { e.finish(r) })
		})
	}
}

// loadNoise draws the ratio of a load's time to the nominal one. Each model has
// its own sequence, so that runs which differ in other models' loads compare.
func (w *world) loadNoise(m int) float64 {
	if w.options.Exact {
		return 1
	}
	if w.noise[m] == nil {
		w.noise[m] = rand.New(rand.NewPCG(w.options.Seed, uint64(100+m)))
	}
	rng := w.noise[m]
	noise := math.Exp(loadSpread * rng.NormFloat64())
	if rng.Float64() < stragglerChance {
		noise *= 2
	}
	return noise
}

func (e *engine) keepCopy(m int) {
	size := func(x int) int64 { return e.world.scenario.Models[x].Size }
	e.memory.add(m, size)
	e.disk.add(m, size)
}

func (e *engine) finish(r *replica) {
	if r.state != directory.Loading {
		return
	}
	if e.failing > 0 {
		e.failing--
		e.end(r, directory.Failed)
		return
	}
	e.keepCopy(r.model)
	r.state = directory.Ready
	r.readyAt = e.world.clock.now
	r.used = r.readyAt
	e.announce()
	e.world.replicaReady(r)
}

// unload frees a replica once its running requests ended.
func (e *engine) unload(grant uint64) {
	r := e.find(grant)
	if e.down {
		return
	}
	if r == nil {
		e.end(&replica{grant: grant, model: -1, engine: e}, directory.Unloaded)
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
	e.unloadIdle(r)
}

func (e *engine) unloadIdle(r *replica) {
	if r.state != directory.Unloading || r.running > 0 {
		return
	}
	e.world.clock.after(unloadTime, func() {
		if r.state == directory.Unloading {
			e.end(r, directory.Unloaded)
			e.world.policy.freed(e)
		}
	})
}

func (e *engine) end(r *replica, state directory.ReplicaState) {
	r.state = state
	e.replicas = slices.DeleteFunc(e.replicas, func(x *replica) bool { return x == r })
	e.ended = append(e.ended, r)
	e.world.clock.after(tombstoneTime, func() {
		e.ended = slices.DeleteFunc(e.ended, func(x *replica) bool { return x == r })
	})
	e.announce()
	e.world.replicaEnded(r)
}

// kill ends the engine's process: every replica is gone, the disk remains.
func (e *engine) kill(restartAfter time.Duration) {
	e.down = true
	old := e.replicas
	e.replicas, e.ended = nil, nil
	e.memory.models = nil
	for _, r := range old {
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
		e.world.policy.freed(e)
	})
}

// announce shows the engine's state to the policy after the report's delay.
func (e *engine) announce() {
	if e.announced || e.down {
		return
	}
	e.announced = true
	e.world.clock.after(reportDelay, func() {
		e.announced = false
		if !e.down {
			e.world.policy.announced(e)
		}
	})
}

func (e *engine) announcement() *directory.Announcement {
	e.seq++
	s := e.world.scenario
	a := &directory.Announcement{
		ID: e.id, Incarnation: e.incarnation, Seq: e.seq, Domain: e.domain, Kind: directory.Engine,
		Memory: s.Memory, Slots: 8 * max(len(e.replicas), 1), ChecksFencing: e.world.options.CheckFencing,
	}
	for _, list := range [][]*replica{e.replicas, e.ended} {
		for _, r := range list {
			a.Replicas = append(a.Replicas, e.report(r))
			a.Load.Running += r.running
		}
	}
	for _, m := range e.disk.models {
		a.Copies = append(a.Copies, directory.Copy{Model: s.Models[m].Model, Tier: directory.TierDisk})
	}
	for _, m := range e.memory.models {
		a.Copies = append(a.Copies, directory.Copy{Model: s.Models[m].Model, Tier: directory.TierMemory})
	}
	return a
}

func (e *engine) report(r *replica) directory.Replica {
	report := directory.Replica{Grant: r.grant, State: r.state, Adapters: slices.Clone(r.adapters)}
	if r.model >= 0 {
		f := &e.world.scenario.Models[r.model]
		report.Model = f.Model
		if r.state != directory.Failed && r.state != directory.Unloaded {
			report.Memory = f.Memory
		}
	}
	return report
}
