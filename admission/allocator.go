package admission

import (
	"cmp"
	"slices"
	"time"
)

// DefaultLeaseDuration is how long a lease is valid, counted from when the report that
// it answers was sent.
const DefaultLeaseDuration = 3 * time.Second

// clockDriftShift sets the tolerated clock drift: the clocks of two VMs may differ by
// 1/64 (1 >> 6) in speed.
const clockDriftShift = 6

// AllocatorConfig configures an Allocator.
type AllocatorConfig struct {
	// Term is the term of the leader that runs the allocator.
	Term uint64
	// Since is when the term began. Leases of earlier terms may be in use for some time
	// after it; until they have ended, a node gets at most what it already holds.
	Since time.Duration
	// Nodes lists all nodes that may hold leases of earlier terms. Once each of them
	// has sent a complete report in this term, all those leases are known and the wait
	// for them ends early. If Nodes is empty, the wait takes its full time.
	Nodes []string
	// LeaseDuration is the length of a lease; DefaultLeaseDuration if zero. All leaders
	// must use the same value, because a new leader computes from it when the leases of
	// earlier terms end.
	LeaseDuration time.Duration
}

// Allocator runs on the leader and divides the capacity of each contract among the
// nodes by granting leases. The caller uses it only while its leadership is confirmed,
// and discards it at the end of the term. It is not safe for concurrent use.
type Allocator struct {
	config     AllocatorConfig
	pools      map[string]*pool
	serial     uint64          // of the latest grant
	pushes     []Grant         // grants to send without waiting for a report
	unreported map[string]bool // nodes without a complete report in this term
	anyReport  bool            // a report has arrived in this term
}

// NewAllocator returns an Allocator without contracts.
func NewAllocator(config AllocatorConfig) *Allocator {
	config.LeaseDuration = cmp.Or(config.LeaseDuration, DefaultLeaseDuration)
	a := &Allocator{config: config, pools: map[string]*pool{}, unreported: map[string]bool{}}
	for _, node := range config.Nodes {
		a.unreported[node] = true
	}
	return a
}

// SetLimits adds a contract or replaces its limits. Lower limits take full effect once
// the leases granted before have been renewed or have ended.
func (a *Allocator) SetLimits(l Limits, now time.Duration) {
	p := a.pools[l.Customer]
	if p == nil {
		p = &pool{oldLeasesEnd: a.config.Since + a.chargeDuration(), sawAllReports: !a.anyReport}
		// The bucket gains no tokens until the leases of earlier terms have ended.
		p.bucket.updated = max(now, p.oldLeasesEnd)
		a.pools[l.Customer] = p
	}
	p.advance(now)
	p.limits = l
	p.resizeBucket()
}

// RemoveLimits ends a contract by setting its limits to zero. Leases granted before
// stay charged until they end.
func (a *Allocator) RemoveLimits(name string, now time.Duration) {
	if p := a.pools[name]; p != nil {
		a.SetLimits(Limits{Customer: name}, now)
	}
}

// chargeDuration returns how long a lease is charged to its contract. It exceeds the
// lease duration by the tolerated clock drift.
func (a *Allocator) chargeDuration() time.Duration {
	d := a.config.LeaseDuration
	return d + d>>clockDriftShift
}

// Report records a report and returns the grant that answers it. The grant has no
// leases if the report is addressed to another term. A customer gets no lease if its
// contract is unknown or if the node has reported on it with the same or a later Seq.
func (a *Allocator) Report(r Report, now time.Duration) Grant {
	a.serial++
	grant := Grant{Node: r.Node, Term: a.config.Term, Serial: a.serial, Report: r.Seq}
	if r.Term != a.config.Term {
		return grant
	}
	a.anyReport = true
	if r.Complete {
		defer a.noteCompleteReport(r.Node, now)
	}
	for _, u := range r.Customers {
		p := a.pools[u.Customer]
		if p == nil {
			continue
		}
		p.advance(now)
		h := p.holding(r.Node)
		if r.Seq <= h.seq {
			continue
		}
		h.seq = r.Seq
		if !h.reported {
			p.chargeHeldLease(h, u, now+a.chargeDuration())
		}
		p.applyUsage(h, u, now)
		grant.Leases = append(grant.Leases, a.grantLease(p, h, grant.Serial, now))
		a.pushToOthers(p, h, now)
	}
	return grant
}

// noteCompleteReport records a complete report. After the last outstanding one, the
// wait for leases of earlier terms ends for the pools that have existed since before
// the first report. Pools created later have missed reports, so they wait the full
// time.
func (a *Allocator) noteCompleteReport(node string, now time.Duration) {
	if !a.unreported[node] {
		return
	}
	delete(a.unreported, node)
	if len(a.unreported) > 0 {
		return
	}
	for _, p := range a.pools {
		if p.sawAllReports && now < p.oldLeasesEnd {
			p.oldLeasesEnd, p.bucket.updated = now, now
		}
	}
}

// grantLease computes a node's next lease and charges it to the pool.
func (a *Allocator) grantLease(p *pool, h *holding, serial uint64, now time.Duration) Lease {
	l := p.nextLease(h, now < p.oldLeasesEnd)
	l.Duration = a.config.LeaseDuration
	// The holder counts a lease from when it sent the report, so a pushed lease
	// ends early for it. Charging the lease from now on is safe.
	p.chargeGrant(h, l, serial, now+a.chargeDuration())
	return l
}

// pushToOthers pushes leases to nodes other than the reporter. Nodes with waiting
// requests get larger leases if there is free concurrency. If that does not meet all
// needs, nodes that hold more than they need get smaller leases.
func (a *Allocator) pushToOthers(p *pool, reporter *holding, now time.Duration) {
	if now < p.oldLeasesEnd {
		return
	}
	unmet := false
	for _, h := range p.unmetHoldings() {
		if h != reporter && p.freeConcurrency() > 0 {
			a.pushIf(p, h, now, func(l Lease) bool { return l.Concurrency > h.leasedConcurrency() })
		}
		unmet = unmet || h.leasedConcurrency() < h.neededConcurrency()
	}
	if !unmet {
		return
	}
	for _, h := range p.holdings {
		if h != reporter && h.leasedConcurrency() > h.neededConcurrency() {
			a.pushIf(p, h, now, func(l Lease) bool { return l.Concurrency < h.leasedConcurrency() })
		}
	}
}

// pushIf pushes a new lease to a node if useful returns true for it.
func (a *Allocator) pushIf(p *pool, h *holding, now time.Duration, useful func(Lease) bool) {
	if !useful(p.nextLease(h, false)) {
		return
	}
	a.serial++
	grant := Grant{Node: h.node, Term: a.config.Term, Serial: a.serial, Report: h.seq}
	grant.Leases = []Lease{a.grantLease(p, h, grant.Serial, now)}
	a.pushes = append(a.pushes, grant)
}

// Pushes returns the grants that have become due through reports since the last call.
// They go to nodes that wait for a share or hold more than they need. The caller sends
// them without waiting for a report of these nodes.
func (a *Allocator) Pushes() []Grant {
	pushes := a.pushes
	a.pushes = nil
	return pushes
}

// Expire drops charges that have ended, and contracts without concurrency that no node
// holds. Calling it is only needed to bound memory.
func (a *Allocator) Expire(now time.Duration) {
	for name, p := range a.pools {
		p.advance(now)
		if len(p.holdings) == 0 && p.limits.Concurrency == 0 {
			delete(a.pools, name)
		}
	}
}

// Charged is the part of one contract that is leased at present.
type Charged struct {
	// Concurrency and Burst are sums over all nodes.
	Concurrency, Burst int
	// Nodes is the number of nodes with charged leases.
	Nodes int
}

// Charged returns the part of a contract that is leased at present. It is zero for an
// unknown contract.
func (a *Allocator) Charged(name string, now time.Duration) Charged {
	p := a.pools[name]
	if p == nil {
		return Charged{}
	}
	p.advance(now)
	total := p.charged(nil)
	return Charged{
		Concurrency: total.concurrency,
		Burst:       total.burst,
		Nodes:       len(p.holdings),
	}
}

// compareHolding compares a holding with a node name in a binary search.
func compareHolding(h *holding, node string) int {
	return cmp.Compare(h.node, node)
}

// holding returns the node's holding and creates it if there is none.
func (p *pool) holding(node string) *holding {
	at, found := slices.BinarySearchFunc(p.holdings, node, compareHolding)
	if !found {
		p.holdings = slices.Insert(p.holdings, at, &holding{node: node})
	}
	return p.holdings[at]
}
