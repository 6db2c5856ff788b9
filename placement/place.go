package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// needClass orders needs of different urgency.
type needClass uint8

const (
	// classDemand is for requests that wait and can still be served in time.
	classDemand needClass = iota
	// classLate is for requests that wait and cannot be served in time.
	classLate
	// classReserved is for reservations.
	classReserved
	// classAhead is for replicas that are required before a request arrives.
	classAhead
)

// grantsAhead is the number of grants committed ahead of free places of the
// store, so that a place is taken again without waiting for a commit.
const grantsAhead = 2

// need is one replica that has to be loaded.
type need struct {
	model *model
	class needClass
	// slack is the time to the earliest deadline beyond the load's tail.
	slack time.Duration
	// work is the number of waiting requests per second of load.
	work float64
	// rate is the model's arrivals a second.
	rate float64
	// tier is the nearest tier.
	tier directory.Tier
	// blocked says that no upstream has memory for the replica.
	blocked bool
}

// place proposes grants for the replicas that are needed, the most urgent
// first.
func (r *round) place() {
	needs := r.needs()
	r.measureMemory()
	width := r.config.Store.Width
	remote := r.remoteLoads()
	for i := range needs {
		n := &needs[i]
		if !r.permits(n.model) {
			continue
		}
		limit := width + grantsAhead
		if n.class == classAhead {
			limit = width - 1
		}
		target, tier := r.choose(n, remote < max(limit, 1))
		if target == nil {
			n.blocked = !r.fits(n)
			r.queue = append(r.queue, *n)
			continue
		}
		if target.free < n.model.memory {
			r.makeRoom(n, target)
			r.queue = append(r.queue, *n)
			continue
		}
		if tier == directory.TierRemote {
			remote++
		}
		n.tier = tier
		r.granted = append(r.granted, *n)
		r.grant(n.model, target, tier)
	}
}

// fits reports whether any upstream has, or could free, memory for a need.
func (r *round) fits(n *need) bool {
	target, _ := r.choose(n, true)
	return target != nil
}

func (r *round) grant(m *model, u *upstream, tier directory.Tier) {
	u.free -= m.memory
	m.charged++
	m.customer.charged++
	r.plan.Changes = append(r.plan.Changes, Change{
		Kind: Add,
		Grant: Grant{
			Key: m.Key, Upstream: u.id, Incarnation: u.announcement.Incarnation,
			Memory: m.memory, Tier: tier,
		},
		UpstreamMemory: u.announcement.Memory,
	})
}

// needs lists the missing replicas in the order of service: requests that can
// still be served by slack, then by waiting work per second of load.
func (r *round) needs() []need {
	var needs []need
	for _, m := range r.models {
		for missing := m.want - m.usable; missing > 0; missing-- {
			needs = append(needs, r.newNeed(m))
		}
	}
	slices.SortStableFunc(needs, compareNeeds)
	return needs
}

func (r *round) newNeed(m *model) need {
	n := need{model: m, tier: r.nearestTier(m), rate: m.arrivals.rate(r.now)}
	tail := r.estimator.Tail(n.tier, m.memory)
	switch {
	case m.waiting > 0:
		n.slack = m.remaining - tail - decisionDelay
		n.work = float64(m.waiting) / max(tail.Seconds(), 1e-3)
		if n.slack < 0 {
			n.class = classLate
		}
	case m.usable < m.reserved:
		n.class = classReserved
	default:
		n.class = classAhead
	}
	return n
}

func compareNeeds(a, b need) int {
	if c := cmp.Compare(a.class, b.class); c != 0 {
		return c
	}
	if a.class == classDemand {
		if c := cmp.Compare(a.slack, b.slack); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(b.work, a.work); c != 0 {
		return c
	}
	if c := cmp.Compare(b.rate, a.rate); c != 0 {
		return c
	}
	return compareKeys(a.model.Key, b.model.Key)
}

// permits reports whether the contract's replica limits leave room, and frees
// an idle replica of the same customer where only the customer's limit is in
// the way.
func (r *round) permits(m *model) bool {
	if m.charged >= m.limit {
		return false
	}
	if m.customer.charged < m.customer.limit {
		return true
	}
	r.evictCustomer(m)
	return false
}

// remoteLoads counts the granted loads from the store that are not finished.
func (r *round) remoteLoads() int {
	count := 0
	for i := range r.replicas {
		if r.usesStore(&r.replicas[i]) {
			count++
		}
	}
	return count
}

// usesStore reports whether a grant's load takes, or will take, one of the
// store's places.
func (r *round) usesStore(v *replica) bool {
	if v.Tier != directory.TierRemote || v.fetched || !v.live() || v.status == statusReady || r.isEnded(v.ID) {
		return false
	}
	if v.status == statusProposed || !v.lost() {
		return true
	}
	if v.progress.sends == 0 {
		return false
	}
	tail := r.estimator.Tail(v.Tier, v.Memory)
	return r.now < v.progress.firstAt+presumedLost*tail
}

// candidate is an upstream considered for one need.
type candidate struct {
	upstream *upstream
	tier     directory.Tier
	// room is 0 for free memory, 1 for memory about to be freed, 2 for memory
	// that an eviction frees.
	room   int
	shared int
	time   time.Duration
}

// choose returns the upstream for a need and the tier to load from, or nil if
// none can take it now. Free memory goes before an eviction, a failure domain
// without a replica of the model before one with, then the shorter load, then
// the less busy upstream, then the one whose main memory holds fewer
// checkpoints, so that later loads find theirs there, then the tighter fit.
func (r *round) choose(n *need, storeFree bool) (*upstream, directory.Tier) {
	var best candidate
	consider := func(u *upstream, tier directory.Tier) {
		c, fits := r.assess(n, u, tier)
		if fits && (best.upstream == nil || c.before(&best)) {
			best = c
		}
	}
	for _, h := range r.holders[n.model.Model] {
		consider(h.upstream, h.tier)
	}
	if best.upstream != nil && best.room == 0 && best.shared == 0 {
		return best.upstream, best.tier
	}
	if !storeFree {
		return best.upstream, best.tier
	}
	for _, u := range r.upstreams {
		consider(u, directory.TierRemote)
	}
	return best.upstream, best.tier
}

func (r *round) assess(n *need, u *upstream, tier directory.Tier) (candidate, bool) {
	if !u.usable() || n.model.avoids(u.id, r.now) {
		return candidate{}, false
	}
	c := candidate{upstream: u, tier: tier}
	memory := n.model.memory
	switch {
	case u.free >= memory:
	case u.free+u.coming >= memory:
		c.room = 1
	case u.free+u.coming+r.evictableFor(n, u) >= memory:
		c.room = 2
	default:
		return candidate{}, false
	}
	for _, v := range n.model.live {
		if v.upstream != nil && !v.lost() && v.upstream.domain == u.domain {
			c.shared++
		}
	}
	c.time = r.estimator.Tail(tier, memory)
	return c, true
}

func (c *candidate) before(other *candidate) bool {
	a, b := c.upstream, other.upstream
	switch {
	case c.room != other.room:
		return c.room < other.room
	case c.shared != other.shared:
		return c.shared < other.shared
	case c.time != other.time:
		return c.time < other.time
	case a.busy != b.busy:
		return a.busy < b.busy
	case a.cached != b.cached:
		return a.cached < b.cached
	case a.free != b.free:
		return a.free < b.free
	default:
		return a.id < b.id
	}
}
