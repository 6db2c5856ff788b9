package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// needClass is the urgency of a need, the most urgent class first.
type needClass uint8

const (
	// classDemand is for waiting requests that can still be served in time.
	classDemand needClass = iota
	// classLate is for waiting requests that cannot be served in time.
	classLate
	// classReserved is for reservations.
	classReserved
	// classKeepWarm is for replicas that are required before a request arrives. They may use
	// all store slots but one.
	classKeepWarm
)

// extraGrants is the number of grants committed beyond the store's width, so that a store
// slot that becomes free is used again without waiting for a commit.
const extraGrants = 2

// need is a missing replica that has to be loaded.
type need struct {
	model *model
	class needClass
	// slack is the time to the earliest deadline beyond the tail of the load time and
	// decisionDelay.
	slack time.Duration
	// waitingPerSecond is the number of waiting requests per second of load time.
	waitingPerSecond float64
	// arrivalRate is the model's arrival rate in requests per second.
	arrivalRate float64
	// tier is the tier to load from.
	tier directory.Tier
	// blocked reports whether no upstream has, or could free, memory for the replica.
	blocked bool
}

// placeReplicas proposes grants for the missing replicas, the most urgent first. A need that
// finds no upstream, no memory or too many loads from the store is queued. Unless it is
// classKeepWarm and waits for the store, it claims the memory of its upstream.
func (r *round) placeReplicas() {
	needs := r.needs()
	r.markEvictable()
	width := r.config.Store.Width
	r.storeLoads = r.countStoreLoads()
	for i := range needs {
		n := &needs[i]
		if !r.withinLimits(n.model) {
			continue
		}
		limit := width + extraGrants
		if n.class == classKeepWarm {
			limit = width - 1
		}
		target, tier := r.chooseUpstream(n)
		if target == nil {
			n.blocked = true
			r.blockedNeeds++
			r.queuedNeeds = append(r.queuedNeeds, *n)
			continue
		}
		storeFull := tier == directory.TierRemote && r.storeLoads >= max(limit, 1)
		if storeFull && n.class == classKeepWarm {
			r.queuedNeeds = append(r.queuedNeeds, *n)
			continue
		}
		if storeFull || target.freeMemory < n.model.memory {
			n.tier = tier
			r.claimMemory(n, target)
			r.queuedNeeds = append(r.queuedNeeds, *n)
			continue
		}
		if tier == directory.TierRemote {
			r.storeLoads++
		}
		n.tier = tier
		r.grantedNeeds = append(r.grantedNeeds, *n)
		r.grant(n.model, target, tier)
	}
}

// grant proposes to add a grant and charges it for the rest of the round.
func (r *round) grant(m *model, u *upstream, tier directory.Tier) {
	u.freeMemory -= m.memory
	m.chargedReplicas++
	m.customer.chargedReplicas++
	r.plan.Changes = append(r.plan.Changes, Change{
		Kind: Add,
		Grant: Grant{
			Key: m.Key, Upstream: u.id, Incarnation: u.announcement.Incarnation,
			Memory: m.memory, Tier: tier,
		},
		UpstreamMemory: u.announcement.Memory,
	})
}

// needs lists the missing replicas in the order in which they are placed.
func (r *round) needs() []need {
	var needs []need
	for _, m := range r.models {
		for missing := m.want - m.usableReplicas; missing > 0; missing-- {
			needs = append(needs, r.newNeed(m))
		}
	}
	slices.SortStableFunc(needs, compareNeeds)
	return needs
}

// newNeed classifies one missing replica of a model.
func (r *round) newNeed(m *model) need {
	n := need{model: m, tier: m.tier, arrivalRate: m.arrivals.rate(r.now)}
	tail := r.estimator.Tail(n.tier, m.memory)
	switch {
	case m.waiting > 0:
		n.slack = m.remaining - tail - decisionDelay
		n.waitingPerSecond = float64(m.waiting) / max(tail.Seconds(), 1e-3)
		if n.slack < 0 {
			n.class = classLate
		}
	case m.usableReplicas < m.reservedReplicas:
		n.class = classReserved
	default:
		n.class = classKeepWarm
	}
	return n
}

// compareNeeds orders needs by class. Within classDemand the least slack goes first. Then
// follow the waiting requests per second of load time, the arrival rate and the key.
func compareNeeds(a, b need) int {
	if c := cmp.Compare(a.class, b.class); c != 0 {
		return c
	}
	if a.class == classDemand {
		if c := cmp.Compare(a.slack, b.slack); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(b.waitingPerSecond, a.waitingPerSecond); c != 0 {
		return c
	}
	if c := cmp.Compare(b.arrivalRate, a.arrivalRate); c != 0 {
		return c
	}
	return compareKeys(a.model.Key, b.model.Key)
}

// withinLimits reports whether the contract's replica limits allow another replica. At the
// model's limit it withdraws the model's replicas on leaving upstreams, and at the customer's
// limit an idle replica of the customer, to allow one in a later round.
func (r *round) withinLimits(m *model) bool {
	if m.chargedReplicas >= m.replicaLimit {
		r.withdrawLeaving(m)
		return false
	}
	if m.customer.chargedReplicas < m.customer.replicaLimit {
		return true
	}
	r.evictForCustomerLimit(m)
	return false
}

// countStoreLoads counts the granted loads that use the store and have not finished.
func (r *round) countStoreLoads() int {
	count := 0
	for i := range r.replicas {
		if r.usesStore(&r.replicas[i]) {
			count++
		}
	}
	return count
}

// usesStore reports whether a grant's load takes, or will take, one of the store's load
// slots.
func (r *round) usesStore(rep *replica) bool {
	if rep.Tier != directory.TierRemote || rep.hasLocalCopy || !rep.live() || rep.status == statusReady || r.isEnded(rep.ID) {
		return false
	}
	if rep.status == statusProposed || !rep.lost() {
		return true
	}
	if rep.progress.loadOrders == 0 {
		return false
	}
	tail := r.estimator.Tail(rep.Tier, rep.Memory)
	return r.now < rep.progress.firstLoadSentAt+lostLoadTails*tail
}

// candidate is an upstream considered for one need.
type candidate struct {
	upstream *upstream
	tier     directory.Tier
	// evictsRequired reports whether a required replica has to be evicted.
	evictsRequired bool
	// inDomain is the number of the model's replicas in the upstream's failure domain.
	inDomain int
	// empty reports whether the upstream holds no replica yet.
	empty bool
	// readyIn is the tail of the time until the replica is ready.
	readyIn time.Duration
}

// chooseUpstream returns the upstream for a need and the tier to load from, or nil if no
// upstream has, or could free, the memory. It prefers, in this order, an upstream
//   - on which no required replica is evicted,
//   - in a failure domain with fewer replicas of the model,
//   - on which the replica is ready sooner,
//   - that is less busy,
//   - that already holds replicas, so that large models find an empty one,
//   - with fewer bytes of checkpoints in main memory, so that later loads of those models
//     find theirs there,
//   - with the tighter fit.
//
// Upstreams that hold a local copy are considered first. The others are skipped if one of
// these evicts no required replica, shares no failure domain with another replica of the
// model and is ready no later than after a load from the store.
func (r *round) chooseUpstream(n *need) (*upstream, directory.Tier) {
	var best candidate
	consider := func(u *upstream, tier directory.Tier, tail time.Duration) {
		c, fits := r.assess(n, u)
		c.tier = tier
		c.readyIn += tail
		if fits && (best.upstream == nil || c.betterThan(&best)) {
			best = c
		}
	}
	for _, h := range r.copyHolders[n.model.Model] {
		consider(h.upstream, h.tier, r.estimator.Tail(h.tier, n.model.memory))
	}
	fromStore := r.storeWait() + r.estimator.Tail(directory.TierRemote, n.model.memory)
	if best.upstream != nil && !best.evictsRequired && best.inDomain == 0 && best.readyIn <= fromStore {
		return best.upstream, best.tier
	}
	for _, u := range r.upstreams {
		consider(u, directory.TierRemote, fromStore)
	}
	return best.upstream, best.tier
}

// storeWait estimates how long a further load waits for a store slot.
func (r *round) storeWait() time.Duration {
	waiting := r.storeLoads - r.config.Store.Width + 1
	if waiting <= 0 {
		return 0
	}
	return time.Duration(waiting) * max(r.estimator.Mean(directory.TierRemote, typicalSize)/time.Duration(r.config.Store.Width), r.spacing())
}

// assess returns an upstream as a candidate for a need, without the load time, and whether
// the upstream can take the replica.
func (r *round) assess(n *need, u *upstream) (candidate, bool) {
	if !u.usable() || n.model.avoids(u.id, r.now) {
		return candidate{}, false
	}
	c := candidate{upstream: u, empty: len(u.replicas) == 0}
	if u.freeMemory < n.model.memory {
		c.readyIn += r.unloadTime
		missing := n.model.memory - u.freeMemory - u.freeingMemory
		fits, evictsRequired := r.canFree(n, u, missing)
		if !fits {
			return candidate{}, false
		}
		c.evictsRequired = evictsRequired
	}
	for _, rep := range n.model.live {
		if rep.upstream != nil && !rep.lost() && rep.upstream.domain == u.domain {
			c.inDomain++
		}
	}
	return c, true
}

// betterThan reports whether c is preferred to other; see chooseUpstream for the order.
func (c *candidate) betterThan(other *candidate) bool {
	a, b := c.upstream, other.upstream
	switch {
	case c.evictsRequired != other.evictsRequired:
		return other.evictsRequired
	case c.inDomain != other.inDomain:
		return c.inDomain < other.inDomain
	case c.readyIn != other.readyIn:
		return c.readyIn < other.readyIn
	case a.busy != b.busy:
		return a.busy < b.busy
	case c.empty != other.empty:
		return other.empty
	case a.cachedMemory != b.cachedMemory:
		return a.cachedMemory < b.cachedMemory
	case a.freeMemory != b.freeMemory:
		return a.freeMemory < b.freeMemory
	default:
		return a.id < b.id
	}
}
