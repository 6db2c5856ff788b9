package admission

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Config.
const (
	// DefaultShareTimeout is how long a request waits on a node that gets no
	// share.
	DefaultShareTimeout = 3 * time.Second
	// DefaultEstimateTimeout is how long a request waits without an estimate
	// of when its target is ready.
	DefaultEstimateTimeout = 5 * time.Second
	// DefaultIdleAfter is how long a customer without requests keeps its
	// shares on a node.
	DefaultIdleAfter = 2 * time.Second
	// DefaultReportInterval is the time between two reports.
	DefaultReportInterval = 500 * time.Millisecond
)

// Config configures a Throttler. Zero fields take their defaults.
type Config struct {
	// Node is the name of the node.
	Node string
	// MaxRunning bounds the requests that run on the node; 0 is no bound.
	MaxRunning int
	// ShareTimeout is how long a request waits without a lease.
	ShareTimeout time.Duration
	// EstimateTimeout is how long a request waits without an estimate.
	EstimateTimeout time.Duration
	// IdleAfter is how long an idle customer keeps its shares.
	IdleAfter time.Duration
	// ReportInterval is the time between two reports.
	ReportInterval time.Duration
}

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	c.ShareTimeout = cmp.Or(c.ShareTimeout, DefaultShareTimeout)
	c.EstimateTimeout = cmp.Or(c.EstimateTimeout, DefaultEstimateTimeout)
	c.IdleAfter = cmp.Or(c.IdleAfter, DefaultIdleAfter)
	c.ReportInterval = cmp.Or(c.ReportInterval, DefaultReportInterval)
	return c
}

// Throttler admits the requests of one node. It is not safe for concurrent
// use.
type Throttler struct {
	config    Config
	customers map[string]*customer
	targets   map[string]*target
	requests  map[uint64]*request
	live      []*customer // that hold or need shares, sorted by name
	active    []*customer // with waiting requests, sorted by name
	running   int
	virtual   float64 // virtual time of the last start
	freed     bool    // a place became free since the last Poll
	out       []Decision
	reports   reporter
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

// SetLimits adds or replaces the limits of a contract.
func (t *Throttler) SetLimits(l Limits) {
	c := t.customers[l.Customer]
	if c == nil {
		c = &customer{serial: t.reports.serial}
		t.customers[l.Customer] = c
	}
	c.limits = l
	c.ended = false
	c.clip()
	c.swept = -never
}

// clip keeps the lease within a contract that became smaller.
func (c *customer) clip() {
	c.lease.Concurrency = min(c.lease.Concurrency, c.limits.Concurrency)
	c.lease.Queue = min(c.lease.Queue, c.limits.Queue)
	c.lease.Burst = min(c.lease.Burst, c.limits.Burst)
	c.lease.Rate = min(c.lease.Rate, c.limits.Rate)
	c.returned += c.bucket.resize(float64(c.lease.Burst), c.lease.Rate)
}

// RemoveLimits ends a contract. What waits is refused by the next Poll; what
// runs stays until it is released.
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

// forget drops a customer whose contract has ended.
func (t *Throttler) forget(c *customer) {
	delete(t.customers, c.limits.Customer)
	t.live = removeCustomer(t.live, c)
	t.reports.urgent = removeCustomer(t.reports.urgent, c)
}

// SetTarget says whether a model or service serves requests.
func (t *Throttler) SetTarget(name string, state TargetState, now time.Duration) {
	tg := t.targetOf(name, now)
	tg.state = state
	if state.Readiness != Unknown {
		tg.asking = false
	} else if tg.waiting > 0 {
		tg.await(now)
	}
	if tg.waiting > 0 {
		t.freed = true
		t.sweepSoon(tg)
	}
}

// sweepSoon has the next Poll check what waits for a target.
func (t *Throttler) sweepSoon(tg *target) {
	for _, c := range t.active {
		if c.findLine(tg.name) != nil {
			c.swept = -never
		}
	}
}

// targetOf returns the target, which is created if it is not known.
func (t *Throttler) targetOf(name string, now time.Duration) *target {
	tg := t.targets[name]
	if tg == nil {
		tg = &target{name: name}
		t.targets[name] = tg
	}
	tg.used = now
	return tg
}

// RemoveTarget forgets a target that no contract names any more. It stays
// while requests wait for it or run on it.
func (t *Throttler) RemoveTarget(name string) {
	tg := t.targets[name]
	if tg != nil && tg.waiting == 0 && tg.running == 0 {
		delete(t.targets, name)
	}
}

// Release ends a request that ran. It reports whether the request did run.
func (t *Throttler) Release(id uint64, now time.Duration) bool {
	r := t.requests[id]
	if r == nil || !r.running {
		return false
	}
	ran := now - r.started
	r.line.customer.service = observe(r.line.customer.service, ran)
	r.line.target.service = observe(r.line.target.service, ran)
	t.end(r)
	return true
}

// Cancel ends a request whose caller hung up, whether it waits or runs. It
// reports whether the request was present.
func (t *Throttler) Cancel(id uint64) bool {
	r := t.requests[id]
	if r == nil {
		return false
	}
	if r.running {
		t.end(r)
		return true
	}
	t.dequeue(r)
	delete(t.requests, id)
	return true
}

// end frees the places of a running request.
func (t *Throttler) end(r *request) {
	c := r.line.customer
	delete(t.requests, r.ID)
	t.running--
	r.line.target.running--
	c.running--
	t.freed = true
	if c.running >= c.lease.Concurrency || c.lease.Scarce && c.unused() {
		t.hurry(c)
	}
	if c.ended && c.running == 0 {
		t.forget(c)
	}
}

// enqueue adds a request to its line.
func (t *Throttler) enqueue(r *request, now time.Duration) {
	l := r.line
	c := l.customer
	if len(l.waiting) == 0 {
		at, _ := slices.BinarySearchFunc(c.lines, l.target.name, compareLine)
		c.lines = slices.Insert(c.lines, at, l)
		l.target.lines++
	}
	if c.queued == 0 {
		t.active = insertCustomer(t.active, c)
	}
	l.insert(r)
	c.queued++
	l.target.waiting++
	l.target.await(now)
	if l.ahead(r)+1 < len(l.waiting) {
		c.swept = -never
	}
	t.requests[r.ID] = r
}

// dequeue removes a waiting request from its line.
func (t *Throttler) dequeue(r *request) {
	l := r.line
	c := l.customer
	l.remove(r)
	c.queued--
	l.target.waiting--
	if len(l.waiting) == 0 {
		at, _ := slices.BinarySearchFunc(c.lines, l.target.name, compareLine)
		c.lines = slices.Delete(c.lines, at, at+1)
		l.target.lines--
	}
	if c.queued == 0 {
		t.active = removeCustomer(t.active, c)
	}
}

// compareCustomer orders customers by name.
func compareCustomer(c *customer, name string) int {
	return cmp.Compare(c.limits.Customer, name)
}

// insertCustomer adds a customer to a list sorted by name, once.
func insertCustomer(list []*customer, c *customer) []*customer {
	at, found := slices.BinarySearchFunc(list, c.limits.Customer, compareCustomer)
	if found {
		return list
	}
	return slices.Insert(list, at, c)
}

// removeCustomer removes a customer from a list sorted by name.
func removeCustomer(list []*customer, c *customer) []*customer {
	at, found := slices.BinarySearchFunc(list, c.limits.Customer, compareCustomer)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}
