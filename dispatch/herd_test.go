package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
)

// herd replays a model that many nodes call at a few engines. Every node reports its
// running calls at an interval and gets the counts of all nodes in return, so that the
// counts that steer its choice are some hundred milliseconds old.
type herd struct {
	nodes, engines, slots int
	callsPerSecond        float64
	callTime              time.Duration
	reportInterval        time.Duration
	// random makes every call choose an engine at random, whatever its load.
	random bool
	seed   uint64
}

// engineQueue is how many calls an engine lets wait for a slot before it rejects more.
const engineQueue = 6

// herdResult is the number of calls, those that found all slots of their engine taken, and
// those that it rejected.
type herdResult struct{ calls, full, rejected int }

// herdEvent is an event of the replay.
type herdEvent struct {
	at time.Duration
	do func()
}

type herdEvents []herdEvent

func (h herdEvents) Len() int           { return len(h) }
func (h herdEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h herdEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *herdEvents) Push(x any)        { *h = append(*h, x.(herdEvent)) }
func (h *herdEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// herdRun is the state of a replay.
type herdRun struct {
	herd
	// arrivals and chance are separate, so that replays with the same seed have the same
	// arrivals.
	arrivals, chance *rand.Rand
	now              time.Duration
	events           herdEvents
	nodes            []*dispatch.Dispatcher
	// reported holds the running calls by engine that each node last reported.
	reported []map[string]int
	// present and waiting hold the calls in the slots and in the queue of each engine;
	// each waiting call is represented by the function that starts it.
	present map[string]int
	waiting map[string][]func()
	ids     []string
	lastID  int
	result  herdResult
}

// run replays the given time and returns the counts from the second second on.
func (h herd) run(d time.Duration) herdResult {
	r := &herdRun{
		herd: h, arrivals: rand.New(rand.NewPCG(h.seed, 1)), chance: rand.New(rand.NewPCG(h.seed, 2)),
		present: map[string]int{}, waiting: map[string][]func(){},
	}
	var upstreams []fleet.Upstream
	for i := range h.engines {
		u := engine(fmt.Sprint("e", i), h.slots, "m")
		upstreams = append(upstreams, u)
		r.ids = append(r.ids, u.ID)
	}
	for i := range h.nodes {
		r.nodes = append(r.nodes, newDispatcher(upstreams...))
		r.reported = append(r.reported, map[string]int{})
		r.after(time.Duration(r.chance.Int64N(int64(h.reportInterval))), func() { r.report(i) })
	}
	r.after(0, r.arrive)
	for len(r.events) > 0 && r.now < d {
		e := heap.Pop(&r.events).(herdEvent)
		r.now = e.at
		e.do()
	}
	return r.result
}

func (r *herdRun) after(d time.Duration, do func()) {
	heap.Push(&r.events, herdEvent{r.now + d, do})
}

// report sends the running calls of a node to the planner, and its counts back.
func (r *herdRun) report(node int) {
	running := map[string]int{}
	for id, byModel := range r.nodes[node].Running() {
		for _, n := range byModel {
			running[id] += n
		}
	}
	r.reported[node] = running
	total := map[string]int{}
	for _, counts := range r.reported {
		for id, n := range counts {
			total[id] += n
		}
	}
	r.nodes[node].ObservePlannerCounts(total, true, r.now)
	r.after(r.reportInterval, func() { r.report(node) })
}

// arrive submits a call at some node and schedules the next one.
func (r *herdRun) arrive() {
	node := r.arrivals.IntN(r.herd.nodes)
	r.lastID++
	r.submit(node, call(r.lastID, "m", 1, r.now))
	r.after(time.Duration(r.arrivals.ExpFloat64()/r.callsPerSecond*float64(second)), r.arrive)
}

func (r *herdRun) submit(node int, c dispatch.Call) {
	r.start(node, r.nodes[node].Submit(c, r.now))
}

// start carries out the verdicts of a node.
func (r *herdRun) start(node int, verdicts []dispatch.Verdict) {
	for _, v := range verdicts {
		if v.Action != dispatch.Start {
			continue
		}
		id := v.Upstream.ID
		if r.random {
			id = r.ids[r.chance.IntN(len(r.ids))]
		}
		r.arriveAt(id, node, v.ID)
	}
}

// arriveAt has a call arrive at an engine, which runs it, lets it wait or rejects it.
func (r *herdRun) arriveAt(id string, node int, c dispatch.CallID) {
	count := r.now > second
	if count {
		r.result.calls++
	}
	run := func() {
		r.present[id]++
		r.nodes[node].Observe(c, dispatch.Load{Running: r.present[id], Waiting: len(r.waiting[id]), Slots: r.slots}, r.now)
		r.after(r.callTime/2+time.Duration(r.chance.Int64N(int64(r.callTime))), func() { r.finish(id, node, c) })
	}
	if r.present[id] < r.slots {
		run()
		return
	}
	if count {
		r.result.full++
	}
	if len(r.waiting[id]) < engineQueue {
		r.waiting[id] = append(r.waiting[id], run)
		return
	}
	if count {
		r.result.rejected++
	}
	r.start(node, r.nodes[node].Finish(c, dispatch.Rejected, r.now))
}

// finish ends a call and starts the next one that waits at its engine.
func (r *herdRun) finish(id string, node int, c dispatch.CallID) {
	r.present[id]--
	if w := r.waiting[id]; len(w) > 0 {
		r.waiting[id] = w[1:]
		w[0]()
	}
	r.start(node, r.nodes[node].Finish(c, dispatch.Served, r.now))
}

// TestHerdSpreadsOverEngines checks that nodes that choose from old counts do not crowd
// the engine that was the least loaded: fewer calls must find their engine full than if
// every call took one at random.
func TestHerdSpreadsOverEngines(t *testing.T) {
	for _, nodes := range []int{9, 71, 195} {
		for seed := range uint64(3) {
			h := herd{
				nodes: nodes, engines: 8, slots: 12, callsPerSecond: 45, callTime: 1500 * ms,
				reportInterval: 400 * ms, seed: seed,
			}
			got := h.run(30 * second)
			h.random = true
			reference := h.run(30 * second)
			t.Logf("%d nodes, seed %d: %+v, at random %+v", nodes, seed, got, reference)
			if got.full > reference.full {
				t.Errorf("%d nodes, seed %d: %d of %d calls found their engine full, %d at random", nodes, seed, got.full, got.calls, reference.full)
			}
		}
	}
}
