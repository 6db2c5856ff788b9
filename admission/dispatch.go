package admission

import (
	"cmp"
	"time"
)

// sweepInterval is the time between two feasibility checks of one customer's waiting
// requests, unless an event requires a check earlier.
const sweepInterval = 50 * time.Millisecond

// Arrive asks for admission of a request. If the request is queued, a later Poll
// returns its final verdict.
func (t *Throttler) Arrive(q Request, now time.Duration) Decision {
	c := t.customers[q.Customer]
	if c == nil || c.ended {
		return refuse(q.ID, NoContract, 0)
	}
	if t.requests[q.ID] != nil {
		return refuse(q.ID, DuplicateID, 0)
	}
	c.arrivals++
	c.lastArrival = now
	t.reportable = insertCustomer(t.reportable, c)
	tg := t.ensureTarget(q.Target, now)
	queue := c.findQueue(q.Target)
	if queue == nil {
		queue = &targetQueue{customer: c, target: tg}
	}
	r := &request{Request: q, queue: queue, arrived: now}
	if q.Deadline < now {
		return refuse(q.ID, Late, 0)
	}
	if t.canStartAtOnce(r, now) {
		t.start(r, now)
		return Decision{ID: q.ID, Verdict: Run}
	}
	if d, refused := t.refuseArrival(r, now); refused {
		return d
	}
	t.enqueue(r, now)
	t.updateShareWait(c, now)
	if t.capacityFreed {
		t.dispatch(now)
	}
	if r.running {
		t.withdrawDecision(q.ID)
		return Decision{ID: q.ID, Verdict: Run}
	}
	return Decision{ID: q.ID, Verdict: Queued}
}

// canStartAtOnce reports whether an arriving request may start immediately: the node,
// the target and the customer's lease allow one more, and no runnable request of the
// customer comes before it. If capacity was freed since the last dispatch, requests
// that already wait for the target go first.
func (t *Throttler) canStartAtOnce(r *request, now time.Duration) bool {
	c := r.queue.customer
	if t.capacityFreed && r.queue.target.waiting > 0 {
		return false
	}
	if t.atMaxRunning() || !r.queue.target.hasFreeSlot() || !c.mayStart(now) {
		return false
	}
	best := c.runnable()
	return best == nil || compareRequests(r, best.waiting[0]) < 0
}

// atMaxRunning reports whether the node runs MaxRunning requests.
func (t *Throttler) atMaxRunning() bool {
	return t.config.MaxRunning > 0 && t.running >= t.config.MaxRunning
}

// refuseArrival reports whether an arriving request is refused because it cannot be
// queued or cannot start in time, and returns the refusal.
func (t *Throttler) refuseArrival(r *request, now time.Duration) (Decision, bool) {
	c := r.queue.customer
	if t.shareOverdue(c, now) {
		return refuse(r.ID, NoShare, 0), true
	}
	if r.queue.target.estimateOverdue(now, t.config.EstimateTimeout) {
		return refuse(r.ID, NoEstimate, 0), true
	}
	if reason, after := t.infeasible(r, now); reason != None {
		return refuse(r.ID, reason, after), true
	}
	if c.queued >= c.queueLimit(now) {
		t.markUrgent(c)
		return refuse(r.ID, QueueFull, t.estimateWait(r, now)), true
	}
	return Decision{}, false
}

// updateShareWait records whether and since when a customer waits for a share. It makes
// a report urgent if more requests wait for a share than the allocator was told.
func (t *Throttler) updateShareWait(c *customer, now time.Duration) {
	if c.mayStart(now) {
		c.awaitingShare = false
		return
	}
	if !c.awaitingShare {
		c.awaitingShare, c.awaitingSince = true, now
	}
	if c.waitingForShare() > c.reportedWaiting {
		t.markUrgent(c)
	}
}

// shareOverdue reports whether a customer has waited too long for a share. The timeout
// is at most half of the contract's Wait, so that the other half is left to try another
// node.
func (t *Throttler) shareOverdue(c *customer, now time.Duration) bool {
	timeout := t.config.ShareTimeout
	if c.limits.Wait > 0 {
		timeout = min(timeout, c.limits.Wait/2)
	}
	return c.awaitingShare && now-c.awaitingSince > timeout && !c.mayStart(now)
}

// start runs a request that is in no queue.
func (t *Throttler) start(r *request, now time.Duration) {
	c := r.queue.customer
	r.running, r.started = true, now
	t.requests[r.ID] = r
	t.running++
	r.queue.target.running++
	c.running++
	c.bucket.takeToken()
	c.reportedWaiting = max(0, c.reportedWaiting-1)
	t.virtualTime = max(t.virtualTime, c.virtualTime)
	c.virtualTime = t.virtualTime + 1/float64(max(1, c.limits.Concurrency))
}

// withdrawDecision removes the decision on a request from those that the next Poll
// returns.
func (t *Throttler) withdrawDecision(id uint64) {
	for i, d := range t.decisions {
		if d.ID == id {
			t.decisions = append(t.decisions[:i], t.decisions[i+1:]...)
			return
		}
	}
}

// Poll starts or refuses waiting requests and returns the final verdicts that have
// become due since the last call.
func (t *Throttler) Poll(now time.Duration) []Decision {
	t.refuseExpired(now)
	t.dispatch(now)
	t.sweep(now)
	decisions := t.decisions
	t.decisions = nil
	return decisions
}

// NextPoll returns when Poll should be called next if nothing else happens before. It
// returns false if no call is needed.
func (t *Throttler) NextPoll(now time.Duration) (time.Duration, bool) {
	if len(t.decisions) > 0 {
		return now, true
	}
	if len(t.withQueue) == 0 {
		return 0, false
	}
	wake := now + sweepInterval
	for _, c := range t.withQueue {
		if !c.leased(now) || c.bucket.rate <= 0 || c.running >= c.lease.Concurrency {
			continue
		}
		c.advance(now)
		if wait := refillTime(1, c.bucket.level, c.bucket.rate); wait > 0 {
			wake = min(wake, now+wait)
		}
	}
	return wake, true
}

// dispatch starts the waiting requests that may run, fairly between customers.
func (t *Throttler) dispatch(now time.Duration) {
	t.capacityFreed = false
	var ready []*customer
	for _, c := range t.withQueue {
		if c.mayStart(now) && c.runnable() != nil {
			ready = append(ready, c)
		}
	}
	for len(ready) > 0 && !t.atMaxRunning() {
		at := t.nextCustomer(ready)
		c := ready[at]
		r := c.runnable().waiting[0]
		t.dequeue(r)
		t.start(r, now)
		t.decisions = append(t.decisions, Decision{ID: r.ID, Verdict: Run})
		ready = keepReady(ready, now)
	}
}

// keepReady removes the customers that cannot start another request. It reuses the
// slice.
func keepReady(ready []*customer, now time.Duration) []*customer {
	kept := ready[:0]
	for _, c := range ready {
		if c.queued > 0 && c.mayStart(now) && c.runnable() != nil {
			kept = append(kept, c)
		}
	}
	return kept
}

// nextCustomer returns the index of the customer that starts next: the one with the
// least virtual time (start-time fair queuing, Goyal et al. 1996), then the one whose
// first runnable request has the earliest deadline.
func (t *Throttler) nextCustomer(ready []*customer) int {
	best := 0
	for i := 1; i < len(ready); i++ {
		if t.startsBefore(ready[i], ready[best]) {
			best = i
		}
	}
	return best
}

// startsBefore reports whether customer a starts a request before customer b.
func (t *Throttler) startsBefore(a, b *customer) bool {
	aStart, bStart := max(a.virtualTime, t.virtualTime), max(b.virtualTime, t.virtualTime)
	if c := cmp.Compare(aStart, bStart); c != 0 {
		return c < 0
	}
	return compareRequests(a.runnable().waiting[0], b.runnable().waiting[0]) < 0
}
