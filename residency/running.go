package residency

import (
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/internal/changelog"
)

// callCounts counts the running calls of all entry nodes at one engine.
type callCounts struct {
	total int
	// byName counts the calls by model. Calls for an adapter also count under
	// MODEL/ADAPTER.
	byName map[string]int
	// tokens are those of all calls.
	tokens dispatch.EngineTokens
	// published and publishedTokens are the total and the tokens that were last sent to the nodes.
	published       int
	publishedTokens dispatch.EngineTokens
}

// runningCalls counts the running calls by engine. Counts outlive an engine's
// incarnation: the nodes report its calls until they have ended.
type runningCalls struct {
	byEngine map[string]*callCounts
	changes  *changelog.Log
}

func newRunningCalls() runningCalls {
	return runningCalls{byEngine: map[string]*callCounts{}, changes: changelog.New()}
}

// forEngine returns the counts of an engine and creates them if there are none.
func (r *runningCalls) forEngine(id string) *callCounts {
	c := r.byEngine[id]
	if c == nil {
		c = &callCounts{byName: map[string]int{}}
		r.byEngine[id] = c
	}
	return c
}

// forget drops the counts of an engine if no node reports a call there.
func (r *runningCalls) forget(id string) {
	if c := r.byEngine[id]; c != nil && c.total == 0 {
		delete(r.byEngine, id)
		r.changes.Forget(id)
	}
}

// apply adds the calls of a report, or subtracts them if sign is -1.
func (r *runningCalls) apply(counts []Count, sign int) {
	for _, count := range counts {
		c := r.forEngine(count.Upstream)
		n := sign * int(count.Calls)
		c.total += n
		c.tokens.Unread += sign * count.Tokens.Unread
		c.tokens.Held += sign * count.Tokens.Held
		c.add(count.Model, n)
		if count.Adapter != "" {
			c.add(count.Model+"/"+count.Adapter, n)
		}
	}
}

// add adds n, which may be negative, to a count.
func (c *callCounts) add(name string, n int) {
	if c.byName[name] += n; c.byName[name] == 0 {
		delete(c.byName, name)
	}
}

// loadSteps is the number of steps of an engine's load, up to its slots, that are
// published. With finer steps every node would hear of every call.
const loadSteps = 16

const (
	// heldStep is the change of the tokens that calls take of an engine's memory that is published, and unreadStep that of
	// the tokens of prompts that are not read yet.
	heldStep   = 4096
	unreadStep = 2048
)

// differsByStep reports whether two numbers differ by at least a step, or only the new one is zero.
func differsByStep(published, now, step int) bool {
	return now-published >= step || published-now >= step || now == 0 && published > 0
}

// needsPublishing reports whether the nodes should hear of the load of an engine with the given number of slots.
func (c *callCounts) needsPublishing(slots int) bool {
	return differsByStep(c.published, c.total, max(1, slots/loadSteps)) ||
		differsByStep(c.publishedTokens.Unread, c.tokens.Unread, unreadStep) ||
		differsByStep(c.publishedTokens.Held, c.tokens.Held, heldStep)
}

// publish notes in the change log the engines of a report whose load has changed by
// at least a step, or has dropped to zero.
func (p *Planner) publish(counts []Count) {
	for _, count := range counts {
		c, e := p.running.forEngine(count.Upstream), p.engines[count.Upstream]
		if e == nil {
			continue
		}
		if c.needsPublishing(e.desc.Slots) {
			c.published, c.publishedTokens = c.total, c.tokens
			p.running.changes.Record(count.Upstream)
		}
	}
}

// setRunning replaces the running calls of one entry node.
func (p *Planner) setRunning(d *nodeDemand, counts []Count, now time.Duration) {
	p.running.apply(d.running, -1)
	p.running.apply(counts, 1)
	before := d.running
	d.running = counts
	p.publish(before)
	p.publish(counts)
	for _, c := range counts {
		if e := p.engines[c.Upstream]; e != nil && c.Adapter != "" {
			e.adapterLastUsed[c.Model+"/"+c.Adapter] = now
		}
	}
}

// Running returns the running calls of all nodes, in steps of about a sixteenth of
// the slots, and their tokens, at each engine whose load changed after the given revision, and the
// current revision. The revision is zero if nothing has run yet.
func (p *Planner) Running(since uint64) (running map[string]int, tokens map[string]dispatch.EngineTokens, revision uint64) {
	p.running.changes.Since(since, func(id string) {
		if running == nil {
			running, tokens = map[string]int{}, map[string]dispatch.EngineTokens{}
		}
		c := p.running.byEngine[id]
		running[id], tokens[id] = c.published, c.publishedTokens
	})
	return running, tokens, p.running.changes.Revision()
}
