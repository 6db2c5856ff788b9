package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// reportDelay is the time until an engine's report reaches the policy.
	reportDelay = 20 * time.Millisecond
	// maxQueue bounds the requests that wait for one model.
	maxQueue = 500
	// cutDetectionTime is the time after which a disconnected entry node ends its waiting
	// requests.
	cutDetectionTime = 2 * time.Second
)

// outcome is the result of a request; pending until it has one.
type outcome uint8

const (
	pending outcome = iota
	served
	refused
	missed
	cutOff
	rateLimited
)

// request is a call that has arrived.
type request struct {
	Call
	deadline time.Duration
	outcome  outcome
	// coldStart is set if no replica was ready on arrival. coldStartRecorded is set once
	// the metrics include the time from arrival until one was ready.
	coldStart         bool
	coldStartRecorded bool
}

// policy decides when replicas are loaded and unloaded.
type policy interface {
	// requestArrived calls world.accept or world.refuse for a new request.
	requestArrived(q *request)
	// engineReported handles a new report of an engine.
	engineReported(e *engine)
	// memoryFreed is called after memory was freed on an engine.
	memoryFreed(e *engine)
	// requestEnded is called after a request of a model ended or left the queue.
	requestEnded(m int)
	// adapterMissing is called when a request needs an adapter that a ready replica
	// lacks.
	adapterMissing(r *replica, adapter string)
	// hasGrant reports whether the replica has a grant of the policy. Policies without
	// grants return true.
	hasGrant(r *replica) bool
}

// Options configure a run.
type Options struct {
	// Days is the simulated time in days.
	Days int
	Seed uint64
	// Warmup is the time at the start that the metrics exclude.
	Warmup time.Duration
	// CheckFencing makes the engines refuse old fencing numbers.
	CheckFencing bool
	// ExactLoadTimes gives every load its nominal duration.
	ExactLoadTimes bool
	// EmptyCaches starts all engines without checkpoint copies.
	EmptyCaches bool
	Faults      []Fault
}

// world is the simulated system of one run: engines, weight store, requests and policy.
type world struct {
	scenario *Scenario
	options  Options
	clock    *clock
	rng      *rand.Rand
	// loadNoiseRNGs are the random sources of load durations by model.
	loadNoiseRNGs []*rand.Rand
	store         *store
	engines       []*engine
	policy        policy
	metrics       *Metrics

	// queues hold the waiting requests by model in the order of arrival, which is that of
	// their deadlines; runningRequests and replicas are by model, too.
	queues          [][]*request
	runningRequests []int
	replicas        [][]*replica
	// idleMemory and heldMemory are the memory of idle replicas and of all replicas in
	// bytes. The metrics include them up to accountedUntil.
	idleMemory     int64
	heldMemory     int64
	accountedUntil time.Duration
	// adapterLoads is the number of adapter loads in progress.
	adapterLoads int
	// cutOffNode is the index of the disconnected entry node; -1 if none.
	cutOffNode int
	limiters   []*limiter
}

// newWorld returns the initial state of a run. Without EmptyCaches, about 30% of the
// models have a copy on the disk of one engine.
func newWorld(s *Scenario, options Options) *world {
	w := &world{
		scenario: s, options: options, clock: &clock{}, cutOffNode: -1,
		rng:             rand.New(rand.NewPCG(options.Seed, 23)),
		metrics:         newMetrics(len(s.Contracts)),
		loadNoiseRNGs:   make([]*rand.Rand, len(s.Models)),
		queues:          make([][]*request, len(s.Models)),
		runningRequests: make([]int, len(s.Models)),
		replicas:        make([][]*replica, len(s.Models)),
	}
	w.store = &store{clock: w.clock, limits: s.Store, slowdown: 1}
	for i := range s.Engines {
		w.engines = append(w.engines, &engine{
			id: fmt.Sprintf("runner-%02d", i), domain: fmt.Sprintf("domain-%d", i%3), world: w, incarnation: 1,
			diskCopies: cache{limit: s.DiskCache}, memoryCopies: cache{limit: s.MemoryCache},
		})
	}
	for m := range s.Models {
		if w.rng.Float64() < 0.3 && !options.EmptyCaches {
			e := w.engines[w.rng.IntN(len(w.engines))]
			e.diskCopies.add(m, func(x int) int64 { return s.Models[x].Size })
		}
	}
	for i := range s.Contracts {
		w.limiters = append(w.limiters, newLimiter(s.Contracts[i].Capacity))
	}
	return w
}

// run simulates the calls under a policy and returns the metrics after the warm-up.
func (w *world) run(calls []Call, p policy) *Metrics {
	w.policy = p
	for _, e := range w.engines {
		e.announce()
	}
	for _, f := range w.options.Faults {
		f.schedule(w)
	}
	w.scheduleCalls(calls, 0)
	end := time.Duration(w.options.Days) * dayLength
	w.clock.at(w.options.Warmup, w.resetMetrics)
	w.clock.runUntil(end)
	w.accountMemory()
	w.metrics.finish(w)
	return w.metrics
}

// scheduleCalls schedules the arrival of calls[next], which in turn schedules the next
// one.
func (w *world) scheduleCalls(calls []Call, next int) {
	if next == len(calls) {
		return
	}
	w.clock.at(calls[next].At, func() {
		w.arrive(calls[next])
		w.scheduleCalls(calls, next+1)
	})
}

// resetMetrics discards the metrics of the warm-up except violations and over-commits.
func (w *world) resetMetrics() {
	w.accountMemory()
	violations, overCommits := w.metrics.Violations, w.metrics.OverCommits
	w.metrics = newMetrics(len(w.scenario.Contracts))
	w.metrics.Violations, w.metrics.OverCommits = violations, overCommits
}

// arrive handles the arrival of a call. Calls at the disconnected node and calls beyond
// the contract's rate do not reach the policy.
func (w *world) arrive(c Call) {
	spec := &w.scenario.Models[c.Model]
	q := &request{Call: c, deadline: w.clock.now + spec.Wait}
	w.metrics.Calls++
	if c.Node == w.cutOffNode {
		w.finish(q, cutOff)
		return
	}
	if !w.limiters[w.customerIndex(c.Model)].allow(w.clock.now) {
		w.finish(q, rateLimited)
		return
	}
	q.coldStart = w.readyReplica(q) == nil
	w.policy.requestArrived(q)
}

// customerIndex returns the index of a model's customer, which is also the index of the
// customer's contract.
func (w *world) customerIndex(m int) int { return m % len(w.scenario.Contracts) }

// accept queues a request and starts it if possible.
func (w *world) accept(q *request) {
	w.queues[q.Model] = append(w.queues[q.Model], q)
	w.clock.at(q.deadline, func() { w.expire(q) })
	w.dispatch(q.Model)
}

// refuse ends a request that the policy does not admit.
func (w *world) refuse(q *request) { w.finish(q, refused) }

// expire ends a request whose answer did not start before its deadline. The request stays
// in the queue until a replica is ready, so that its cold start is recorded.
func (w *world) expire(q *request) {
	if q.outcome == pending {
		w.finish(q, missed)
		w.policy.requestEnded(q.Model)
	}
}

// finish sets the outcome of a request.
func (w *world) finish(q *request, o outcome) {
	if q.outcome != pending {
		w.recordViolation("a request ended twice")
	}
	if w.clock.now > q.deadline {
		w.recordViolation("a request ended after its wait")
	}
	q.outcome = o
	w.metrics.countOutcome(o)
}

// readyReplica returns a ready replica that the request's node knows of, or nil.
func (w *world) readyReplica(q *request) *replica {
	for _, r := range w.replicas[q.Model] {
		if r.state == directory.Ready && w.isVisible(r, q.Node) {
			return r
		}
	}
	return nil
}

// isVisible reports whether a node knows of a ready replica.
func (w *world) isVisible(r *replica, node int) bool {
	return r.owner < 0 || r.owner == node || w.clock.now >= r.readyAt+loadReportLag
}

// dispatch starts a model's waiting requests on ready replicas with free slots.
func (w *world) dispatch(m int) {
	queue := w.queues[m]
	if len(queue) == 0 {
		return
	}
	kept := queue[:0]
	for _, q := range queue {
		if !w.tryStart(q) {
			kept = append(kept, q)
		}
	}
	clear(queue[len(kept):])
	w.queues[m] = kept
}

// tryStart starts a request on the least loaded replica that can take it, and reports
// whether the request leaves the queue. A request that has already ended leaves it once a
// replica is ready, or an hour after its arrival.
func (w *world) tryStart(q *request) bool {
	ready := false
	var best *replica
	for _, r := range w.replicas[q.Model] {
		if r.state != directory.Ready || !w.isVisible(r, q.Node) {
			continue
		}
		ready = true
		if r.runningRequests >= w.scenario.Models[q.Model].Slots || q.outcome != pending {
			continue
		}
		if q.Adapter != "" && !slices.Contains(r.adapters, q.Adapter) {
			w.policy.adapterMissing(r, q.Adapter)
			continue
		}
		if best == nil || r.runningRequests < best.runningRequests {
			best = r
		}
	}
	if ready && q.coldStart && !q.coldStartRecorded {
		q.coldStartRecorded = true
		w.metrics.recordColdStart(w.clock.now - q.At)
	}
	if q.outcome != pending {
		return ready || w.clock.now > q.At+time.Hour
	}
	if best == nil {
		return false
	}
	w.finish(q, served)
	w.metrics.recordAnswerStart(w.customerIndex(q.Model), w.clock.now-q.At)
	w.execute(q, best)
	return true
}

// execute runs a request on a replica for its service time.
func (w *world) execute(q *request, r *replica) {
	w.accountMemory()
	if r.runningRequests == 0 {
		w.idleMemory -= w.scenario.Models[r.model].Memory
	}
	r.runningRequests++
	w.runningRequests[q.Model]++
	w.clock.after(q.ServiceTime, func() { w.complete(q, r) })
}

// complete ends a request on its replica.
func (w *world) complete(q *request, r *replica) {
	if r.runningRequests == 0 {
		return // the engine was killed and its requests were counted as broken
	}
	w.accountMemory()
	r.runningRequests--
	w.runningRequests[q.Model]--
	r.lastUsed = w.clock.now
	if r.runningRequests == 0 {
		w.idleMemory += w.scenario.Models[r.model].Memory
		r.engine.unloadIfIdle(r)
	}
	w.dispatch(q.Model)
	w.policy.requestEnded(q.Model)
}

// loadStarted records a new replica. A load counts as a duplicate if the other loading
// and ready replicas suffice for the model's queued and running requests.
func (w *world) loadStarted(r *replica) {
	w.accountMemory()
	spec := &w.scenario.Models[r.model]
	w.metrics.Loads++
	others := 0
	for _, x := range w.replicas[r.model] {
		if x.state == directory.Ready || x.state == directory.Loading {
			others++
		}
	}
	needed := (len(w.queues[r.model]) + w.runningRequests[r.model] + spec.Slots - 1) / spec.Slots
	if others >= max(min(needed, spec.Replicas), 1) {
		w.metrics.Duplicates++
	}
	w.idleMemory += spec.Memory
	w.heldMemory += spec.Memory
	w.replicas[r.model] = append(w.replicas[r.model], r)
}

// replicaReady starts waiting requests on a new replica. If the replica has an owner, the
// requests at other nodes than the owner start only after loadReportLag.
func (w *world) replicaReady(r *replica) {
	w.checkInvariants()
	w.dispatch(r.model)
	if r.owner >= 0 {
		w.clock.after(loadReportLag, func() { w.dispatch(r.model) })
	}
}

// replicaEnded removes a replica from the accounts after it was unloaded or killed or its
// load failed.
func (w *world) replicaEnded(r *replica) {
	if r.model < 0 || !slices.Contains(w.replicas[r.model], r) {
		return
	}
	w.accountMemory()
	memory := w.scenario.Models[r.model].Memory
	w.heldMemory -= memory
	if r.runningRequests == 0 {
		w.idleMemory -= memory
	}
	w.replicas[r.model] = slices.DeleteFunc(w.replicas[r.model], func(x *replica) bool { return x == r })
}

// replicaKilled removes a replica of a killed engine and counts its running requests as
// broken.
func (w *world) replicaKilled(r *replica) {
	w.replicaEnded(r)
	w.runningRequests[r.model] -= r.runningRequests
	w.metrics.Broken += r.runningRequests
	r.runningRequests = 0
}

// accountMemory adds the memory held since the last call to the metrics.
func (w *world) accountMemory() {
	span := (w.clock.now - w.accountedUntil).Hours()
	w.metrics.IdleHours += span * float64(w.idleMemory) / float64(w.scenario.Memory)
	w.metrics.HeldHours += span * float64(w.heldMemory) / float64(w.scenario.Memory)
	w.accountedUntil = w.clock.now
}

// loadAdapter simulates the load of an adapter. If more than adaptersInFlight loads are in
// progress, the new load takes longer in proportion to their number.
func (w *world) loadAdapter(r *replica, adapter string) {
	w.adapterLoads++
	w.metrics.AdaptersPeak = max(w.metrics.AdaptersPeak, w.adapterLoads)
	low, high := w.scenario.AdapterLoadTime[0], w.scenario.AdapterLoadTime[1]
	duration := low + time.Duration(w.rng.Float64()*float64(high-low))
	if w.adapterLoads > adaptersInFlight {
		duration = duration * time.Duration(w.adapterLoads) / adaptersInFlight
	}
	w.clock.after(duration, func() {
		w.adapterLoads--
		if !slices.Contains(r.adapters, adapter) {
			r.adapters = append(r.adapters, adapter)
		}
		r.engine.announce()
		w.dispatch(r.model)
	})
}

// checkInvariants records a violation if an engine's memory is over-committed or an engine
// has a replica without a grant.
func (w *world) checkInvariants() {
	for _, e := range w.engines {
		if e.usedMemory() > w.scenario.Memory {
			w.recordViolation("memory over-committed on " + e.id)
		}
		for _, r := range e.replicas {
			if !w.policy.hasGrant(r) {
				w.recordViolation("a replica without a grant on " + e.id)
			}
		}
	}
}

// recordViolation adds a violated invariant with its time to the metrics.
func (w *world) recordViolation(violation string) {
	w.metrics.Violations = append(w.metrics.Violations, fmt.Sprintf("%v: %s", w.clock.now, violation))
}
