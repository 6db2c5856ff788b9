package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/ratelimit"
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
	// brittle, unless it is zero, is the number of rejections in a second that an engine bears. From
	// brittleNotice on it lets one call wait only.
	brittle float64
	// room, unless it is zero, is the number of calls that an engine runs at once for want of memory, though
	// it states more slots.
	room int
	// queue, unless it is zero, is how many calls an engine lets wait for a slot, in place of engineQueue.
	queue int
	// memory, unless it is zero, is the memory of an engine in tokens; prompts then differ by four times and take more of
	// it than slots. unbounded has nodes not know of it.
	memory    int
	unbounded bool
	// leaderLostAt, unless it is zero, is when there is no leader any more, for leaderless.
	leaderLostAt, leaderless time.Duration
	// prompts, unless it is nil, describes calls with prompts; engines then let all calls run.
	prompts *prompts
}

// brittleNotice is how long engines say that they are brittle before they fall over.
const brittleNotice = 3 * time.Second

// engineQueue is how many calls an engine lets wait for a slot before it rejects more.
const engineQueue = 6

// herdResult is the number of calls, those that found all slots of their engine taken, and
// those that it rejected.
type herdResult struct {
	calls, full, rejected, falls int
	// late is the number of calls that waited in their engine beyond their target, and refused that of calls that
	// the nodes refused.
	late, refused int
	// excess is the number of calls that an engine began beyond its memory. long and longStarted count the longest tenth
	// of the calls, and those of them that were sent.
	excess, long, longStarted int
}

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
	reported []map[string]dispatch.Use
	// total and totalTokens are the sums over all nodes.
	total       map[string]int
	totalTokens map[string]dispatch.EngineTokens
	// present and waiting hold the calls in the slots and in the queue of each engine;
	// each waiting call is represented by the function that starts it.
	present map[string]int
	waiting map[string][]func()
	ids     []string
	lastID  int
	// rejections holds when each engine rejected calls, since it last fell over.
	rejections map[string][]time.Duration
	// leader divides the slots of brittle engines; nil if there is none. asking is set for nodes that
	// are about to report to it.
	leader *ratelimit.Slots
	asking map[int]bool
	result herdResult
	// held holds the tokens of the calls that run at each engine, and lengths those of each call.
	held    map[string]int
	lengths map[dispatch.CallID]int
}

// run replays the given time and returns the counts from the second second on.
func (h herd) run(d time.Duration) herdResult {
	r := &herdRun{
		herd: h, arrivals: rand.New(rand.NewPCG(h.seed, 1)), chance: rand.New(rand.NewPCG(h.seed, 2)),
		present: map[string]int{}, waiting: map[string][]func(){}, rejections: map[string][]time.Duration{},
		leader: ratelimit.NewSlots(-time.Minute), asking: map[int]bool{},
		total: map[string]int{}, totalTokens: map[string]dispatch.EngineTokens{},
		held: map[string]int{}, lengths: map[dispatch.CallID]int{},
	}
	var upstreams []fleet.Upstream
	for i := range h.engines {
		u := engine(fmt.Sprint("e", i), h.slots, "m")
		upstreams = append(upstreams, u)
		r.ids = append(r.ids, u.ID)
	}
	for i := range h.nodes {
		r.nodes = append(r.nodes, newDispatcher(upstreams...))
		if !h.unbounded {
			r.nodes[i].SetMemory(map[string]int{"llm": h.memory}, 0)
		}
		r.nodes[i].SetEntryNodes(h.nodes, fmt.Sprint("n", i))
		r.after(time.Duration(r.chance.Int64N(int64(watchInterval))), func() { r.watch(i) })
		r.reported = append(r.reported, nil)
		r.after(time.Duration(r.chance.Int64N(int64(h.reportInterval))), func() { r.report(i) })
		if h.memory > 0 {
			r.after(tickInterval, func() { r.tick(i) })
		}
	}
	if h.leaderLostAt > 0 {
		r.after(h.leaderLostAt, func() { r.leader = nil })
		r.after(h.leaderLostAt+h.leaderless, func() { r.leader = ratelimit.NewSlots(r.now) })
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
	for id, use := range r.reported[node] {
		r.total[id] -= use.Calls
		sum := r.totalTokens[id]
		r.totalTokens[id] = dispatch.EngineTokens{Unread: sum.Unread - use.Unread, Held: sum.Held - use.Held}
	}
	r.reported[node] = map[string]dispatch.Use{}
	for id, byModel := range r.nodes[node].Running() {
		for _, use := range byModel { // there is one model
			r.reported[node][id] = use
			r.total[id] += use.Calls
			sum := r.totalTokens[id]
			r.totalTokens[id] = dispatch.EngineTokens{Unread: sum.Unread + use.Unread, Held: sum.Held + use.Held}
		}
	}
	if r.leaderLostAt > 0 && r.now >= r.leaderLostAt && r.now < r.leaderLostAt+r.leaderless {
		r.after(r.reportInterval, func() { r.report(node) })
		return
	}
	r.nodes[node].ObservePlannerCounts(r.total, true, r.now)
	r.nodes[node].ObservePlannerTokens(r.totalTokens, true)
	r.askForSlots(node)
	r.after(r.reportInterval, func() { r.report(node) })
}

const (
	// askDelay and askInterval are when a node asks for slots after a call began to wait, and how often
	// it does as long as it wants or has some.
	askDelay    = 20 * ms
	askInterval = 150 * ms
	// watchInterval is how often a node hears from the leader.
	watchInterval = time.Second
)

// tickInterval is how often a node decides on the calls that wait for memory.
const tickInterval = 20 * ms

// tick has a node decide on the calls that wait.
func (r *herdRun) tick(node int) {
	if r.nodes[node].Waiting() > 0 {
		r.start(node, r.nodes[node].Tick(r.now))
	}
	r.after(tickInterval, func() { r.tick(node) })
}

// watch tells a node what the leader knows of brittle services.
func (r *herdRun) watch(node int) {
	if r.leader != nil {
		r.leader.Expire(r.now)
		services, _ := r.leader.Services(r.now)
		r.nodes[node].SetBrittle(services, r.now)
	}
	r.start(node, r.nodes[node].Tick(r.now))
	r.after(watchInterval, func() { r.watch(node) })
}

// askForSlots has a node report its slots to the leader and start the calls for which it gets some.
func (r *herdRun) askForSlots(node int) {
	d := r.nodes[node]
	if r.leader != nil {
		for service, perSecond := range d.ObservedBrittle(r.now) {
			r.leader.ObserveBrittle(service, perSecond, r.now)
		}
		grants := r.leader.Grant(fmt.Sprint(node), d.SlotWants(r.now), r.find, r.now)
		r.start(node, d.GrantSlots(grants, r.now, r.now))
	}
	r.askSoon(node, askInterval)
}

// find returns an engine for the leader.
func (r *herdRun) find(i fleet.Incarnation) *fleet.Upstream {
	u := engine(i.ID, r.slots, "m")
	return &u
}

// askSoon has a node ask for slots after a time if it wants or has some, unless it is about to.
func (r *herdRun) askSoon(node int, after time.Duration) {
	if r.asking[node] || len(r.nodes[node].SlotWants(r.now)) == 0 {
		return
	}
	r.asking[node] = true
	r.after(after, func() {
		r.asking[node] = false
		r.askForSlots(node)
	})
}

// arrive submits a call at some node and schedules the next one.
func (r *herdRun) arrive() {
	node := r.arrivals.IntN(r.herd.nodes)
	r.lastID++
	c := call(r.lastID, "m", 1, r.now)
	switch {
	case r.prompts != nil:
		r.prompts.describe(&c)
	case r.memory > 0:
		c.PromptTokens = shortPrompt + r.arrivals.IntN(longPrompt-shortPrompt)
		r.lengths[c.ID] = c.PromptTokens
		if r.isLong(c.ID) {
			r.result.long++
		}
	}
	r.submit(node, c)
	r.after(time.Duration(r.arrivals.ExpFloat64()/r.callsPerSecond*float64(second)), r.arrive)
}

func (r *herdRun) submit(node int, c dispatch.Call) {
	r.start(node, r.nodes[node].Submit(c, r.now))
	r.askSoon(node, askDelay)
}

// start carries out the verdicts of a node.
func (r *herdRun) start(node int, verdicts []dispatch.Verdict) {
	for _, v := range verdicts {
		if v.Action == dispatch.Refuse && r.now > second {
			r.result.refused++
		}
		if v.Action != dispatch.Start {
			continue
		}
		id := v.Upstream.ID
		if r.random {
			id = r.ids[r.chance.IntN(len(r.ids))]
		}
		if r.prompts != nil {
			r.prompts.read(r, node, v)
			continue
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
	if r.isLong(c) {
		r.result.longStarted++
	}
	arrived := r.now
	run := func() {
		r.present[id]++
		if r.held[id] += r.lengths[c]; count && r.memory > 0 && r.held[id] > r.memory {
			r.result.excess++
		}
		if length := r.lengths[c]; length > 0 {
			r.after(time.Duration(length)*second/readPerSecond, func() { r.nodes[node].FirstEvent(c, r.now-arrived) })
		}
		if count && r.now-arrived > 500*ms {
			r.result.late++
		}
		r.observeBrittle(node, c)
		r.observeLoad(id, node, c)
		r.after(r.callTime/2+time.Duration(r.chance.Int64N(int64(r.callTime))), func() { r.finish(id, node, c) })
	}
	if r.present[id] < r.slots && (r.room == 0 || r.present[id] < r.room) {
		run()
		return
	}
	if count {
		r.result.full++
	}
	if len(r.waiting[id]) < r.queueLength() {
		r.waiting[id] = append(r.waiting[id], run)
		return
	}
	if count {
		r.result.rejected++
		r.reject(id)
	}
	r.observeBrittle(node, c)
	r.observeLoad(id, node, c)
	r.start(node, r.nodes[node].Finish(c, dispatch.Rejected, r.now))
}

// observeLoad tells a node the load of an engine, with the answer to a call.
func (r *herdRun) observeLoad(id string, node int, c dispatch.CallID) {
	r.nodes[node].Observe(c, dispatch.Load{Running: r.present[id], Waiting: len(r.waiting[id]), Slots: r.slots}, r.now)
}

func (r *herdRun) observeBrittle(node int, c dispatch.CallID) {
	if r.brittle > 0 {
		r.nodes[node].ObserveBrittle(c, r.brittle, r.now)
	}
}

func (r *herdRun) queueLength() int {
	if r.isBrittle() {
		return 1
	}
	if r.queue > 0 {
		return r.queue
	}
	return engineQueue
}

// shortPrompt and longPrompt bound the lengths of prompts, in tokens, where engines have memory for a number of them.
const shortPrompt, longPrompt = 1460, 4 * 1460

// readPerSecond is the number of prompt tokens that an engine reads in a second.
const readPerSecond = 25_000

// isLong reports whether a call is among the longest tenth.
func (r *herdRun) isLong(c dispatch.CallID) bool {
	return r.lengths[c] >= longPrompt-(longPrompt-shortPrompt)/10
}

// isBrittle reports whether engines fall over if they reject too many calls.
func (r *herdRun) isBrittle() bool { return r.brittle > 0 && r.now >= brittleNotice }

// reject counts a rejection, and a fall where a brittle engine bears no more of them.
func (r *herdRun) reject(id string) {
	recent := r.rejections[id][:0]
	for _, at := range r.rejections[id] {
		if r.now-at < second {
			recent = append(recent, at)
		}
	}
	recent = append(recent, r.now)
	if r.isBrittle() && float64(len(recent)) > r.brittle {
		r.result.falls++
		recent = recent[:0]
	}
	r.rejections[id] = recent
}

// finish ends a call and starts the next one that waits at its engine.
func (r *herdRun) finish(id string, node int, c dispatch.CallID) {
	r.present[id]--
	r.held[id] -= r.lengths[c]
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
