package placement

import (
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// firstAvoidance is how long a model stays off an upstream after a failed
	// load there. It doubles with each further failure.
	firstAvoidance = time.Second
	// longestAvoidance bounds that time.
	longestAvoidance = time.Minute
	// burstWeight is the weight of the last load in the mean burst.
	burstWeight = 0.2
	// presumedLost is the multiple of the tail load time after which a load on
	// a silent upstream is no longer counted as using the store.
	presumedLost = 3
)

// endGrants proposes to release what an upstream's own incarnation reported
// as ended, and what incarnations held that are known to be gone.
func (r *round) endGrants() {
	r.endGone()
	for i := range r.replicas {
		v := &r.replicas[i]
		if v.status == statusProposed || v.upstream == nil || r.isEnded(v.ID) {
			continue
		}
		state, reported := v.reportedEnd()
		if !reported {
			continue
		}
		if state == directory.Failed && v.model != nil {
			v.model.avoidUpstream(v.Upstream, r.now)
		}
		r.observeUnload(v)
		if until := r.orderInFlightUntil(v); r.now < until {
			r.wake(until)
			continue
		}
		r.end(v.ID, Change{Kind: Release, ID: v.ID, Upstream: v.Upstream, Incarnation: v.Incarnation})
	}
}

// observeUnload times a finished unload once.
func (r *round) observeUnload(v *replica) {
	if v.progress.unloads != 1 || v.progress.unloaded {
		return
	}
	v.progress.unloaded = true
	took := r.now - v.progress.unloadSentAt
	r.unloadTime += time.Duration(unloadWeight * float64(took-r.unloadTime))
}

// endGone proposes the end of whole incarnations.
func (r *round) endGone() {
	var last string
	for i := range r.replicas {
		v := &r.replicas[i]
		if v.status == statusProposed || v.upstream == nil || v.Upstream == last && r.isEnded(v.ID) {
			continue
		}
		floor := v.upstream.announcement.Incarnation
		if v.upstream.gone {
			floor++
		}
		if v.Incarnation >= floor {
			continue
		}
		last = v.Upstream
		r.endIncarnations(v.Upstream, floor)
	}
}

func (r *round) endIncarnations(id string, floor uint64) {
	for i := range r.replicas {
		v := &r.replicas[i]
		if v.Upstream == id && v.Incarnation < floor && v.status != statusProposed {
			r.markEnded(v.ID)
		}
	}
	if !r.pending(Gone, 0, id) {
		r.plan.Changes = append(r.plan.Changes, Change{Kind: Gone, Upstream: id, Incarnation: floor})
	}
}

func (r *round) end(id uint64, c Change) {
	r.markEnded(id)
	if !r.pending(Release, id, "") {
		r.plan.Changes = append(r.plan.Changes, c)
	}
}

func (r *round) markEnded(id uint64) {
	if r.ended == nil {
		r.ended = make(map[uint64]bool)
	}
	r.ended[id] = true
}

func (r *round) isEnded(id uint64) bool { return r.ended[id] }

func (r *round) pending(kind ChangeKind, id uint64, upstream string) bool {
	for _, c := range r.in.Pending {
		if c.Kind == kind && c.ID == id && (upstream == "" || c.Upstream == upstream) {
			return true
		}
	}
	return false
}

// reportedEnd returns the end that the grant's own incarnation reports.
func (v *replica) reportedEnd() (directory.ReplicaState, bool) {
	a := v.upstream.announcement
	if a.Incarnation != v.Incarnation {
		return "", false
	}
	for i := range a.Replicas {
		reported := &a.Replicas[i]
		if reported.Grant == v.ID && (reported.State == directory.Failed || reported.State == directory.Unloaded) {
			return reported.State, true
		}
	}
	return "", false
}

// orderInFlightUntil returns when no load order of the grant, nor a copy of
// one, can be on its way any more.
func (r *round) orderInFlightUntil(v *replica) Instant {
	until := Instant(0)
	if !v.progress.own {
		until = r.holdEnds()
	}
	if v.progress.sends > 0 {
		until = max(until, v.progress.loadSentAt+r.in.Leadership.OrderDeadline)
	}
	return until
}

func (m *model) avoidUpstream(id string, now Instant) {
	for i := range m.avoid {
		a := &m.avoid[i]
		if a.upstream != id {
			continue
		}
		if now >= a.until {
			a.failures++
			a.until = now + avoidanceTime(a.failures)
		}
		return
	}
	m.avoid = append(m.avoid, avoidance{upstream: id, failures: 1, until: now + firstAvoidance})
}

func avoidanceTime(failures int) time.Duration {
	if failures > 6 {
		return longestAvoidance
	}
	return min(firstAvoidance<<(failures-1), longestAvoidance)
}

func (m *model) avoids(id string, now Instant) bool {
	for i := range m.avoid {
		if m.avoid[i].upstream == id && now < m.avoid[i].until {
			return true
		}
	}
	return false
}

// learnBurst takes in how many requests waited for the load that just ended.
func (m *model) learnBurst() {
	m.burst += burstWeight * (float64(max(m.waiting, 1)) - m.burst)
}

// observeLoads times loads by the reports, and corrects the estimates by the
// loads that are still in progress.
func (r *round) observeLoads() {
	var first, second [3]float64
	for i := range r.replicas {
		v := &r.replicas[i]
		if v.progress == nil || v.progress.sends == 0 || v.progress.timed || v.lost() {
			continue
		}
		age := r.now - v.progress.firstAt
		if v.status == statusReady {
			v.progress.timed = true
			r.estimator.Observe(v.Tier, v.Memory, age)
			if v.model != nil {
				v.model.avoid = nil
				v.model.learnBurst()
			}
			continue
		}
		if v.State == Withdrawn {
			continue
		}
		r.wake(r.now + progressRound)
		tier := tierIndex(v.Tier)
		ratio := r.estimator.Ratio(v.Tier, v.Memory, age)
		if ratio > first[tier] {
			ratio, first[tier] = first[tier], ratio
		}
		second[tier] = max(second[tier], ratio)
	}
	for _, tier := range []directory.Tier{directory.TierMemory, directory.TierDisk, directory.TierRemote} {
		r.estimator.Running(tier, second[tierIndex(tier)])
	}
}

// forget drops soft state of grants and strays that no longer exist.
func (r *round) forget() {
	if len(r.progress) > len(r.in.Ledger.Grants) {
		for id, soft := range r.progress {
			if soft.round != r.round {
				delete(r.progress, id)
			}
		}
	}
	for key, at := range r.strays {
		if r.now > at+time.Minute {
			delete(r.strays, key)
		}
	}
}
