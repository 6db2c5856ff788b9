package admission

import (
	"cmp"
	"slices"
	"time"
)

// Default values of the Config fields.
const (
	// DefaultShareTimeout is how long a request waits on a node that gets no share of
	// the contract.
	DefaultShareTimeout = 3 * time.Second
	// DefaultEstimateTimeout is how long a request waits without an estimate of when
	// its target is ready.
	DefaultEstimateTimeout = 5 * time.Second
	// DefaultIdleAfter is how long a customer without requests keeps its lease on a
	// node.
	DefaultIdleAfter = 2 * time.Second
	// DefaultReportInterval is the time between two complete reports.
	DefaultReportInterval = 500 * time.Millisecond
)

// Config configures a Throttler. Durations that are zero take their defaults.
type Config struct {
	// Node is the name of the node.
	Node string
	// MaxRunning bounds the requests that run on the node at once; 0 means no bound.
	MaxRunning int
	// ShareTimeout is how long a request waits for a share of its contract.
	ShareTimeout time.Duration
	// EstimateTimeout is how long a request waits without an estimate of when its
	// target is ready.
	EstimateTimeout time.Duration
	// IdleAfter is how long a customer without requests keeps its lease.
	IdleAfter time.Duration
	// ReportInterval is the time between two complete reports.
	ReportInterval time.Duration
}

// withDefaults returns the config with zero durations replaced by their defaults.
func (c Config) withDefaults() Config {
	c.ShareTimeout = cmp.Or(c.ShareTimeout, DefaultShareTimeout)
	c.EstimateTimeout = cmp.Or(c.EstimateTimeout, DefaultEstimateTimeout)
	c.IdleAfter = cmp.Or(c.IdleAfter, DefaultIdleAfter)
	c.ReportInterval = cmp.Or(c.ReportInterval, DefaultReportInterval)
	return c
}

// Throttler decides on the admission of requests on one node. It is not safe for
// concurrent use.
type Throttler struct {
	config        Config
	customers     map[string]*customer
	targets       map[string]*target
	requests      map[uint64]*request // waiting and running requests by ID
	reportable    []*customer         // customers that hold or need shares, sorted by name
	withQueue     []*customer         // customers with waiting requests, sorted by name
	running       int
	virtualTime   float64    // virtual time of the latest start
	capacityFreed bool       // capacity became free since the last dispatch
	decisions     []Decision // final verdicts for the next Poll
	reports       reportState
}

// NewThrottler returns a Throttler without contracts.
func NewThrottler(config Config) *Throttler {
	return &Throttler{
		config:    config.withDefaults(),
		customers: map[string]*customer{},
		targets:   map[string]*target{},
		requests:  map[uint64]*request{},
	}
}

// SetLimits adds a contract or replaces its limits.
func (t *Throttler) SetLimits(l Limits) {
	c := t.customers[l.Customer]
	if c == nil {
		// Accept ignores leases for the customer in this grant and earlier ones.
		c = &customer{leaseSerial: t.reports.lastSerial}
		t.customers[l.Customer] = c
	}
	c.limits = l
	c.ended = false
	c.clipLease()
	c.lastSweep = -never
}

// clipLease limits the lease to the contract, which may have become smaller.
func (c *customer) clipLease() {
	c.lease.Concurrency = min(c.lease.Concurrency, c.limits.Concurrency)
	c.lease.Queue = min(c.lease.Queue, c.limits.Queue)
	c.lease.Burst = min(c.lease.Burst, c.limits.Burst)
	c.lease.Rate = min(c.lease.Rate, c.limits.Rate)
	c.returned += c.bucket.resize(float64(c.lease.Burst), c.lease.Rate)
}

// RemoveLimits ends a contract. The next Poll returns the refusals of its waiting
// requests. Running requests continue until they are released.
func (t *Throttler) RemoveLimits(name string) {
	c := t.customers[name]
	if c == nil {
		return
	}
	c.ended = true
	t.refuseAll(c, NoContract, 0)
	if c.running == 0 {
		t.forget(c)
	}
}

// forget removes a customer whose contract has ended.
func (t *Throttler) forget(c *customer) {
	delete(t.customers, c.limits.Customer)
	t.reportable = removeCustomer(t.reportable, c)
	t.reports.urgent = removeCustomer(t.reports.urgent, c)
}

// SetTarget sets the state of a model or service.
func (t *Throttler) SetTarget(name string, state TargetState, now time.Duration) {
	tg := t.ensureTarget(name, now)
	tg.state = state
	if state.Readiness != Unknown {
		tg.awaitingEstimate = false
	} else if tg.waiting > 0 {
		tg.awaitEstimate(now)
	}
	if tg.waiting > 0 {
		t.capacityFreed = true
		t.requestSweep(tg)
	}
}

// requestSweep makes the next Poll check the requests of all customers that wait for a
// target.
func (t *Throttler) requestSweep(tg *target) {
	for _, c := range t.withQueue {
		if c.findQueue(tg.name) != nil {
			c.lastSweep = -never
		}
	}
}

// ensureTarget returns the target and creates it if it does not exist.
func (t *Throttler) ensureTarget(name string, now time.Duration) *target {
	tg := t.targets[name]
	if tg == nil {
		tg = &target{name: name}
		t.targets[name] = tg
	}
	tg.lastNamed = now
	return tg
}

// RemoveTarget removes a target that no contract names any more. It does nothing while
// requests wait for the target or run on it.
func (t *Throttler) RemoveTarget(name string) {
	tg := t.targets[name]
	if tg != nil && tg.waiting == 0 && tg.running == 0 {
		delete(t.targets, name)
	}
}

// Release ends a request that has completed. It reports whether the request was
// running.
func (t *Throttler) Release(id uint64, now time.Duration) bool {
	r := t.requests[id]
	if r == nil || !r.running {
		return false
	}
	ran := now - r.started
	r.queue.customer.meanRunTime = updateMean(r.queue.customer.meanRunTime, ran)
	r.queue.target.meanRunTime = updateMean(r.queue.target.meanRunTime, ran)
	t.finish(r)
	return true
}

// Cancel ends a waiting or running request whose caller has disconnected. It reports
// whether the request was present.
func (t *Throttler) Cancel(id uint64) bool {
	r := t.requests[id]
	if r == nil {
		return false
	}
	if r.running {
		t.finish(r)
		return true
	}
	t.dequeue(r)
	delete(t.requests, id)
	return true
}

// finish ends a running request and frees its capacity.
func (t *Throttler) finish(r *request) {
	c := r.queue.customer
	delete(t.requests, r.ID)
	t.running--
	r.queue.target.running--
	c.running--
	t.capacityFreed = true
	if c.running >= c.lease.Concurrency || c.lease.Scarce && c.hasUnusedConcurrency() {
		t.markUrgent(c)
	}
	if c.ended && c.running == 0 {
		t.forget(c)
	}
}

// enqueue adds a request to its queue.
func (t *Throttler) enqueue(r *request, now time.Duration) {
	tq := r.queue
	c := tq.customer
	if len(tq.waiting) == 0 {
		at, _ := slices.BinarySearchFunc(c.queues, tq.target.name, compareQueue)
		c.queues = slices.Insert(c.queues, at, tq)
		tq.target.queues++
	}
	if c.queued == 0 {
		t.withQueue = insertCustomer(t.withQueue, c)
	}
	tq.insert(r)
	c.queued++
	tq.target.waiting++
	tq.target.awaitEstimate(now)
	// Requests behind r start later than estimated before, so they are checked again.
	if tq.ahead(r)+1 < len(tq.waiting) {
		c.lastSweep = -never
	}
	t.requests[r.ID] = r
}

// dequeue removes a waiting request from its queue.
func (t *Throttler) dequeue(r *request) {
	tq := r.queue
	c := tq.customer
	tq.remove(r)
	c.queued--
	tq.target.waiting--
	if len(tq.waiting) == 0 {
		at, _ := slices.BinarySearchFunc(c.queues, tq.target.name, compareQueue)
		c.queues = slices.Delete(c.queues, at, at+1)
		tq.target.queues--
	}
	if c.queued == 0 {
		t.withQueue = removeCustomer(t.withQueue, c)
	}
}

// compareCustomer compares a customer with a name in a binary search.
func compareCustomer(c *customer, name string) int {
	return cmp.Compare(c.limits.Customer, name)
}

// insertCustomer adds a customer to a list sorted by name unless it is in the list.
func insertCustomer(list []*customer, c *customer) []*customer {
	at, found := slices.BinarySearchFunc(list, c.limits.Customer, compareCustomer)
	if found {
		return list
	}
	return slices.Insert(list, at, c)
}

// removeCustomer removes a customer from a list sorted by name if it is in the list.
func removeCustomer(list []*customer, c *customer) []*customer {
	at, found := slices.BinarySearchFunc(list, c.limits.Customer, compareCustomer)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}
