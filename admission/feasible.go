package admission

import "time"

// wait estimates how long a request waits until it starts.
func (t *Throttler) wait(r *request, now time.Duration) time.Duration {
	return max(r.line.customer.shareWait(r, now), r.line.target.slotWait(r, now))
}

// shareWait estimates the wait for the contract's rate and concurrency, which
// shares move to where they are needed. Requests on all nodes start by deadline,
// so those of the other nodes count by the request's place on this one.
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
	wait := refill(float64(ahead+1), tokens, c.limits.Rate)
	return max(wait, turns(ahead+1-free, c.limits.Concurrency, c.service))
}

// slotWait estimates the wait until the target is ready and has a free slot.
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
	// Customers take turns, so each request ahead stands for one of each.
	ahead := min(r.line.ahead(r)*max(1, t.lines), t.waiting)
	over := ahead + 1 - (t.state.Slots - t.running)
	return ready + turns(over, t.state.Slots, t.service)
}

// turns estimates how long it takes until n of the requests that run in the
// given number of places have ended.
func turns(n, places int, service time.Duration) time.Duration {
	if n <= 0 {
		return 0
	}
	if places <= 0 {
		return never
	}
	return time.Duration(float64(service) * float64(n) / float64(places))
}

// infeasible returns why a request cannot start in time and when to come back,
// or None.
func (t *Throttler) infeasible(r *request, now time.Duration) (Reason, time.Duration) {
	if r.line.target.state.Readiness == Gone {
		return Unavailable, r.line.target.state.RetryAfter
	}
	wait := t.wait(r, now)
	if left := r.Deadline - now; wait > left {
		return Late, wait - left
	}
	return None, 0
}

// expire refuses what is past its deadline.
func (t *Throttler) expire(now time.Duration) {
	for i := 0; i < len(t.active); {
		c := t.active[i]
		for r := c.expired(now); r != nil; r = c.expired(now) {
			t.drop(r, Late, 0)
		}
		if c.queued > 0 {
			i++
		}
	}
}

// expired returns a waiting request that is past its deadline, or nil.
func (c *customer) expired(now time.Duration) *request {
	for _, l := range c.lines {
		if l.waiting[0].Deadline < now {
			return l.waiting[0]
		}
	}
	return nil
}

// sweep refuses what cannot start in time any more.
func (t *Throttler) sweep(now time.Duration) {
	for i := 0; i < len(t.active); {
		c := t.active[i]
		t.sweepCustomer(c, now)
		if c.queued > 0 {
			i++
		}
	}
}

// sweepCustomer refuses what one customer has waiting in vain.
func (t *Throttler) sweepCustomer(c *customer, now time.Duration) {
	t.await(c, now)
	if t.cutOff(c, now) {
		t.refuseAll(c, NoShare, 0)
		return
	}
	if now-c.swept < sweepInterval {
		return
	}
	c.swept = now
	t.trim(c, now)
	for i := 0; i < len(c.lines); {
		l := c.lines[i]
		t.sweepLine(l, now)
		if len(l.waiting) > 0 {
			i++
		}
	}
}

// sweepLine refuses the requests of one line that cannot start in time.
func (t *Throttler) sweepLine(l *line, now time.Duration) {
	overdue := l.target.overdue(now, t.config.EstimateTimeout)
	for i := 0; i < len(l.waiting); {
		r := l.waiting[i]
		reason, after := t.infeasible(r, now)
		if overdue {
			reason = NoEstimate
		}
		if reason == None {
			i++
			continue
		}
		t.drop(r, reason, after)
	}
}

// trim refuses the requests with the latest deadlines while more wait than the
// lease has places for.
func (t *Throttler) trim(c *customer, now time.Duration) {
	for c.queued > c.places(now) {
		last := c.lines[0].waiting[len(c.lines[0].waiting)-1]
		for _, l := range c.lines[1:] {
			if r := l.waiting[len(l.waiting)-1]; compareRequests(r, last) > 0 {
				last = r
			}
		}
		t.drop(last, QueueFull, t.wait(last, now))
	}
}

// refuseAll refuses everything that a customer has waiting.
func (t *Throttler) refuseAll(c *customer, reason Reason, after time.Duration) {
	for c.queued > 0 {
		t.drop(c.lines[0].waiting[0], reason, after)
	}
}

// drop refuses a waiting request.
func (t *Throttler) drop(r *request, reason Reason, after time.Duration) {
	t.dequeue(r)
	delete(t.requests, r.ID)
	t.out = append(t.out, refuse(r.ID, reason, after))
}
