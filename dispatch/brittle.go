package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// brittleTTL is how long a service counts as brittle after the latest answer that says so.
	brittleTTL = 3 * time.Second
	// maxBrittlePause bounds the pause of an upstream that turned a call away.
	maxBrittlePause = 5 * time.Second
	// brittleReserve is the part of the rejections that upstreams bear which is not used.
	brittleReserve = 0.5
	// placesGrowth is the part of the slots by which a brittle upstream that has let calls wait is tried with
	// more calls, each second.
	placesGrowth = 1.0 / 16
	// ungrantedShare is the part of an upstream's slots that nodes may use together while the leader, which
	// granted them, does not answer.
	ungrantedShare = 0.8
)

// brittleness is what upstreams of a service say of the calls that they can turn away.
type brittleness struct {
	// perSecond is the number of rejections in a second after which an upstream may fall over.
	perSecond float64
	until     time.Duration
}

// ObserveBrittle records that the upstream of a running call said how many calls a second each upstream
// of its service can turn away, for all nodes together. Upstreams that have just started are
// included, before they have answered.
func (d *Dispatcher) ObserveBrittle(id CallID, perSecond float64, now time.Duration) {
	r := d.running[id]
	if r == nil {
		return
	}
	d.observedBrittle[r.call.Service] = brittleness{perSecond: perSecond, until: now + brittleTTL}
	d.noteBrittle(r.call.Service, perSecond, now)
}

// noteBrittle records that the upstreams of a service are brittle.
func (d *Dispatcher) noteBrittle(service string, perSecond float64, now time.Duration) {
	b := brittleness{perSecond: perSecond, until: now + brittleTTL}
	if known := d.brittle[service]; known.until > now {
		b.perSecond = min(b.perSecond, known.perSecond)
	}
	d.brittle[service] = b
}

// ObservedBrittle returns the services whose upstreams told this node lately that they are brittle, with
// the number of calls a second that each of them can turn away.
func (d *Dispatcher) ObservedBrittle(now time.Duration) map[string]float64 {
	var services map[string]float64
	for service, b := range d.observedBrittle {
		if b.until <= now {
			continue
		}
		if services == nil {
			services = map[string]float64{}
		}
		services[service] = b.perSecond
	}
	return services
}

// places returns the number of calls that the upstream can be expected to run at once. One that lets calls wait
// though it has free slots lacks something else, such as memory for their prompts. What it
// ran then is the number that it grows from.
func (u *upstream) places(now time.Duration) int {
	slots := u.slotCount()
	if u.crowdedRunning == 0 {
		return slots
	}
	grown := float64(slots) * placesGrowth * (now - u.crowdedAt).Seconds()
	return min(slots, u.crowdedRunning+int(min(grown, float64(slots))))
}

// SetEntryNodes records the number of entry nodes, which share brittle upstreams, and the name of this one.
func (d *Dispatcher) SetEntryNodes(nodes int, self string) {
	d.entryNodes, d.selfHash = max(1, nodes), xxhash.Sum64String(self)
}

// isBrittle reports whether the upstreams of a service are brittle.
func (d *Dispatcher) isBrittle(service string, now time.Duration) bool {
	return max(d.brittle[service].until, d.granted[service].keptUntil) > now
}

// exceedsBrittleShare reports whether a brittle upstream runs as many calls of this node as its part of the
// slots, while the leader does not grant them. If each node filled the slots that it sees free, most of the
// calls would be turned away.
//
// With more nodes than slots, one call for each node is too much. Upstreams give notice before they
// let fewer calls wait, in which the leader begins to grant slots. If it did and its word has ended,
// each upstream belongs to so many nodes as it has places, by a hash of both.
func (d *Dispatcher) exceedsBrittleShare(u *upstream, now time.Duration) bool {
	service := u.desc.Service
	if !d.isBrittle(service, now) || d.slotsGranted(service, now) {
		return false
	}
	if u.ownRunning >= max(1, u.places(now)/d.entryNodes) {
		return true
	}
	wasGranted := d.granted[service].keptUntil > now
	share := ungrantedShare * float64(u.places(now)) / float64(d.entryNodes)
	return wasGranted && rendezvousScore(d.selfHash, u.desc.ID) >= share
}

// pauseBrittle pauses an upstream that turned a call away if it is brittle, for so long that all
// nodes together have it turn away fewer than it bears.
func (d *Dispatcher) pauseBrittle(u *upstream, now time.Duration) {
	if !d.isBrittle(u.desc.Service, now) {
		return
	}
	pause := maxBrittlePause
	if bearable := d.brittle[u.desc.Service].perSecond * brittleReserve; bearable > 0 {
		pause = min(pause, time.Duration(float64(d.entryNodes)/bearable*float64(time.Second)))
	}
	u.brittlePausedUntil = now + pause
}

// isBrittlePaused reports whether an upstream is paused because it turned a call of this node away. Once the
// leader grants its slots, and knows from its load reports how many calls it runs, the pause is not needed.
func (d *Dispatcher) isBrittlePaused(u *upstream, now time.Duration) bool {
	granted := d.slotsGranted(u.desc.Service, now) && u.reportedSlots > 0
	return u.brittlePausedUntil > now && !granted
}
