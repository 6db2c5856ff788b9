package admission

import (
	"cmp"
	"slices"
	"time"
)

// request is a request that waits or runs.
type request struct {
	Request
	queue   *targetQueue
	running bool
	arrived time.Duration
	started time.Duration
}

// targetQueue holds one customer's waiting requests for one target, sorted by deadline.
type targetQueue struct {
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

// insert adds a request at its place by deadline.
func (tq *targetQueue) insert(r *request) {
	at, _ := slices.BinarySearchFunc(tq.waiting, r, compareRequests)
	tq.waiting = slices.Insert(tq.waiting, at, r)
}

// remove removes a request if it is in the queue.
func (tq *targetQueue) remove(r *request) {
	at, found := slices.BinarySearchFunc(tq.waiting, r, compareRequests)
	if found {
		tq.waiting = slices.Delete(tq.waiting, at, at+1)
	}
}

// ahead returns the number of requests in the queue that come before r.
func (tq *targetQueue) ahead(r *request) int {
	at, _ := slices.BinarySearchFunc(tq.waiting, r, compareRequests)
	return at
}

// customer is the state of one contract on this node: its lease and its waiting
// requests.
type customer struct {
	limits Limits
	queues []*targetQueue // queues with waiting requests, sorted by target

	leaseSerial uint64 // of the grant that brought the lease
	leaseEnd    time.Duration
	lease       Lease
	bucket      bucket
	running     int
	queued      int

	returned        float64       // tokens given up so far
	overflow        float64       // tokens that the full bucket could not take so far
	reportedWaiting int           // waiting for a share in the last report, less starts since
	urgent          bool          // a report is due as soon as minReportGap allows
	lastReport      time.Duration // time of the last report on the customer
	awaitingShare   bool          // the customer needs a share and has received no lease since
	awaitingSince   time.Duration // when awaitingShare became true
	lastArrival     time.Duration // time of the last arrival
	meanRunTime     time.Duration // mean time that a request runs
	arrivals        int           // arrivals since the last report
	arrivalRate     float64       // average number of arrivals per second
	virtualTime     float64       // virtual time for fair queuing between customers
	lastSweep       time.Duration // time of the last feasibility check
	ended           bool          // the contract has ended
}

// leased reports whether the lease is in force.
func (c *customer) leased(now time.Duration) bool {
	return now < c.leaseEnd
}

// advance adds the tokens gained until now or the end of the lease, whichever is
// earlier. After the end it empties the bucket and counts its tokens as returned.
func (c *customer) advance(now time.Duration) {
	c.overflow += c.bucket.advance(min(now, c.leaseEnd))
	if !c.leased(now) && c.bucket.size > 0 {
		c.returned += c.bucket.resize(0, 0)
	}
	c.bucket.updated = max(c.bucket.updated, now)
}

// mayStart reports whether the lease allows one more request to start.
func (c *customer) mayStart(now time.Duration) bool {
	c.advance(now)
	return c.leased(now) && c.running < c.lease.Concurrency && c.bucket.hasToken()
}

// queueLimit returns how many of the customer's requests may wait on this node. Without
// a lease in force this is the queue limit of the whole contract.
func (c *customer) queueLimit(now time.Duration) int {
	if c.leased(now) {
		return c.lease.Queue
	}
	return c.limits.Queue
}

// waitingForShare returns the number of requests that wait only for a share, because
// their target has free slots.
func (c *customer) waitingForShare() int {
	n := 0
	for _, tq := range c.queues {
		n += min(len(tq.waiting), tq.target.freeSlots())
	}
	return n
}

// findQueue returns the queue for a target, or nil.
func (c *customer) findQueue(name string) *targetQueue {
	at, found := slices.BinarySearchFunc(c.queues, name, compareQueue)
	if !found {
		return nil
	}
	return c.queues[at]
}

// compareQueue compares a queue with a target name in a binary search.
func compareQueue(tq *targetQueue, name string) int {
	return cmp.Compare(tq.target.name, name)
}

// ahead returns the number of the customer's waiting requests that come before r. It
// counts r's queue and the queues of ready targets.
func (c *customer) ahead(r *request) int {
	n := 0
	for _, tq := range c.queues {
		if tq.target.state.Readiness == Ready || tq.target == r.queue.target {
			n += tq.ahead(r)
		}
	}
	return n
}

// runnable returns the queue with the earliest deadline among those whose target has a
// free slot, or nil.
func (c *customer) runnable() *targetQueue {
	var best *targetQueue
	for _, tq := range c.queues {
		if !tq.target.hasFreeSlot() {
			continue
		}
		if best == nil || compareRequests(tq.waiting[0], best.waiting[0]) < 0 {
			best = tq
		}
	}
	return best
}
