package placement

import (
	"slices"
	"time"
)

// clearMargin is the multiple of a model's mean service time after which its
// running requests are taken to have ended.
const clearMargin = 4

// release is memory in bytes that an upstream can free after a time.
type release struct {
	after  time.Duration
	memory int64
}

// clearFor estimates when some upstream can free the memory in bytes that it
// cannot free now, as its replicas run requests. It returns false if none can.
// Needs that wait for memory already are assumed to go first, spread over the
// upstreams.
func (r *round) clearFor(memory int64) (time.Duration, bool) {
	class := sizeClass(memory - 1)
	if known, found := r.clears[class]; found {
		return known, known >= 0
	}
	best := time.Duration(-1)
	usable := 0
	for _, u := range r.upstreams {
		if !u.usable() {
			continue
		}
		usable++
		after, fits := r.clearUpstream(u, min(int64(2)<<class, u.announcement.Memory))
		if fits && (best < 0 || after < best) {
			best = after
		}
	}
	if best >= 0 {
		best += best * time.Duration(r.blocked) / time.Duration(usable)
	}
	if r.clears == nil {
		r.clears = make(map[int]time.Duration)
	}
	r.clears[class] = best
	return best, best >= 0
}

// clearUpstream estimates when one upstream can free the given memory beyond
// what this round granted and claimed.
func (r *round) clearUpstream(u *upstream, memory int64) (time.Duration, bool) {
	releases := r.releases[:0]
	total := u.free
	for _, v := range u.replicas {
		if after, known := r.busyFor(v); known {
			releases = append(releases, release{after: after, memory: v.charged})
		}
	}
	r.releases = releases
	slices.SortStableFunc(releases, func(a, b release) int { return int(a.after - b.after) })
	for _, x := range releases {
		total += x.memory
		if total >= memory {
			return x.after + r.unloadTime, true
		}
	}
	return 0, total >= memory
}

// busyFor estimates for how long a replica cannot be unloaded. It is unknown
// for replicas that are reserved or whose service times are unknown.
func (r *round) busyFor(v *replica) (time.Duration, bool) {
	m := v.model
	if !v.live() {
		return r.unloadTime, true
	}
	if m == nil || len(m.live) <= m.reserved {
		return 0, false
	}
	mean, known := m.service.mean()
	if !known {
		return 0, false
	}
	rounds := 1 + (m.waiting+m.running)/(m.slots*max(len(m.live), 1))
	busy := time.Duration(clearMargin*rounds) * mean
	if v.status != statusReady {
		busy += r.timeLeft(v)
	}
	return busy, true
}
