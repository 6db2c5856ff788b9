package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// reportDelay is how long an engine's report takes to be seen.
	reportDelay = 20 * time.Millisecond
	// maxQueue bounds the calls that wait for one model.
	maxQueue = 500
	// cutNoticed is the time after which a cut-off node refuses what waits.
	cutNoticed = 2 * time.Second
)

// outcome is how a request ended.
type outcome uint8

const (
	open outcome = iota
	served
	refused
	missed
	cutOff
	limited
)

// request is one call on its way.
type request struct {
	Call
	deadline time.Duration
	outcome  outcome
	// cold says that no replica was ready on arrival; timed that the cold
	// start's time was recorded.
	cold  bool
	timed bool
}

// policy decides when replicas are loaded and unloaded.
type policy interface {
	// arrive decides on a new request by world.accept or world.refuse.
	arrive(q *request)
	// announced shows an engine's new report.
	announced(e *engine)
	// freed says that memory was freed on an engine.
	freed(e *engine)
	// ended says that a request of a model ended or left the queue.
	ended(m int)
	// wantsAdapter asks for an adapter on a ready replica.
	wantsAdapter(r *replica, adapter string)
	// charged reports whether the policy decided for this replica.
	charged(r *replica) bool
}

// Options alter a run.
type Options struct {
	// Days is the horizon.
	Days int
	Seed uint64
	// Warmup is the time at the start that is not measured.
	Warmup time.Duration
	// CheckFencing says whether the engines check fencing numbers.
	CheckFencing bool
	// Exact gives every load its nominal time.
	Exact bool
	// EmptyCaches leaves every engine without checkpoint copies at the start.
	EmptyCaches bool
	Faults      []Fault
}

// world is one run: the fakes, the requests and one policy.
type world struct {
	scenario *Scenario
	options  Options
	clock    *clock
	rng      *rand.Rand
	// noise draws the load times of each model.
	noise   []*rand.Rand
	store   *store
	engines []*engine
	policy  policy
	metrics *Metrics

	// queues hold the waiting requests by model, in the order of deadlines.
	queues   [][]*request
	running  []int
	replicas [][]*replica
	// idle and held are memory in bytes, accounted up to the instant counted.
	idle     int64
	held     int64
	counted  time.Duration
	adapting int
	cut      int
	limiters []*limiter
}

func newWorld(s *Scenario, options Options) *world {
	w := &world{
		scenario: s, options: options, clock: &clock{}, cut: -1,
		rng:      rand.New(rand.NewPCG(options.Seed, 23)),
		metrics:  newMetrics(len(s.Contracts)),
		noise:    make([]*rand.Rand, len(s.Models)),
		queues:   make([][]*request, len(s.Models)),
		running:  make([]int, len(s.Models)),
		replicas: make([][]*replica, len(s.Models)),
	}
	w.store = &store{clock: w.clock, limits: s.Store, slowdown: 1}
	for i := range s.Runners {
		w.engines = append(w.engines, &engine{
			id: fmt.Sprintf("runner-%02d", i), domain: fmt.Sprintf("domain-%d", i%3), world: w, incarnation: 1,
			disk: cache{limit: s.DiskCache}, memory: cache{limit: s.MemoryCache},
		})
	}
	for m := range s.Models {
		if w.rng.Float64() < 0.3 && !options.EmptyCaches {
			e := w.engines[w.rng.IntN(len(w.engines))]
			e.disk.add(m, func(x int) int64 { return s.Models[x].Size })
		}
	}
	for i := range s.Contracts {
		w.limiters = append(w.limiters, newLimiter(s.Contracts[i].Capacity))
	}
	return w
}

// run drives the calls through a policy.
func (w *world) run(calls []Call, p policy) *Metrics {
	w.policy = p
	for _, e := range w.engines {
		e.announce()
	}
	for _, f := range w.options.Faults {
		f.schedule(w)
	}
	w.feed(calls, 0)
	end := time.Duration(w.options.Days) * dayLength
	w.clock.at(w.options.Warmup, w.resetMetrics)
	w.clock.runUntil(end)
	w.account()
	w.metrics.finish(w)
	return w.metrics
}

func (w *world) feed(calls []Call, next int) {
	if next == len(calls) {
		return
	}
	w.clock.at(calls[next].At, func() {
		w.arrive(calls[next])
		w.feed(calls, next+1)
	})
}

func (w *world) resetMetrics() {
	w.account()
	violations, over := w.metrics.Violations, w.metrics.OverCommits
	w.metrics = newMetrics(len(w.scenario.Contracts))
	w.metrics.Violations, w.metrics.OverCommits = violations, over
}

func (w *world) arrive(c Call) {
	f := &w.scenario.Models[c.Model]
	q := &request{Call: c, deadline: w.clock.now + f.Wait}
	w.metrics.Calls++
	if c.Node == w.cut {
		w.finish(q, cutOff)
		return
	}
	if !w.limiters[w.customer(c.Model)].allow(w.clock.now) {
		w.finish(q, limited)
		return
	}
	q.cold = w.readyFor(q) == nil
	w.policy.arrive(q)
}

func (w *world) customer(m int) int { return m % len(w.scenario.Contracts) }

func (w *world) accept(q *request) {
	w.queues[q.Model] = append(w.queues[q.Model], q)
	w.clock.at(q.deadline, func() { w.expire(q) })
	w.dispatch(q.Model)
}

func (w *world) refuse(q *request) { w.finish(q, refused) }

// expire ends a request whose answer did not start within its wait. It stays
// in the queue until a replica is ready, so that its cold start is timed.
func (w *world) expire(q *request) {
	if q.outcome == open {
		w.finish(q, missed)
		w.policy.ended(q.Model)
	}
}

func (w *world) finish(q *request, o outcome) {
	if q.outcome != open {
		w.violate("a request ended twice")
	}
	if w.clock.now > q.deadline {
		w.violate("a request ended after its wait")
	}
	q.outcome = o
	w.metrics.count(o)
}

// readyFor returns a ready replica that the request's node knows of.
func (w *world) readyFor(q *request) *replica {
	for _, r := range w.replicas[q.Model] {
		if r.state == directory.Ready && w.visible(r, q.Node) {
			return r
		}
	}
	return nil
}

func (w *world) visible(r *replica, node int) bool {
	return r.owner < 0 || r.owner == node || w.clock.now >= r.readyAt+loadReportLag
}

// dispatch starts waiting requests on ready replicas with free slots.
func (w *world) dispatch(m int) {
	queue := w.queues[m]
	if len(queue) == 0 {
		return
	}
	kept := queue[:0]
	for _, q := range queue {
		if !w.start(q) {
			kept = append(kept, q)
		}
	}
	clear(queue[len(kept):])
	w.queues[m] = kept
}

// start begins a request's answer if a replica can take it, and reports whether
// the request leaves the queue.
func (w *world) start(q *request) bool {
	ready := false
	var best *replica
	for _, r := range w.replicas[q.Model] {
		if r.state != directory.Ready || !w.visible(r, q.Node) {
			continue
		}
		ready = true
		if r.running >= w.scenario.Models[q.Model].Slots || q.outcome != open {
			continue
		}
		if q.Adapter != "" && !slices.Contains(r.adapters, q.Adapter) {
			w.policy.wantsAdapter(r, q.Adapter)
			continue
		}
		if best == nil || r.running < best.running {
			best = r
		}
	}
	if ready && q.cold && !q.timed {
		q.timed = true
		w.metrics.recordCold(w.clock.now - q.At)
	}
	if q.outcome != open {
		return ready || w.clock.now > q.At+time.Hour
	}
	if best == nil {
		return false
	}
	w.finish(q, served)
	w.metrics.recordStart(w.customer(q.Model), w.clock.now-q.At)
	w.execute(q, best)
	return true
}

func (w *world) execute(q *request, r *replica) {
	w.account()
	if r.running == 0 {
		w.idle -= w.scenario.Models[r.model].Memory
	}
	r.running++
	w.running[q.Model]++
	w.clock.after(q.Service, func() { w.complete(q, r) })
}

func (w *world) complete(q *request, r *replica) {
	if r.running == 0 {
		return // the replica was killed
	}
	w.account()
	r.running--
	w.running[q.Model]--
	r.used = w.clock.now
	if r.running == 0 {
		w.idle += w.scenario.Models[r.model].Memory
		r.engine.unloadIdle(r)
	}
	w.dispatch(q.Model)
	w.policy.ended(q.Model)
}

// startsLoad accounts for a new replica and counts duplicates: loads beyond
// what the model's requests can use.
func (w *world) startsLoad(r *replica) {
	w.account()
	f := &w.scenario.Models[r.model]
	w.metrics.Loads++
	others := 0
	for _, x := range w.replicas[r.model] {
		if x.state == directory.Ready || x.state == directory.Loading {
			others++
		}
	}
	needed := (len(w.queues[r.model]) + w.running[r.model] + f.Slots - 1) / f.Slots
	if others >= max(min(needed, f.Replicas), 1) {
		w.metrics.Duplicates++
	}
	w.idle += f.Memory
	w.held += f.Memory
	w.replicas[r.model] = append(w.replicas[r.model], r)
}

func (w *world) replicaReady(r *replica) {
	w.check()
	w.dispatch(r.model)
	if r.owner >= 0 {
		w.clock.after(loadReportLag, func() { w.dispatch(r.model) })
	}
}

// replicaEnded accounts for a replica that was unloaded or failed.
func (w *world) replicaEnded(r *replica) {
	if r.model < 0 || !slices.Contains(w.replicas[r.model], r) {
		return
	}
	w.account()
	memory := w.scenario.Models[r.model].Memory
	w.held -= memory
	if r.running == 0 {
		w.idle -= memory
	}
	w.replicas[r.model] = slices.DeleteFunc(w.replicas[r.model], func(x *replica) bool { return x == r })
}

// replicaKilled accounts for a replica whose engine died.
func (w *world) replicaKilled(r *replica) {
	w.replicaEnded(r)
	w.running[r.model] -= r.running
	w.metrics.Broken += r.running
	r.running = 0
}

func (w *world) account() {
	span := (w.clock.now - w.counted).Hours()
	w.metrics.IdleHours += span * float64(w.idle) / float64(w.scenario.Memory)
	w.metrics.HeldHours += span * float64(w.held) / float64(w.scenario.Memory)
	w.counted = w.clock.now
}

// loadAdapter loads an adapter; beyond the shared limit each takes longer.
func (w *world) loadAdapter(r *replica, adapter string) {
	w.adapting++
	w.metrics.AdaptersPeak = max(w.metrics.AdaptersPeak, w.adapting)
	low, high := w.scenario.AdapterTime[0], w.scenario.AdapterTime[1]
	took := low + time.Duration(w.rng.Float64()*float64(high-low))
	if w.adapting > adaptersInFlight {
		took = took * time.Duration(w.adapting) / adaptersInFlight
	}
	w.clock.after(took, func() {
		w.adapting--
		if !slices.Contains(r.adapters, adapter) {
			r.adapters = append(r.adapters, adapter)
		}
		r.engine.announce()
		w.dispatch(r.model)
	})
}

// check verifies that memory is not over-committed and that no replica is
// loaded that was not decided.
func (w *world) check() {
	for _, e := range w.engines {
		if e.used() > w.scenario.Memory {
			w.violate("memory over-committed on " + e.id)
		}
		for _, r := range e.replicas {
			if !w.policy.charged(r) {
				w.violate("a replica without a grant on " + e.id)
			}
		}
	}
}

func (w *world) violate(what string) {
	w.metrics.Violations = append(w.metrics.Violations, fmt.Sprintf("%v: %s", w.clock.now, what))
}
