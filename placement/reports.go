package placement

import (
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// initialAvoidance is how long a model avoids an upstream after a load failed there. It
	// doubles with each further failure.
	initialAvoidance = time.Second
	// maxAvoidance is the upper bound of the avoidance time.
	maxAvoidance = time.Minute
	// burstWeight is the weight of the latest load in the mean burst.
	burstWeight = 0.2
	// lostLoadTails is the multiple of the tail load time after which a load on an
	// unreachable upstream is no longer counted as using the store.
	lostLoadTails = 3
)

// endGrants proposes to release the grants whose own incarnation reported the replica as
// failed or unloaded, and the grants of incarnations that are known to be gone. A reported
// grant stays charged while a load order for it can still arrive.
func (r *round) endGrants() {
	r.endGoneIncarnations()
	for i := range r.replicas {
		rep := &r.replicas[i]
		if rep.status == statusProposed || rep.upstream == nil || r.isEnded(rep.ID) {
			continue
		}
		state, reported := rep.reportedEnd()
		if !reported {
			continue
		}
		if state == directory.Failed && rep.model != nil {
			rep.model.avoidUpstream(rep.Upstream, r.now)
		}
		r.observeUnload(rep)
		if until := r.orderInFlightUntil(rep); r.now < until {
			r.planBy(until)
			continue
		}
		r.endGrant(rep.ID, Change{Kind: Release, ID: rep.ID, Upstream: rep.Upstream, Incarnation: rep.Incarnation})
	}
}

// observeUnload records the time of a finished unload, once for each grant. Unloads whose
// order was repeated are not timed.
func (r *round) observeUnload(rep *replica) {
	if rep.progress.unloadOrders != 1 || rep.progress.unloadObserved {
		return
	}
	rep.progress.unloadObserved = true
	took := r.now - rep.progress.lastUnloadSentAt
	r.unloadTime += time.Duration(unloadWeight * float64(took-r.unloadTime))
}

// endGoneIncarnations proposes to remove the grants of incarnations that are known to be
// gone: those before the announced one, and the announced one if it was reported as gone.
func (r *round) endGoneIncarnations() {
	var lastUpstream string
	for i := range r.replicas {
		rep := &r.replicas[i]
		if rep.status == statusProposed || rep.upstream == nil || rep.Upstream == lastUpstream && r.isEnded(rep.ID) {
			continue
		}
		minIncarnation := rep.upstream.announcement.Incarnation
		if rep.upstream.gone {
			minIncarnation++
		}
		if rep.Incarnation >= minIncarnation {
			continue
		}
		lastUpstream = rep.Upstream
		r.endIncarnations(rep.Upstream, minIncarnation)
	}
}

// endIncarnations ends the grants of an upstream's incarnations below minIncarnation.
func (r *round) endIncarnations(id string, minIncarnation uint64) {
	for i := range r.replicas {
		rep := &r.replicas[i]
		if rep.Upstream == id && rep.Incarnation < minIncarnation && rep.status != statusProposed {
			r.markEnded(rep.ID)
		}
	}
	if !r.pending(RemoveIncarnations, 0, id) {
		r.plan.Changes = append(r.plan.Changes, Change{Kind: RemoveIncarnations, Upstream: id, Incarnation: minIncarnation})
	}
}

// endGrant proposes to release one grant.
func (r *round) endGrant(id uint64, c Change) {
	r.markEnded(id)
	if !r.pending(Release, id, "") {
		r.plan.Changes = append(r.plan.Changes, c)
	}
}

// markEnded records that this round releases the grant.
func (r *round) markEnded(id uint64) {
	if r.endedGrants == nil {
		r.endedGrants = make(map[uint64]bool)
	}
	r.endedGrants[id] = true
}

// isEnded reports whether this round releases the grant.
func (r *round) isEnded(id uint64) bool { return r.endedGrants[id] }

// pending reports whether a change of the kind is pending for the grant ID (zero for
// RemoveIncarnations) and, unless upstream is empty, for the upstream.
func (r *round) pending(kind ChangeKind, id uint64, upstream string) bool {
	for _, c := range r.in.Pending {
		if c.Kind == kind && c.ID == id && (upstream == "" || c.Upstream == upstream) {
			return true
		}
	}
	return false
}

// reportedEnd returns Failed or Unloaded if the grant's own incarnation reports it, and
// whether it does.
func (rep *replica) reportedEnd() (directory.ReplicaState, bool) {
	a := rep.upstream.announcement
	if a.Incarnation != rep.Incarnation {
		return "", false
	}
	for i := range a.Replicas {
		reported := &a.Replicas[i]
		if reported.Grant == rep.ID && (reported.State == directory.Failed || reported.State == directory.Unloaded) {
			return reported.State, true
		}
	}
	return "", false
}

// orderInFlightUntil returns the instant from which no load order for the grant, nor a copy
// of one, can still arrive.
func (r *round) orderInFlightUntil(rep *replica) Instant {
	until := Instant(0)
	if !rep.progress.addedByThisLeader {
		until = r.earlierOrdersEnd()
	}
	if rep.progress.loadOrders > 0 {
		until = max(until, rep.progress.lastLoadSentAt+r.in.Leadership.OrderDeadline)
	}
	return until
}

// avoidUpstream keeps the model off an upstream on which its load failed. Failures during
// the avoidance time do not extend it.
func (m *model) avoidUpstream(id string, now Instant) {
	for i := range m.avoidances {
		a := &m.avoidances[i]
		if a.upstream != id {
			continue
		}
		if now >= a.until {
			a.failures++
			a.until = now + avoidanceTime(a.failures)
		}
		return
	}
	m.avoidances = append(m.avoidances, avoidance{upstream: id, failures: 1, until: now + initialAvoidance})
}

// avoidanceTime returns the avoidance time after the given number of failures.
func avoidanceTime(failures int) time.Duration {
	if failures > 6 {
		return maxAvoidance
	}
	return min(initialAvoidance<<(failures-1), maxAvoidance)
}

// avoids reports whether the model avoids the upstream now.
func (m *model) avoids(id string, now Instant) bool {
	for i := range m.avoidances {
		if m.avoidances[i].upstream == id && now < m.avoidances[i].until {
			return true
		}
	}
	return false
}

// learnBurst adds the number of requests that waited for the load that just ended to the
// mean burst.
func (m *model) learnBurst() {
	m.burst += burstWeight * (float64(max(m.waiting, 1)) - m.burst)
}

// observeLoads times finished loads from the announcements, and passes the loads in progress
// to the estimator.
func (r *round) observeLoads() {
	var highest, secondHighest [3]float64
	for i := range r.replicas {
		rep := &r.replicas[i]
		if rep.progress == nil || rep.progress.loadOrders == 0 || rep.progress.loadObserved || rep.lost() {
			continue
		}
		age := r.now - rep.progress.firstLoadSentAt
		if rep.status == statusReady {
			rep.progress.loadObserved = true
			r.estimator.Observe(rep.Tier, rep.Memory, age)
			if rep.model != nil {
				rep.model.avoidances = nil
				rep.model.learnBurst()
			}
			continue
		}
		if rep.State == Withdrawn {
			continue
		}
		r.planBy(r.now + loadingRoundInterval)
		tier := tierIndex(rep.Tier)
		ratio := r.estimator.ElapsedRatio(rep.Tier, rep.Memory, age)
		if ratio > highest[tier] {
			ratio, highest[tier] = highest[tier], ratio
		}
		secondHighest[tier] = max(secondHighest[tier], ratio)
	}
	for _, tier := range []directory.Tier{directory.TierMemory, directory.TierDisk, directory.TierRemote} {
		r.estimator.ObserveRunning(tier, secondHighest[tierIndex(tier)])
	}
}

// dropStaleState drops the progress of grants that left the ledger, and orphans for which no
// unload order was sent for a minute.
func (r *round) dropStaleState() {
	if len(r.progress) > len(r.in.Ledger.Grants) {
		for id, prog := range r.progress {
			if prog.lastRound != r.roundNumber {
				delete(r.progress, id)
			}
		}
	}
	for key, at := range r.orphanUnloadSentAt {
		if r.now > at+time.Minute {
			delete(r.orphanUnloadSentAt, key)
		}
	}
}
