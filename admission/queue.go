package admission

import (
	"cmp"
	"slices"
	"time"
)

// request is a request that waits or runs.
type request struct {
	Request
	line    *line
	running bool
	arrived time.Duration
	started time.Duration
}

// line holds one customer's waiting requests for one target, by deadline.
type line struct {
	customer *customer
	target   *target
	waiting  []*request
}

// compareRequests orders requests by deadline, then by ID.
func compareRequests(a, b *request) int {
	if c := cmp.Compare(a.Deadline, b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// insert adds a request.
func (l *line) insert(r *request) {
	at, _ := slices.BinarySearchFunc(l.waiting, r, compareRequests)
	l.waiting = slices.Insert(l.waiting, at, r)
}

// remove deletes a request.
func (l *line) remove(r *request) {
	at, found := slices.BinarySearchFunc(l.waiting, r, compareRequests)
	if found {
		l.waiting = slices.Delete(l.waiting, at, at+1)
	}
}

// ahead returns the number of requests with an earlier place than r.
func (l *line) ahead(r *request) int {
	at, _ := slices.BinarySearchFunc(l.waiting, r, compareRequests)
	return at
}

// customer is one contract on this node, with its lease and its queue.
type customer struct {
	limits Limits
	lines  []*line // with waiting requests, sorted by target

	serial  uint64        // of the grant that brought the lease
	until   time.Duration // end of the lease
	lease   Lease
	bucket  bucket
	running int
	queued  int

	returned float64       // tokens given up
	overflow float64       // tokens gained by a full bucket
	told     int           // requests waiting for a share by the last report
	urgent   bool          // a report is due before its time
	reported time.Duration // last report
	asking   bool          // a report that asks for a share has no answer yet
	asked    time.Duration // since when
	used     time.Duration // last arrival
	service  time.Duration // mean time that a request runs
	arrivals int           // since the last report
	rate     float64       // arrivals a second
	virtual  float64       // virtual time for fairness between customers
	swept    time.Duration // last feasibility check
	ended    bool          // the contract has ended
}

// leased reports whether the lease is in force.
func (c *customer) leased(now time.Duration) bool {
	return now < c.until
}

// advance gains tokens until now, or until the end of the lease.
func (c *customer) advance(now time.Duration) {
	c.overflow += c.bucket.advance(min(now, c.until))
	if !c.leased(now) && c.bucket.size > 0 {
		c.returned += c.bucket.resize(0, 0)
	}
	c.bucket.at = max(c.bucket.at, now)
}

// mayStart reports whether the lease lets one more request start.
func (c *customer) mayStart(now time.Duration) bool {
	c.advance(now)
	return c.leased(now) && c.running < c.lease.Concurrency && c.bucket.has()
}

// places returns how many requests may wait on this node. Without a lease the
// whole contract bounds them, until the first lease comes.
func (c *customer) places(now time.Duration) int {
	if c.leased(now) {
		return c.lease.Queue
	}
	return c.limits.Queue
}

// waiting returns the number of requests that wait for a share only.
func (c *customer) waiting() int {
	n := 0
	for _, l := range c.lines {
		n += min(len(l.waiting), l.target.room())
	}
	return n
}

// findLine returns the line for a target, or nil.
func (c *customer) findLine(name string) *line {
	at, found := slices.BinarySearchFunc(c.lines, name, compareLine)
	if !found {
		return nil
	}
	return c.lines[at]
}

// compareLine orders lines by target.
func compareLine(l *line, name string) int {
	return cmp.Compare(l.target.name, name)
}

// ahead returns the number of the customer's waiting requests with an earlier
// place than r whose target is ready, in all lines.
func (c *customer) ahead(r *request) int {
	n := 0
	for _, l := range c.lines {
		if l.target.state.Readiness == Ready || l.target == r.line.target {
			n += l.ahead(r)
		}
	}
	return n
}

// runnable returns the first line by deadline whose target can run one more
// request, or nil.
func (c *customer) runnable() *line {
	var best *line
	for _, l := range c.lines {
		if !l.target.free() {
			continue
		}
		if best == nil || compareRequests(l.waiting[0], best.waiting[0]) < 0 {
			best = l
		}
	}
	return best
}
