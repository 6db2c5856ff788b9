package admission

import "time"

// estimateWait estimates how long a request waits until it starts. This is the longer
// of the wait for the contract's capacity and the wait for the target.
func (t *Throttler) estimateWait(r *request, now time.Duration) time.Duration {
	return max(r.queue.customer.shareWait(r, now), r.queue.target.slotWait(r, now))
}

// shareWait estimates the wait for the contract's rate and concurrency over all nodes,
// because shares move to the nodes that need them. Every node starts requests by
// deadline, so r's position among the requests of this node also gives the part of the
// other nodes' backlog that comes before r.
func (c *customer) shareWait(r *request, now time.Duration) time.Duration {
	ahead := c.ahead(r)
	free := c.limits.Concurrency - c.running
	tokens := float64(c.limits.Burst)
	if c.leased(now) {
		c.advance(now)
		ahead += c.lease.OthersBacklog * (ahead + 1) / max(c.queued, ahead+1)
		free -= c.lease.OthersRunning
		tokens = c.bucket.level + c.lease.PoolTokens
	}
	wait := refillTime(float64(ahead+1), tokens, c.limits.Rate)
	return max(wait, drainTime(ahead+1-free, c.limits.Concurrency, c.meanRunTime))
}

// slotWait estimates the wait until the target is ready and has a free slot. It is 0
// for an unknown target and never for one that is gone.
func (t *target) slotWait(r *request, now time.Duration) time.Duration {
	var ready time.Duration
	switch t.state.Readiness {
	case Unknown:
		return 0
	case Gone:
		return never
	case Expected:
		ready = max(0, t.state.ReadyAt-now)
	}
	if t.state.Slots == 0 {
		return ready
	}
	// Customers take turns on the target, so for each request ahead of r in its queue,
	// every customer with requests for the target is assumed to start one.
	ahead := min(r.queue.ahead(r)*max(1, t.queues), t.waiting)
	excess := ahead + 1 - (t.state.Slots - t.running)
	return ready + drainTime(excess, t.state.Slots, t.meanRunTime)
}

// drainTime estimates how long it takes until n requests have ended, where the given
// number of places run one request each at a time for meanRunTime on average.
func drainTime(n, places int, meanRunTime time.Duration) time.Duration {
	if n <= 0 {
		return 0
	}
	if places <= 0 {
		return never
	}
	return time.Duration(float64(meanRunTime) * float64(n) / float64(places))
}

// infeasible returns why a request cannot start in time and how long the caller should
// wait before a retry. The reason is None if the request can start in time.
func (t *Throttler) infeasible(r *request, now time.Duration) (Reason, time.Duration) {
	if r.queue.target.state.Readiness == Gone {
		return Unavailable, r.queue.target.state.RetryAfter
	}
	wait := t.estimateWait(r, now)
	if remaining := r.Deadline - now; wait > remaining {
		return Late, wait - remaining
	}
	return None, 0
}

// refuseExpired refuses the waiting requests whose deadline has passed.
func (t *Throttler) refuseExpired(now time.Duration) {
	for i := 0; i < len(t.withQueue); {
		c := t.withQueue[i]
		for r := c.expired(now); r != nil; r = c.expired(now) {
			t.refuseWaiting(r, Late, 0)
		}
		if c.queued > 0 {
			i++
		}
	}
}

// expired returns a waiting request whose deadline has passed, or nil.
func (c *customer) expired(now time.Duration) *request {
	for _, tq := range c.queues {
		if tq.waiting[0].Deadline < now {
			return tq.waiting[0]
		}
	}
	return nil
}

// sweep refuses the waiting requests that cannot start in time any more.
func (t *Throttler) sweep(now time.Duration) {
	for i := 0; i < len(t.withQueue); {
		c := t.withQueue[i]
		t.sweepCustomer(c, now)
		if c.queued > 0 {
			i++
		}
	}
}

// sweepCustomer refuses all requests of a customer if it has waited too long for a
// share. Otherwise it refuses those that exceed the queue limit or cannot start in
// time, once per sweepInterval.
func (t *Throttler) sweepCustomer(c *customer, now time.Duration) {
	t.updateShareWait(c, now)
	if t.shareOverdue(c, now) {
		t.refuseAll(c, NoShare, 0)
		return
	}
	if now-c.lastSweep < sweepInterval {
		return
	}
	c.lastSweep = now
	t.trimQueue(c, now)
	for i := 0; i < len(c.queues); {
		tq := c.queues[i]
		t.sweepQueue(tq, now)
		if len(tq.waiting) > 0 {
			i++
		}
	}
}

// sweepQueue refuses the requests of one queue that cannot start in time, or all of
// them if the target's estimate is overdue.
func (t *Throttler) sweepQueue(tq *targetQueue, now time.Duration) {
	overdue := tq.target.estimateOverdue(now, t.config.EstimateTimeout)
	for i := 0; i < len(tq.waiting); {
		r := tq.waiting[i]
		reason, after := t.infeasible(r, now)
		if overdue {
			reason = NoEstimate
		}
		if reason == None {
			i++
			continue
		}
		t.refuseWaiting(r, reason, after)
	}
}

// trimQueue refuses the requests with the latest deadlines while more requests wait
// than the queue limit allows.
func (t *Throttler) trimQueue(c *customer, now time.Duration) {
	for c.queued > c.queueLimit(now) {
		last := c.queues[0].waiting[len(c.queues[0].waiting)-1]
		for _, tq := range c.queues[1:] {
			if r := tq.waiting[len(tq.waiting)-1]; compareRequests(r, last) > 0 {
				last = r
			}
		}
		t.refuseWaiting(last, QueueFull, t.estimateWait(last, now))
	}
}

// refuseAll refuses all waiting requests of a customer.
func (t *Throttler) refuseAll(c *customer, reason Reason, after time.Duration) {
	for c.queued > 0 {
		t.refuseWaiting(c.queues[0].waiting[0], reason, after)
	}
}

// refuseWaiting removes a waiting request from its queue and refuses it.
func (t *Throttler) refuseWaiting(r *request, reason Reason, after time.Duration) {
	t.dequeue(r)
	delete(t.requests, r.ID)
	t.decisions = append(t.decisions, refuse(r.ID, reason, after))
}
