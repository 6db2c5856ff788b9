package admission

import (
	"cmp"
	"slices"
	"time"
)

// DefaultLeaseDuration is the length of a lease.
const DefaultLeaseDuration = 3 * time.Second

// driftShift allows the clocks of two VMs to differ by 1/64 in speed.
const driftShift = 6

// AllocatorConfig configures an Allocator.
type AllocatorConfig struct {
	// Term is the leader's term.
	Term uint64
	// Since is when the leader's term began. Until leases of earlier terms
	// have ended, nodes get at most what they hold already.
	Since time.Duration
	// Nodes are all nodes that may hold leases of earlier terms. Once each of
	// them has reported in this term, what they hold is known, and the wait
	// for those leases ends. Without names the wait takes its whole time.
	Nodes []string
	// LeaseDuration is the length of a lease; DefaultLeaseDuration if zero.
	// All leaders must use the same.
	LeaseDuration time.Duration
}

// Allocator hands out shares of contracts on the leader. The caller calls it
// only while its leadership is confirmed, and discards it with the term. It is
// not safe for concurrent use.
type Allocator struct {
	config  AllocatorConfig
	pools   map[string]*pool
	serial  uint64
	pushes  []Grant
	awaited map[string]bool // nodes that have not reported in this term
	heard   bool            // a report has come in this term
}

// NewAllocator returns an allocator without contracts.
func NewAllocator(config AllocatorConfig) *Allocator {
	config.LeaseDuration = cmp.Or(config.LeaseDuration, DefaultLeaseDuration)
	a := &Allocator{config: config, pools: map[string]*pool{}, awaited: map[string]bool{}}
	for _, node := range config.Nodes {
		a.awaited[node] = true
	}
	return a
}

// SetLimits adds or replaces the limits of a contract. Smaller limits hold
// once the leases given out before have been renewed or have ended.
func (a *Allocator) SetLimits(l Limits, now time.Duration) {
	p := a.pools[l.Customer]
	if p == nil {
		p = &pool{settled: a.config.Since + a.charge(), whole: !a.heard}
		p.bucket.at = max(now, p.settled)
		a.pools[l.Customer] = p
	}
	p.advance(now)
	p.limits = l
	p.resize()
}

// RemoveLimits ends a contract. What is leased stays charged until it ends.
func (a *Allocator) RemoveLimits(name string, now time.Duration) {
	if p := a.pools[name]; p != nil {
		a.SetLimits(Limits{Customer: name}, now)
	}
}

// charge returns how long a lease is charged, which is a little longer than
// its holder may use it.
func (a *Allocator) charge() time.Duration {
	d := a.config.LeaseDuration
	return d + d>>driftShift
}

// Report takes a node's report and answers it with leases. The answer is empty
// if the report is meant for another term.
func (a *Allocator) Report(r Report, now time.Duration) Grant {
	a.serial++
	grant := Grant{Node: r.Node, Term: a.config.Term, Serial: a.serial, Report: r.Seq}
	if r.Term != a.config.Term {
		return grant
	}
	a.heard = true
	if r.Whole {
		defer a.hear(r.Node, now)
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
		if !h.known {
			p.adopt(h, u, now+a.charge())
		}
		p.observe(h, u, now)
		grant.Leases = append(grant.Leases, a.lease(p, h, grant.Serial, now))
		a.push(p, h, now)
	}
	return grant
}

// hear ends the wait for leases of earlier terms when the last node that may
// hold some has reported. Pools that did not see all reports wait on.
func (a *Allocator) hear(node string, now time.Duration) {
	if !a.awaited[node] {
		return
	}
	delete(a.awaited, node)
	if len(a.awaited) > 0 {
		return
	}
	for _, p := range a.pools {
		if p.whole && now < p.settled {
			p.settled, p.bucket.at = now, now
		}
	}
}

// lease gives a node its next lease.
func (a *Allocator) lease(p *pool, h *holding, serial uint64, now time.Duration) Lease {
	l := p.share(h, now < p.settled)
	l.Duration = a.config.LeaseDuration
	// A lease counts from its report, so a pushed one ends early for its
	// holder. Charging it from now on is safe.
	p.give(h, l, serial, now+a.charge())
	return l
}

// push gives the nodes that wait what other nodes have freed, and takes back
// what others leave unused if that is not enough.
func (a *Allocator) push(p *pool, but *holding, now time.Duration) {
	if now < p.settled {
		return
	}
	short := false
	for _, h := range p.unmet() {
		if h != but && p.free() > 0 {
			a.pushIf(p, h, now, func(l Lease) bool { return l.Concurrency > h.leased() })
		}
		short = short || h.leased() < h.need()
	}
	if !short {
		return
	}
	for _, h := range p.holdings {
		if h != but && h.leased() > h.need() {
			a.pushIf(p, h, now, func(l Lease) bool { return l.Concurrency < h.leased() })
		}
	}
}

// pushIf gives a node a lease unasked, if it is of use.
func (a *Allocator) pushIf(p *pool, h *holding, now time.Duration, useful func(Lease) bool) {
	if !useful(p.share(h, false)) {
		return
	}
	a.serial++
	grant := Grant{Node: h.node, Term: a.config.Term, Serial: a.serial, Report: h.seq}
	grant.Leases = []Lease{a.lease(p, h, grant.Serial, now)}
	a.pushes = append(a.pushes, grant)
}

// Pushes returns the grants that became due by the reports since the last
// call, for nodes that wait for a share or hold more than they use. They are
// sent without being asked.
func (a *Allocator) Pushes() []Grant {
	pushes := a.pushes
	a.pushes = nil
	return pushes
}

// Expire drops what has ended. It needs to be called only to bound memory.
func (a *Allocator) Expire(now time.Duration) {
	for name, p := range a.pools {
		p.advance(now)
		if len(p.holdings) == 0 && p.limits.Concurrency == 0 {
			delete(a.pools, name)
		}
	}
}

// Charged is what is leased of one contract at present.
type Charged struct {
	// Concurrency and Burst are the sums over all nodes.
	Concurrency, Burst int
	// Nodes is the number of nodes that hold a share.
	Nodes int
}

// Charged returns what is leased of a contract.
func (a *Allocator) Charged(name string, now time.Duration) Charged {
	p := a.pools[name]
	if p == nil {
		return Charged{}
	}
	p.advance(now)
	all := p.charged(nil)
	return Charged{
		Concurrency: all.concurrency,
		Burst:       all.burst,
		Nodes:       len(p.holdings),
	}
}

// compareHolding orders holdings by node.
func compareHolding(h *holding, node string) int {
	return cmp.Compare(h.node, node)
}

// holding returns the node's holding, which is created if there is none.
func (p *pool) holding(node string) *holding {
	at, found := slices.BinarySearchFunc(p.holdings, node, compareHolding)
	if !found {
		p.holdings = slices.Insert(p.holdings, at, &holding{node: node})
	}
	return p.holdings[at]
}
