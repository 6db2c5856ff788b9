package placement

import (
	"slices"
	"time"
)

// busyMargin is the multiple of a model's mean service time after which its running
// requests are assumed to have ended.
const busyMargin = 4

// memoryRelease is an amount of memory in bytes that an upstream can free after a time.
type memoryRelease struct {
	after  time.Duration
	memory int64
}

// timeToFree estimates how long it takes until some upstream can free the given memory in
// bytes, which replicas with running requests now occupy. It returns false if no upstream
// can. The needs that are already blocked are assumed to be served first, spread evenly over
// the usable upstreams. Estimates are cached for the round by size class, for the upper
// bound of the class.
func (r *round) timeToFree(memory int64) (time.Duration, bool) {
	class := sizeClass(memory - 1)
	if estimate, found := r.freeTimes[class]; found {
		return estimate, estimate >= 0
	}
	best := time.Duration(-1)
	usable := 0
	for _, u := range r.upstreams {
		if !u.usable() {
			continue
		}
		usable++
		after, fits := r.timeToFreeOn(u, min(int64(2)<<class, u.announcement.Memory))
		if fits && (best < 0 || after < best) {
			best = after
		}
	}
	if best >= 0 {
		best += best * time.Duration(r.blockedNeeds) / time.Duration(usable)
	}
	if r.freeTimes == nil {
		r.freeTimes = make(map[int]time.Duration)
	}
	r.freeTimes[class] = best
	return best, best >= 0
}

// timeToFreeOn estimates how long it takes until one upstream can free the given memory in
// bytes, not counting what this round already granted or claimed. It returns false if the
// upstream cannot.
func (r *round) timeToFreeOn(u *upstream, memory int64) (time.Duration, bool) {
	releases := r.releaseBuffer[:0]
	total := u.freeMemory
	for _, rep := range u.replicas {
		if after, known := r.timeUntilUnloaded(rep); known {
			releases = append(releases, memoryRelease{after: after, memory: rep.chargedMemory})
		}
	}
	r.releaseBuffer = releases
	slices.SortStableFunc(releases, func(a, b memoryRelease) int { return int(a.after - b.after) })
	for _, rel := range releases {
		total += rel.memory
		if total >= memory {
			return rel.after + r.unloadTime, true
		}
	}
	return 0, total >= memory
}

// timeUntilUnloaded estimates how long it takes until a replica can be unloaded. It returns
// false if the replica is reserved, if its model is not under contract, or if the model's
// service time is unknown. For a replica that is already being unloaded it returns the mean
// unload time.
func (r *round) timeUntilUnloaded(rep *replica) (time.Duration, bool) {
	m := rep.model
	if !rep.live() {
		return r.unloadTime, true
	}
	if m == nil || len(m.live) <= m.reservedReplicas {
		return 0, false
	}
	mean, known := m.serviceTime.mean()
	if !known {
		return 0, false
	}
	batches := 1 + (m.waiting+m.running)/(m.slots*max(len(m.live), 1))
	busy := time.Duration(busyMargin*batches) * mean
	if rep.status != statusReady {
		busy += r.loadTimeLeft(rep)
	}
	return busy, true
}
