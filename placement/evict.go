package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// withdrawExcess proposes to withdraw replicas beyond the number wanted for each model, and
// all replicas of models that are not under contract. An idle replica first stays for its
// hold time, which costs at most twice as much as the best choice in hindsight (Karlin,
// Manasse, Rudolph and Sleator, "Competitive snoopy caching", Algorithmica 3, 1988).
func (r *round) withdrawExcess() {
	for i := range r.replicas {
		rep := &r.replicas[i]
		if rep.model == nil && rep.State == Granted && rep.status != statusProposed {
			r.withdraw(rep)
		}
	}
	for _, m := range r.models {
		for len(m.live) > m.want {
			rep := r.leastUseful(m)
			if rep == nil || !r.releasable(m, rep) || !r.withdraw(rep) {
				break
			}
			m.excessSince = r.now
		}
	}
}

// releasable reports whether an excess replica may be withdrawn now: at once if the model
// exceeds its replica limit, if no load order was sent or if the upstream is leaving, and
// otherwise after the hold time.
func (r *round) releasable(m *model, rep *replica) bool {
	if len(m.live) > m.replicaLimit || rep.unsent() || rep.upstream != nil && rep.upstream.announcement.Leaving {
		return true
	}
	until := m.excessSince + r.holdTime(m)
	if r.now < until {
		r.planBy(until)
		return false
	}
	return true
}

// holdTime returns how long an idle replica may stay: until keeping it has cost as much as
// loading it again would. Both costs are in accelerator seconds. A load costs the memory it
// occupies and the time of the requests that wait for it. That time weighs more the closer
// the tail of a cold start comes to the contract's wait.
func (r *round) holdTime(m *model) time.Duration {
	typical := r.estimator.Typical(m.tier, m.memory)
	slack := 1 - float64(m.coldTail)/float64(m.maxWait)
	if slack <= 0 || r.largestMemory == 0 {
		return typical
	}
	share := float64(m.memory) / float64(r.largestMemory)
	return typical + time.Duration(float64(typical)*m.burst/(share*slack))
}

// leastUseful returns the model's live replica that is withdrawn first, or nil if none can
// be withdrawn.
func (r *round) leastUseful(m *model) *replica {
	var worst *replica
	for _, rep := range m.live {
		if rep.status == statusProposed || rep.State != Granted || rep.upstream == nil {
			continue
		}
		if worst == nil || rep.lessUseful(worst) {
			worst = rep
		}
	}
	return worst
}

// lessUseful reports whether rep is withdrawn before other: the lower keepRank first, then
// the busier upstream, then the newer grant.
func (rep *replica) lessUseful(other *replica) bool {
	if a, b := rep.keepRank(), other.keepRank(); a != b {
		return a < b
	}
	if rep.upstream.busy != other.upstream.busy {
		return rep.upstream.busy > other.upstream.busy
	}
	return rep.ID > other.ID
}

// unsent reports whether no load order was sent for the grant.
func (rep *replica) unsent() bool {
	return rep.status == statusUnreported && rep.progress.addedByThisLeader && rep.progress.loadOrders == 0
}

// keepRank orders replicas by how much is lost when they are withdrawn, lowest first: no
// load order sent, unreachable, on a leaving upstream, loading, ready.
func (rep *replica) keepRank() int {
	switch {
	case rep.unsent():
		return 0
	case rep.lost():
		return 1
	case rep.upstream.announcement.Leaving:
		return 2
	case rep.status != statusReady:
		return 3
	default:
		return 4
	}
}

// withdraw proposes to withdraw a replica and reports whether it did. On an upstream that
// does not check fencing numbers it waits until no load order for the grant can still
// arrive.
func (r *round) withdraw(rep *replica) bool {
	if rep.State != Granted || r.isEnded(rep.ID) || rep.upstream == nil {
		return false
	}
	if until := r.withdrawableFrom(rep); r.now < until {
		r.planBy(until)
		return false
	}
	r.plan.Changes = append(r.plan.Changes, Change{Kind: Withdraw, ID: rep.ID})
	rep.State = Withdrawn
	rep.upstream.freeingMemory += rep.chargedMemory
	if rep.evictable {
		rep.upstream.evictableMemory -= rep.chargedMemory
	}
	if m := rep.model; m != nil {
		m.live = slices.DeleteFunc(m.live, func(other *replica) bool { return other == rep })
	}
	return true
}

// withdrawableFrom returns the instant from which a grant may be withdrawn: at once on an
// upstream that checks fencing numbers, else once no load order can still arrive.
func (r *round) withdrawableFrom(rep *replica) Instant {
	if rep.upstream.announcement.ChecksFencing {
		return 0
	}
	return max(r.earlierOrdersEnd(), r.orderInFlightUntil(rep))
}

// markEvictable marks the replicas that may be evicted and sums up their memory for each
// upstream.
func (r *round) markEvictable() {
	for i := range r.replicas {
		rep := &r.replicas[i]
		if rep.upstream != nil && rep.live() && !rep.lost() && r.isEvictable(rep) {
			rep.evictable = true
			rep.upstream.evictableMemory += rep.chargedMemory
		}
	}
}

// findLargestFree finds the most memory that any usable upstream has free, or could free,
// not counting what this round already granted or claimed.
func (r *round) findLargestFree() {
	for _, u := range r.upstreams {
		if u.usable() {
			r.largestFree = max(r.largestFree, u.freeMemory)
			r.largestFreeable = max(r.largestFreeable, u.freeMemory+u.freeingMemory+u.evictableMemory)
		}
	}
}

// isEvictable reports whether a replica is ready, idle, beyond the model's reservation and
// withdrawable now.
func (r *round) isEvictable(rep *replica) bool {
	m := rep.model
	return rep.status == statusReady && m != nil && m.idle() && len(m.live) > m.reservedReplicas &&
		r.now >= r.withdrawableFrom(rep)
}

// canFree reports whether an upstream can free the missing memory in bytes for a need, and
// whether that evicts a required replica.
func (r *round) canFree(n *need, u *upstream, missing int64) (fits, evictsRequired bool) {
	if missing <= 0 {
		return true, false
	}
	if u.evictableMemory < missing {
		return false, false
	}
	for _, rep := range r.victims(n, u) {
		missing -= rep.chargedMemory
		evictsRequired = rep.model.needsAllReplicas()
		if missing <= 0 {
			return true, evictsRequired
		}
	}
	return false, false
}

// needsAllReplicas reports whether every live replica of the model is required.
func (m *model) needsAllReplicas() bool { return m.want >= len(m.live) }

// victims lists the replicas on an upstream that may be evicted for a need, in the order of
// eviction.
func (r *round) victims(n *need, u *upstream) []*replica {
	var found []*replica
	for _, rep := range u.replicas {
		if rep.live() && rep.model != n.model && r.isEvictable(rep) && r.mayEvictFor(rep, n) {
			found = append(found, rep)
		}
	}
	slices.SortStableFunc(found, r.compareVictims)
	return found
}

// mayEvictFor reports whether an idle replica may be evicted for a need. A replica that is
// not required always may. A required one may for waiting requests, for reservations, and
// for a model that is called more than twice as often.
func (r *round) mayEvictFor(rep *replica, n *need) bool {
	if !rep.model.needsAllReplicas() || n.class != classKeepWarm {
		return true
	}
	return n.arrivalRate > 2*rep.model.arrivals.rate(r.now)
}

// compareVictims orders replicas for eviction: those that are not required first, then those
// of the model with the lowest arrival rate, then the oldest grant.
func (r *round) compareVictims(a, b *replica) int {
	aRequired, bRequired := a.model.needsAllReplicas(), b.model.needsAllReplicas()
	if aRequired != bRequired {
		if bRequired {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.model.arrivals.rate(r.now), b.model.arrivals.rate(r.now)); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// claimMemory claims an upstream's memory for a need. It withdraws idle replicas until the
// free memory and the memory being freed suffice.
func (r *round) claimMemory(n *need, u *upstream) {
	for _, rep := range r.victims(n, u) {
		if u.freeMemory+u.freeingMemory >= n.model.memory {
			break
		}
		r.withdraw(rep)
	}
	u.freeMemory -= n.model.memory
}

// evictForCustomerLimit withdraws one idle replica of another model of the customer, to make
// room in the customer's replica limit. It does nothing while any of the customer's replicas
// is already being unloaded.
func (r *round) evictForCustomerLimit(m *model) {
	var found []*replica
	n := need{model: m, class: classDemand}
	if m.waiting == 0 {
		n.class = classKeepWarm
	}
	n.arrivalRate = m.arrivals.rate(r.now)
	for i := range r.replicas {
		rep := &r.replicas[i]
		if rep.model == nil || rep.model.customer != m.customer || rep.upstream == nil {
			continue
		}
		if !rep.live() {
			return
		}
		if rep.model != m && r.isEvictable(rep) && r.mayEvictFor(rep, &n) {
			found = append(found, rep)
		}
	}
	if len(found) == 0 {
		return
	}
	slices.SortStableFunc(found, r.compareVictims)
	r.withdraw(found[0])
}

// withdrawLeaving withdraws a model's replicas on leaving upstreams. Their running requests
// finish.
func (r *round) withdrawLeaving(m *model) {
	for _, rep := range slices.Clone(m.live) {
		if rep.status != statusProposed && !rep.lost() && rep.upstream.announcement.Leaving {
			r.withdraw(rep)
		}
	}
}

// isLocalTier reports whether a load from the tier needs no access to the store.
func isLocalTier(tier directory.Tier) bool { return tier != directory.TierRemote }
