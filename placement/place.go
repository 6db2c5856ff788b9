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
	r.remoteCount = r.remoteLoads()
	for i := range needs {
		n := &needs[i]
		if !r.permits(n.model) {
			continue
		}
		limit := width + grantsAhead
		if n.class == classAhead {
			limit = width - 1
		}
		target, tier := r.choose(n)
		if target == nil {
			n.blocked = true
			r.blocked++
			r.queue = append(r.queue, *n)
			continue
		}
		full := tier == directory.TierRemote && r.remoteCount >= max(limit, 1)
		if full && n.class == classAhead {
			r.queue = append(r.queue, *n)
			continue
		}
		if full || target.free < n.model.memory {
			n.tier = tier
			r.makeRoom(n, target)
			r.queue = append(r.queue, *n)
			continue
		}
		if tier == directory.TierRemote {
			r.remoteCount++
		}
		n.tier = tier
		r.granted = append(r.granted, *n)
		r.grant(n.model, target, tier)
	}
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
	n := need{model: m, tier: m.tier, rate: m.arrivals.rate(r.now)}
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

// permits reports whether the contract's replica limits leave room. Where the
// model's limit is in the way it gives up replicas on leaving upstreams, where
// only the customer's is, an idle replica of the same customer.
func (r *round) permits(m *model) bool {
	if m.charged >= m.limit {
		r.withdrawLeaving(m)
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
	// costly says that a required replica has to be evicted.
	costly bool
	// shared is the number of the model's replicas in the failure domain.
	shared int
	// opens says that the upstream holds no replica yet.
	opens bool
	// time is the tail of the time until the replica is ready.
	time time.Duration
}

// choose returns the upstream for a need and the tier to load from, or nil if
// none has, or could free, the memory. An upstream on which no required replica
// is evicted goes first, then a failure domain with fewer replicas of the
// model, then the one that is ready sooner, then the less busy, then one that
// holds replicas already, so that large models find an empty one, then the one
// whose main memory holds fewer checkpoints, so that later loads find theirs
// there, then the tighter fit.
func (r *round) choose(n *need) (*upstream, directory.Tier) {
	var best candidate
	consider := func(u *upstream, tier directory.Tier, tail time.Duration) {
		c, fits := r.assess(n, u)
		c.tier = tier
		c.time += tail
		if fits && (best.upstream == nil || c.before(&best)) {
			best = c
		}
	}
	for _, h := range r.holders[n.model.Model] {
		consider(h.upstream, h.tier, r.estimator.Tail(h.tier, n.model.memory))
	}
	fromStore := r.storeWait() + r.estimator.Tail(directory.TierRemote, n.model.memory)
	if best.upstream != nil && !best.costly && best.shared == 0 && best.time <= fromStore {
		return best.upstream, best.tier
	}
	for _, u := range r.upstreams {
		consider(u, directory.TierRemote, fromStore)
	}
	return best.upstream, best.tier
}

// storeWait estimates how long a further load waits for the store.
func (r *round) storeWait() time.Duration {
	waiting := r.remoteCount - r.config.Store.Width + 1
	if waiting <= 0 {
		return 0
	}
	return time.Duration(waiting) * max(r.estimator.Mean(directory.TierRemote, typicalSize)/time.Duration(r.config.Store.Width), r.spacing())
}

func (r *round) assess(n *need, u *upstream) (candidate, bool) {
	if !u.usable() || n.model.avoids(u.id, r.now) {
		return candidate{}, false
	}
	c := candidate{upstream: u, opens: len(u.replicas) == 0}
	if u.free < n.model.memory {
		c.time += r.unloadTime
		missing := n.model.memory - u.free - u.coming
		fits, costly := r.evictable(n, u, missing)
		if !fits {
			return candidate{}, false
		}
		c.costly = costly
	}
	for _, v := range n.model.live {
		if v.upstream != nil && !v.lost() && v.upstream.domain == u.domain {
			c.shared++
		}
	}
	return c, true
}

func (c *candidate) before(other *candidate) bool {
	a, b := c.upstream, other.upstream
	switch {
	case c.costly != other.costly:
		return other.costly
	case c.shared != other.shared:
		return c.shared < other.shared
	case c.time != other.time:
		return c.time < other.time
	case a.busy != b.busy:
		return a.busy < b.busy
	case c.opens != other.opens:
		return other.opens
	case a.cached != b.cached:
		return a.cached < b.cached
	case a.free != b.free:
		return a.free < b.free
	default:
		return a.id < b.id
	}
}
