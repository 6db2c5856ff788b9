package admission

import (
	"cmp"
	"time"
)

// sweepInterval is the time between two feasibility checks of one customer's
// queue when nothing else calls for one.
const sweepInterval = 50 * time.Millisecond

// Arrive asks for admission of a request. Requests that are queued get their
// final verdict from Poll.
func (t *Throttler) Arrive(q Request, now time.Duration) Decision {
	c := t.customers[q.Customer]
	if c == nil || c.ended {
		return refuse(q.ID, NoContract, 0)
	}
	if t.requests[q.ID] != nil {
		return refuse(q.ID, DuplicateID, 0)
	}
	c.arrivals++
	c.used = now
	t.live = insertCustomer(t.live, c)
	tg := t.targetOf(q.Target, now)
	l := c.findLine(q.Target)
	if l == nil {
		l = &line{customer: c, target: tg}
	}
	r := &request{Request: q, line: l, arrived: now}
	if q.Deadline < now {
		return refuse(q.ID, Late, 0)
	}
	if t.first(r, now) {
		t.start(r, now)
		return Decision{ID: q.ID, Verdict: Run}
	}
	if d, refused := t.reject(r, now); refused {
		return d
	}
	t.enqueue(r, now)
	t.await(c, now)
	if t.freed {
		t.dispatch(now)
	}
	if r.running {
		t.withdraw(q.ID)
		return Decision{ID: q.ID, Verdict: Run}
	}
	return Decision{ID: q.ID, Verdict: Queued}
}

// first reports whether an arriving request may start at once: its places are
// free and nobody waits who comes before it.
func (t *Throttler) first(r *request, now time.Duration) bool {
	c := r.line.customer
	if t.freed && r.line.target.waiting > 0 {
		return false
	}
	if t.full() || !r.line.target.free() || !c.mayStart(now) {
		return false
	}
	best := c.runnable()
	return best == nil || compareRequests(r, best.waiting[0]) < 0
}

// full reports whether the node runs as much as it may.
func (t *Throttler) full() bool {
	return t.config.MaxRunning > 0 && t.running >= t.config.MaxRunning
}

// reject refuses an arriving request that has no place or cannot start in
// time.
func (t *Throttler) reject(r *request, now time.Duration) (Decision, bool) {
	c := r.line.customer
	if t.cutOff(c, now) {
		return refuse(r.ID, NoShare, 0), true
	}
	if r.line.target.overdue(now, t.config.EstimateTimeout) {
		return refuse(r.ID, NoEstimate, 0), true
	}
	if reason, after := t.infeasible(r, now); reason != None {
		return refuse(r.ID, reason, after), true
	}
	if c.queued >= c.places(now) {
		t.hurry(c)
		return refuse(r.ID, QueueFull, t.wait(r, now)), true
	}
	return Decision{}, false
}

// await notes that a customer waits for a share, and asks for one soon.
func (t *Throttler) await(c *customer, now time.Duration) {
	if c.mayStart(now) {
		c.asking = false
		return
	}
	if !c.asking {
		c.asking, c.asked = true, now
	}
	if c.waiting() > c.told {
		t.hurry(c)
	}
}

// cutOff reports whether a customer's need of a share has had no answer for
// too long. Half of the contract's wait is left to try another node.
func (t *Throttler) cutOff(c *customer, now time.Duration) bool {
	timeout := t.config.ShareTimeout
	if c.limits.Wait > 0 {
		timeout = min(timeout, c.limits.Wait/2)
	}
	return c.asking && now-c.asked > timeout && !c.mayStart(now)
}

// start runs a request that is in no line.
func (t *Throttler) start(r *request, now time.Duration) {
	c := r.line.customer
	r.running, r.started = true, now
	t.requests[r.ID] = r
	t.running++
	r.line.target.running++
	c.running++
	c.bucket.take()
	c.told = max(0, c.told-1)
	t.virtual = max(t.virtual, c.virtual)
	c.virtual = t.virtual + 1/float64(max(1, c.limits.Concurrency))
}

// withdraw removes the verdict on a request from the pending decisions.
func (t *Throttler) withdraw(id uint64) {
	for i, d := range t.out {
		if d.ID == id {
			t.out = append(t.out[:i], t.out[i+1:]...)
			return
		}
	}
}

// Poll returns the final verdicts that have become due since the last call.
func (t *Throttler) Poll(now time.Duration) []Decision {
	t.expire(now)
	t.dispatch(now)
	t.sweep(now)
	out := t.out
	t.out = nil
	return out
}

// Wake returns when Poll is due next, if nothing else happens before.
func (t *Throttler) Wake(now time.Duration) (time.Duration, bool) {
	if len(t.out) > 0 {
		return now, true
	}
	if len(t.active) == 0 {
		return 0, false
	}
	wake := now + sweepInterval
	for _, c := range t.active {
		if !c.leased(now) || c.bucket.rate <= 0 || c.running >= c.lease.Concurrency {
			continue
		}
		c.advance(now)
		if wait := refill(1, c.bucket.level, c.bucket.rate); wait > 0 {
			wake = min(wake, now+wait)
		}
	}
	return wake, true
}

// dispatch starts what may run, fairly between customers.
func (t *Throttler) dispatch(now time.Duration) {
	t.freed = false
	var ready []*customer
	for _, c := range t.active {
		if c.mayStart(now) && c.runnable() != nil {
			ready = append(ready, c)
		}
	}
	for len(ready) > 0 && !t.full() {
		at := t.next(ready)
		c := ready[at]
		r := c.runnable().waiting[0]
		t.dequeue(r)
		t.start(r, now)
		t.out = append(t.out, Decision{ID: r.ID, Verdict: Run})
		ready = keepReady(ready, now)
	}
}

// keepReady drops the customers that can start nothing more.
func keepReady(ready []*customer, now time.Duration) []*customer {
	kept := ready[:0]
	for _, c := range ready {
		if c.queued > 0 && c.mayStart(now) && c.runnable() != nil {
			kept = append(kept, c)
		}
	}
	return kept
}

// next returns the position of the customer that starts first: the one with
// the least virtual time (start-time fair queuing, Goyal et al. 1996), then
// the one with the earliest deadline.
func (t *Throttler) next(ready []*customer) int {
	best := 0
	for i := 1; i < len(ready); i++ {
		if t.before(ready[i], ready[best]) {
			best = i
		}
	}
	return best
}

// before reports whether a starts before b.
func (t *Throttler) before(a, b *customer) bool {
	av, bv := max(a.virtual, t.virtual), max(b.virtual, t.virtual)
	if c := cmp.Compare(av, bv); c != 0 {
		return c < 0
	}
	return compareRequests(a.runnable().waiting[0], b.runnable().waiting[0]) < 0
}
