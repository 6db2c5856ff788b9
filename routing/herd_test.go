package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agateslip/agateslip/directory"
)

// event is a simulated event; seq orders events at the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation simulates nine nodes that route to the same engines by load reports that lag.
type simulation struct {
	events         events
	seq            int
	now            time.Duration
	random         *rand.Rand
	nodes          []*Selector
	engines        []*engine
	waits          *hdrhistogram.Histogram // microseconds
	missedBlocks   int                     // blocks that were not cached
	lookedUpBlocks int                     // blocks of all prompts
	refused        int
}

// engine is a simulated engine that runs 8 requests at once and queues the rest.
type engine struct {
	view    directory.View
	running int
	queue   []func()
	prompts []int // cached, least recently used first
}

const (
	reportInterval  = 250 * time.Millisecond
	reportDelay     = 100 * time.Millisecond
	promptBlocks    = 8
	distinctPrompts = 400 // in use by callers
	cachedPrompts   = 40  // cached by an engine
)

func newSimulation(engines int, config Config) *simulation {
	h := &simulation{random: rand.New(rand.NewPCG(1, 2)), waits: hdrhistogram.New(1, 60_000_000, 3)}
	for i := range 9 {
		h.nodes = append(h.nodes, NewSelector(config, rand.New(rand.NewPCG(3, uint64(i)))))
	}
	for i := range engines {
		e := &engine{view: engineView(i, "m", 0)}
		h.engines = append(h.engines, e)
		h.report(e)
		h.after(time.Duration(i)*reportInterval/time.Duration(engines), func() { h.reportPeriodically(e) })
	}
	return h
}

// after schedules do at the time d from now.
func (h *simulation) after(d time.Duration, do func()) {
	h.seq++
	heap.Push(&h.events, event{at: h.now + d, seq: h.seq, do: do})
}

func (h *simulation) reportPeriodically(e *engine) {
	h.report(e)
	h.after(reportInterval, func() { h.reportPeriodically(e) })
}

// report sends an engine's load report to all nodes, which get it after reportDelay.
func (h *simulation) report(e *engine) {
	e.view.Announcement.Seq++
	e.view.Announcement.Load = directory.Load{Running: e.running, Queued: len(e.queue)}
	view := e.view
	h.after(reportDelay, func() {
		for _, n := range h.nodes {
			n.Update(view)
		}
	})
}

// run simulates requests at the given rate per second up to the time until.
func (h *simulation) run(rate float64, until time.Duration) {
	zipf := rand.NewZipf(h.random, 1.1, 4, distinctPrompts-1)
	var arrive func()
	arrive = func() {
		h.request(h.nodes[h.random.IntN(len(h.nodes))], int(zipf.Uint64()))
		h.after(time.Duration(h.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	h.after(reportDelay*2, arrive)
	for h.now < until {
		next := heap.Pop(&h.events).(event)
		h.now = next.at
		next.do()
	}
}

// request routes one request through node n.
func (h *simulation) request(n *Selector, prompt int) {
	prefix := make([]BlockHash, promptBlocks)
	for i := range prefix {
		prefix[i] = BlockHash(prompt*promptBlocks + i)
	}
	c, result := n.Select(Query{Model: "m", Prefix: prefix}, h.now)
	if result != Chosen {
		h.refused++
		return
	}
	n.Sent(c, prefix, h.now)
	at := slices.IndexFunc(h.engines, func(e *engine) bool { return e.view.Announcement.ID == c.Upstream })
	e := h.engines[at]
	arrived := h.now
	start := func() {
		prefill := time.Duration(h.lookUp(e, prompt)) * 10 * time.Millisecond
		_ = h.waits.RecordValue((h.now - arrived + prefill).Microseconds())
		service := time.Duration(h.random.ExpFloat64() * float64(time.Second))
		h.after(service+prefill, func() {
			n.Done(c, Answered, h.now)
			h.startNext(e)
		})
	}
	if e.running < 8 {
		e.running++
		start()
		return
	}
	e.queue = append(e.queue, start)
}

// startNext starts the next queued request when one has ended.
func (h *simulation) startNext(e *engine) {
	if len(e.queue) == 0 {
		e.running--
		return
	}
	next := e.queue[0]
	e.queue = e.queue[1:]
	next()
}

// lookUp returns how many blocks of a prompt the engine has not cached, and caches them.
func (h *simulation) lookUp(e *engine, prompt int) int {
	h.lookedUpBlocks += promptBlocks
	at := slices.Index(e.prompts, prompt)
	if at >= 0 {
		e.prompts = append(slices.Delete(e.prompts, at, at+1), prompt)
		return 0
	}
	h.missedBlocks += promptBlocks
	e.prompts = append(e.prompts, prompt)
	if len(e.prompts) > cachedPrompts {
		e.prompts = e.prompts[1:]
	}
	return promptBlocks
}

// TestSampleAvoidsHerding checks that nodes that compare a sample do not all choose the
// engine that had the least load in the latest reports, as nodes that compare all engines
// do. It compares the time to the first token at 60% and 80% load.
func TestSampleAvoidsHerding(t *testing.T) {
	for _, load := range []float64{0.6, 0.8} {
		var p99 [2]int64
		for i, sample := range []int{DefaultSampleSize, 1000} {
			h := newSimulation(18, Config{SampleSize: sample, MaxRequestsPerSlot: 100})
			h.run(load*8*18, 60*time.Second)
			p99[i] = h.waits.ValueAtPercentile(99)
			missed := float64(h.missedBlocks) / float64(h.lookedUpBlocks)
			t.Logf("load %g, sample %d: mean %.0f ms, p99 %d ms, p99.9 %d ms, blocks missed %.2f",
				load, sample, h.waits.Mean()/1000, p99[i]/1000, h.waits.ValueAtPercentile(99.9)/1000, missed)
			if i == 0 && missed > 0.55 {
				t.Errorf("%.2f of the prompt blocks were not cached, want at most 0.55", missed)
			}
		}
		if float64(p99[0]) > 0.75*float64(p99[1]) {
			t.Errorf("load %g: p99 %d us with a sample, %d us with all engines", load, p99[0], p99[1])
		}
	}
}
