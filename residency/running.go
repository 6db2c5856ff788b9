package residency

import (
	"time"

	"github.com/agateslip/agateslip/internal/changelog"
)

// calls counts the calls of all nodes at one engine.
type calls struct {
	total int
	// byName counts them by model; those for adapters also by MODEL/ADAPTER.
	byName map[string]int
	// told is the total that nodes were last told.
	told int
}

// runningBook counts the calls that run, by engine. Counts outlive an engine's
// incarnation: the nodes report its calls until they have ended.
type runningBook struct {
	byEngine map[string]*calls
	changes  *changelog.Log
}

func newRunningBook() runningBook {
	return runningBook{byEngine: map[string]*calls{}, changes: changelog.New()}
}

// at returns the calls at an engine.
func (b *runningBook) at(id string) *calls {
	c := b.byEngine[id]
	if c == nil {
		c = &calls{byName: map[string]int{}}
		b.byEngine[id] = c
	}
	return c
}

// forget drops an engine of which no node reports a call.
func (b *runningBook) forget(id string) {
	if c := b.byEngine[id]; c != nil && c.total == 0 {
		delete(b.byEngine, id)
		b.changes.Forget(id)
	}
}

// change adds the calls of a report, or takes them away where sign is negative.
func (b *runningBook) change(counts []Count, sign int) {
	for _, count := range counts {
		c := b.at(count.Upstream)
		n := sign * int(count.Calls)
		c.total += n
		c.add(count.Model, n)
		if count.Adapter != "" {
			c.add(count.Model+"/"+count.Adapter, n)
		}
	}
}

func (c *calls) add(name string, n int) {
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
		c, n := p.running.at(count.Upstream), p.nodes[count.Upstream]
		if n == nil {
			continue
		}
		step := max(1, n.desc.Slots/loadSteps)
		if c.total-c.told >= step || c.told-c.total >= step || c.total == 0 && c.told > 0 {
			c.told = c.total
			p.running.changes.Note(count.Upstream)
		}
	}
}

// setRunning takes what runs through one node, which replaces what it said before.
func (p *Planner) setRunning(d *nodeDemand, counts []Count, now time.Duration) {
	p.running.change(d.running, -1)
	p.running.change(counts, 1)
	before := d.running
	d.running = counts
	p.publish(before)
	p.publish(counts)
	for _, c := range counts {
		if n := p.nodes[c.Upstream]; n != nil && c.Adapter != "" {
			n.used[c.Model+"/"+c.Adapter] = now
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
		running[id] = p.running.byEngine[id].told
	})
	return running, p.running.changes.Revision()
}
