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

// event is something that happens in the simulation.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

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

// herd is nine selectors that route to the same engines by reports that lag.
type herd struct {
	events  events
	seq     int
	now     time.Duration
	random  *rand.Rand
	nodes   []*Selector
	engines []*engine
	waits   *hdrhistogram.Histogram // microseconds
	missed  int                     // blocks computed
	blocks  int                     // blocks asked for
	refused int
}

// engine runs 8 requests at once and queues the rest.
type engine struct {
	view    directory.View
	running int
	queue   []func()
	prompts []int // cached, least recently used first
}

const (
	herdReport  = 250 * time.Millisecond
	herdLag     = 100 * time.Millisecond
	herdBlocks  = 8
	herdPrompts = 400 // that callers use
	herdCached  = 40  // that an engine caches
)

func newHerd(engines int, config Config) *herd {
	h := &herd{random: rand.New(rand.NewPCG(1, 2)), waits: hdrhistogram.New(1, 60_000_000, 3)}
	for i := range 9 {
		h.nodes = append(h.nodes, NewSelector(config, rand.New(rand.NewPCG(3, uint64(i)))))
	}
	for i := range engines {
		e := &engine{view: engineView(i, "m", 0)}
		h.engines = append(h.engines, e)
		h.report(e)
		h.after(time.Duration(i)*herdReport/time.Duration(engines), func() { h.reports(e) })
	}
	return h
}

func (h *herd) after(d time.Duration, do func()) {
	h.seq++
	heap.Push(&h.events, event{at: h.now + d, seq: h.seq, do: do})
}

func (h *herd) reports(e *engine) {
	h.report(e)
	h.after(herdReport, func() { h.reports(e) })
}

// report sends a load report to all nodes.
func (h *herd) report(e *engine) {
	e.view.Announcement.Seq++
	e.view.Announcement.Load = directory.Load{Running: e.running, Queued: len(e.queue)}
	view := e.view
	h.after(herdLag, func() {
		for _, n := range h.nodes {
			n.Update(view)
		}
	})
}

func (h *herd) run(rate float64, until time.Duration) {
	zipf := rand.NewZipf(h.random, 1.1, 4, herdPrompts-1)
	var arrive func()
	arrive = func() {
		h.request(h.nodes[h.random.IntN(len(h.nodes))], int(zipf.Uint64()))
		h.after(time.Duration(h.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	h.after(herdLag*2, arrive)
	for h.now < until {
		next := heap.Pop(&h.events).(event)
		h.now = next.at
		next.do()
	}
}

func (h *herd) request(n *Selector, prompt int) {
	prefix := make([]BlockHash, herdBlocks)
	for i := range prefix {
		prefix[i] = BlockHash(prompt*herdBlocks + i)
	}
	c, result := n.Select(Query{Model: "m", Prefix: prefix}, h.now)
	if result != Chosen {
		h.refused++
		return
	}
	n.Sent(c, prefix, h.now)
	at := slices.IndexFunc(h.engines, func(e *engine) bool { return e.view.Announcement.ID == c.Upstream })
	e := h.engines[at]
	came := h.now
	start := func() {
		prefill := time.Duration(h.cache(e, prompt)) * 10 * time.Millisecond
		_ = h.waits.RecordValue((h.now - came + prefill).Microseconds())
		service := time.Duration(h.random.ExpFloat64() * float64(time.Second))
		h.after(service+prefill, func() {
			n.Done(c, Answered, h.now)
			h.end(e)
		})
	}
	if e.running < 8 {
		e.running++
		start()
		return
	}
	e.queue = append(e.queue, start)
}

// end lets the next queued request run.
func (h *herd) end(e *engine) {
	if len(e.queue) == 0 {
		e.running--
		return
	}
	next := e.queue[0]
	e.queue = e.queue[1:]
	next()
}

// cache looks a prompt up, and returns how many blocks were missing.
func (h *herd) cache(e *engine, prompt int) int {
	h.blocks += herdBlocks
	at := slices.Index(e.prompts, prompt)
	if at >= 0 {
		e.prompts = append(slices.Delete(e.prompts, at, at+1), prompt)
		return 0
	}
	h.missed += herdBlocks
	e.prompts = append(e.prompts, prompt)
	if len(e.prompts) > herdCached {
		e.prompts = e.prompts[1:]
	}
	return herdBlocks
}

// TestSampleAvoidsHerds compares the sample with the full scan, by the time to
// the first token at 60% and 80% load.
func TestSampleAvoidsHerds(t *testing.T) {
	for _, load := range []float64{0.6, 0.8} {
		var p99 [2]int64
		for i, sample := range []int{DefaultSample, 1000} {
			h := newHerd(18, Config{Sample: sample, Overload: 100})
			h.run(load*8*18, 60*time.Second)
			p99[i] = h.waits.ValueAtPercentile(99)
			missed := float64(h.missed) / float64(h.blocks)
			t.Logf("load %g, sample %d: mean %.0f ms, p99 %d ms, p99.9 %d ms, blocks missed %.2f",
				load, sample, h.waits.Mean()/1000, p99[i]/1000, h.waits.ValueAtPercentile(99.9)/1000, missed)
			if i == 0 && missed > 0.55 {
				t.Errorf("%.2f of the blocks missed", missed)
			}
		}
		if float64(p99[0]) > 0.75*float64(p99[1]) {
			t.Errorf("load %g: p99 %d us by sample, %d us by scan", load, p99[0], p99[1])
		}
	}
}
