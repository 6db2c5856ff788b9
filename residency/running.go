package residency

import (
	"time"

	"github.com/agateslip/agateslip/internal/changelog"
)

// callCounts counts the callCounts of all nodes at one engine.
type callCounts struct {
	total int
	// byName counts them by model; those for adapters also by MODEL/ADAPTER.
	byName map[string]int
	// published is the total that nodes were last published.
	published int
}

// runningCalls counts the calls that run, by engine. Counts outlive an engine's
// incarnation: the nodes report its calls until they have ended.
type runningCalls struct {
	byEngine map[string]*callCounts
	changes  *changelog.Log
}

func newRunningCalls() runningCalls {
	return runningCalls{byEngine: map[string]*callCounts{}, changes: changelog.New()}
}

// forEngine returns the calls forEngine an engine.
func (b *runningCalls) forEngine(id string) *callCounts {
	c := b.byEngine[id]
	if c == nil {
		c = &callCounts{byName: map[string]int{}}
		b.byEngine[id] = c
	}
	return c
}

// forget drops an engine of which no node reports a call.
func (b *runningCalls) forget(id string) {
	if c := b.byEngine[id]; c != nil && c.total == 0 {
		delete(b.byEngine, id)
		b.changes.Forget(id)
	}
}

// apply adds the calls of a report, or takes them away where sign is negative.
func (b *runningCalls) apply(counts []Count, sign int) {
	for _, count := range counts {
		c := b.forEngine(count.Upstream)
		n := sign * int(count.Calls)
		c.total += n
		c.add(count.Model, n)
		if count.Adapter != "" {
			c.add(count.Model+"/"+count.Adapter, n)
		}
	}
}

func (c *callCounts) add(name string, n int) {
	if c.byName[name] += n; c.byName[name] == 0 {
		delete(c.byName, name)
	}
}

// loadSteps is how many steps of an engine's slots nodes tell its load apart by.
// Finer ones would have every node hear of every call.
const loadSteps = 16

// publish numbers the engines of a report whose load has changed by a step.
func (p *Planner) publish(counts []Count) {
	for _, count := range counts {
		c, n := p.running.forEngine(count.Upstream), p.engines[count.Upstream]
		if n == nil {
			continue
		}
		step := max(1, n.desc.Slots/loadSteps)
		if c.total-c.published >= step || c.published-c.total >= step || c.total == 0 && c.published > 0 {
			c.published = c.total
			p.running.changes.Note(count.Upstream)
		}
	}
}

// setRunning takes what runs through one node, which replaces what it said before.
func (p *Planner) setRunning(d *nodeDemand, counts []Count, now time.Duration) {
	p.running.apply(d.running, -1)
	p.running.apply(counts, 1)
	before := d.running
	d.running = counts
	p.publish(before)
	p.publish(counts)
	for _, c := range counts {
		if n := p.engines[c.Upstream]; n != nil && c.Adapter != "" {
			n.adapterLastUsed[c.Model+"/"+c.Adapter] = now
		}
	}
}

// Running is the calls of all nodes at each engine whose load changed after a
// revision, about as fine as nodes need to choose between engines, and the present
// revision. It is zero where nothing has run yet.
func (p *Planner) Running(since uint64) (running map[string]int, revision uint64) {
	p.running.changes.Since(since, func(id string) {
		if running == nil {
			running = map[string]int{}
		}
		running[id] = p.running.byEngine[id].published
	})
	return running, p.running.changes.Revision()
}
