package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// withdrawExcess proposes to withdraw replicas that no contract requires. A
// replica that became idle stays for its hold time, which costs at most twice
// what the best choice in hindsight would (Karlin, Manasse, Rudolph and
// Sleator, "Competitive snoopy caching", Algorithmica 3, 1988).
func (r *round) withdrawExcess() {
	for i := range r.replicas {
		v := &r.replicas[i]
		if v.model == nil && v.State == Granted && v.status != statusProposed {
			r.withdraw(v)
		}
	}
	for _, m := range r.models {
		for len(m.live) > m.want {
			v := r.leastUseful(m)
			if v == nil || !r.releasable(m, v) || !r.withdraw(v) {
				break
			}
			m.enoughAt = r.now
		}
	}
}

// releasable reports whether an excess replica stayed long enough.
func (r *round) releasable(m *model, v *replica) bool {
	if len(m.live) > m.limit || v.unsent() || v.upstream != nil && v.upstream.announcement.Leaving {
		return true
	}
	until := m.enoughAt + r.holdTime(m)
	if r.now < until {
		r.wake(until)
		return false
	}
	return true
}

// holdTime is how long an idle replica may stay: until keeping it has cost as
// much as loading it again would. Both costs are in accelerator seconds. A load
// costs the memory it holds, and the time of the requests that wait for it,
// which weighs the more the nearer the load's tail comes to the contract's
// wait.
func (r *round) holdTime(m *model) time.Duration {
	typical := r.estimator.Typical(m.tier, m.memory)
	slack := 1 - float64(m.cold)/float64(m.wait)
	if slack <= 0 || r.largest == 0 {
		return typical
	}
	share := float64(m.memory) / float64(r.largest)
	return typical + time.Duration(float64(typical)*m.burst/(share*slack))
}

// leastUseful returns the live replica that is given up first.
func (r *round) leastUseful(m *model) *replica {
	var worst *replica
	for _, v := range m.live {
		if v.status == statusProposed || v.State != Granted || v.upstream == nil {
			continue
		}
		if worst == nil || v.lessUseful(worst) {
			worst = v
		}
	}
	return worst
}

func (v *replica) lessUseful(other *replica) bool {
	if a, b := v.rank(), other.rank(); a != b {
		return a < b
	}
	if v.upstream.busy != other.upstream.busy {
		return v.upstream.busy > other.upstream.busy
	}
	return v.ID > other.ID
}

// unsent reports whether no load order was sent for the grant.
func (v *replica) unsent() bool {
	return v.status == statusUnreported && v.progress.own && v.progress.sends == 0
}

// rank orders replicas by their use: not ordered yet, unreachable, leaving,
// loading, ready.
func (v *replica) rank() int {
	switch {
	case v.unsent():
		return 0
	case v.lost():
		return 1
	case v.upstream.announcement.Leaving:
		return 2
	case v.status != statusReady:
		return 3
	default:
		return 4
	}
}

// withdraw proposes to unload a replica. On an upstream that ignores fencing
// numbers it first waits until no load order for the grant can be on its way.
func (r *round) withdraw(v *replica) bool {
	if v.State != Granted || r.isEnded(v.ID) || v.upstream == nil {
		return false
	}
	if until := r.withdrawableFrom(v); r.now < until {
		r.wake(until)
		return false
	}
	r.plan.Changes = append(r.plan.Changes, Change{Kind: Withdraw, ID: v.ID})
	v.State = Withdrawn
	v.upstream.coming += v.charged
	if v.evictable {
		v.upstream.evictable -= v.charged
	}
	if m := v.model; m != nil {
		m.live = slices.DeleteFunc(m.live, func(other *replica) bool { return other == v })
	}
	return true
}

func (r *round) withdrawableFrom(v *replica) Instant {
	if v.upstream.announcement.ChecksFencing {
		return 0
	}
	return max(r.holdEnds(), r.orderInFlightUntil(v))
}

// measureMemory finds what each upstream could free.
func (r *round) measureMemory() {
	for i := range r.replicas {
		v := &r.replicas[i]
		if v.upstream != nil && v.live() && !v.lost() && r.surplus(v) {
			v.evictable = true
			v.upstream.evictable += v.charged
		}
	}
}

// measureRoom finds the most memory that any usable upstream has free, or could
// free, beyond what this round granted and claimed.
func (r *round) measureRoom() {
	for _, u := range r.upstreams {
		if u.usable() {
			r.mostFree = max(r.mostFree, u.free)
			r.mostEvictable = max(r.mostEvictable, u.free+u.coming+u.evictable)
		}
	}
}

// surplus reports whether a replica is idle and held by no reservation.
func (r *round) surplus(v *replica) bool {
	m := v.model
	return v.status == statusReady && m != nil && m.idle() && len(m.live) > m.reserved &&
		r.now >= r.withdrawableFrom(v)
}

// evictable reports whether an upstream can free the missing memory in bytes
// for a need, and whether a required replica would have to go.
func (r *round) evictable(n *need, u *upstream, missing int64) (fits, costly bool) {
	if missing <= 0 {
		return true, false
	}
	if u.evictable < missing {
		return false, false
	}
	for _, v := range r.victims(n, u) {
		missing -= v.charged
		costly = v.model.isRequired()
		if missing <= 0 {
			return true, costly
		}
	}
	return false, false
}

// isRequired reports whether a contract requires each of the live replicas.
func (m *model) isRequired() bool { return m.want >= len(m.live) }

// victims lists the replicas on an upstream that may make room for a need: the
// ones that no contract requires first, then the least called.
func (r *round) victims(n *need, u *upstream) []*replica {
	var found []*replica
	for _, v := range u.replicas {
		if v.live() && v.model != n.model && r.surplus(v) && r.yields(v, n) {
			found = append(found, v)
		}
	}
	slices.SortStableFunc(found, r.compareVictims)
	return found
}

// yields reports whether an idle replica gives way to a need: always where no
// contract requires it, else to requests that wait, to reservations, and to a
// model that is called at least twice as often.
func (r *round) yields(v *replica, n *need) bool {
	if !v.model.isRequired() || n.class != classAhead {
		return true
	}
	return n.rate > 2*v.model.arrivals.rate(r.now)
}

func (r *round) compareVictims(a, b *replica) int {
	aRequired, bRequired := a.model.isRequired(), b.model.isRequired()
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

// makeRoom claims memory that is about to be freed on an upstream, and
// withdraws idle replicas for what is missing.
func (r *round) makeRoom(n *need, u *upstream) {
	for _, v := range r.victims(n, u) {
		if u.free+u.coming >= n.model.memory {
			break
		}
		r.withdraw(v)
	}
	u.free -= n.model.memory
}

// evictCustomer withdraws an idle replica of the customer whose limit is
// reached.
func (r *round) evictCustomer(m *model) {
	var found []*replica
	n := need{model: m, class: classDemand}
	if m.waiting == 0 {
		n.class = classAhead
	}
	n.rate = m.arrivals.rate(r.now)
	for i := range r.replicas {
		v := &r.replicas[i]
		if v.model == nil || v.model.customer != m.customer || v.upstream == nil {
			continue
		}
		if !v.live() {
			return
		}
		if v.model != m && r.surplus(v) && r.yields(v, &n) {
			found = append(found, v)
		}
	}
	if len(found) == 0 {
		return
	}
	slices.SortStableFunc(found, r.compareVictims)
	r.withdraw(found[0])
}

// withdrawLeaving gives up a model's replicas on leaving upstreams. Their
// running requests finish.
func (r *round) withdrawLeaving(m *model) {
	for _, v := range slices.Clone(m.live) {
		if v.status != statusProposed && !v.lost() && v.upstream.announcement.Leaving {
			r.withdraw(v)
		}
	}
}

// holdsLocally reports whether a tier needs no load from the store.
func holdsLocally(tier directory.Tier) bool { return tier != directory.TierRemote }
