package dispatch

import (
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/ratelimit"
)

const (
	// grantedTTL is how long this node keeps to the slots that the leader grants after its latest word that
	// it does. The leader repeats it every second.
	grantedTTL = 1500 * time.Millisecond
	// ungrantedTTL is how long the service counts as brittle from then on if the leader does not answer, and
	// endedTTL if it does and no longer calls the service brittle: a new leader hears of it within a second.
	ungrantedTTL = 30 * time.Second
	endedTTL     = 2 * time.Second
	// maxSlotWants bounds the waiting calls for which slots are asked at once.
	maxSlotWants = 64
)

// slotGrants is until when the leader grants the slots of a service's upstreams.
type slotGrants struct {
	until time.Duration
	// keptUntil is until when the service counts as brittle if nothing more is heard.
	keptUntil time.Duration
}

// SetBrittle records the leader's word on the services whose upstreams are brittle.
func (d *Dispatcher) SetBrittle(services map[string]ratelimit.Brittle, now time.Duration) {
	for service, g := range d.granted {
		if _, brittle := services[service]; brittle {
			g.keptUntil = now + ungrantedTTL
		} else {
			g.keptUntil = min(g.keptUntil, now+endedTTL)
		}
		d.granted[service] = g
		if g.keptUntil <= now {
			delete(d.granted, service)
		}
	}
	for service, b := range services {
		d.noteBrittle(service, b.PerSecond, now)
		if b.SlotsGranted {
			d.granted[service] = slotGrants{until: now + grantedTTL, keptUntil: now + ungrantedTTL}
		}
	}
}

// slotsGranted reports whether the leader grants the slots of a service's upstreams.
func (d *Dispatcher) slotsGranted(service string, now time.Duration) bool {
	return d.granted[service].until > now
}

// lacksSlot reports whether the leader must grant a slot before this node may send the upstream a call.
func (d *Dispatcher) lacksSlot(u *upstream, now time.Duration) bool {
	return d.slotsGranted(u.desc.Service, now) && u.slots.Held(now) == 0
}

// SlotWants returns the slots that this node asks the leader for, one for each waiting call, and those that
// it has taken. It reports the latter before the leader grants any, so that a leader knows of them when it
// begins to.
func (d *Dispatcher) SlotWants(now time.Duration) []ratelimit.SlotWant {
	wants := newWants(func(i fleet.Incarnation) ratelimit.SlotWant { return ratelimit.SlotWant{Upstream: i} })
	waiting := 0
	for _, w := range d.queue {
		if waiting == maxSlotWants {
			break
		}
		if w.outcome != allBusy || !d.slotsGranted(w.call.Service, now) {
			continue
		}
		if u := d.slotWanted(&w.call, now); u != nil {
			wants.of(u).Waiting++
			waiting++
		}
	}
	for _, u := range d.upstreams {
		if !d.isBrittle(u.desc.Service, now) {
			continue
		}
		if taken := u.ownRunning + u.slots.Held(now); taken > 0 {
			wants.of(u).Taken = taken
		}
		if places := u.places(now); places < u.slotCount() {
			wants.of(u).Places = places
		}
	}
	return wants.sorted()
}

// slotWanted returns the upstream of which a waiting call asks for a slot; nil if there is none.
func (d *Dispatcher) slotWanted(c *Call, now time.Duration) *upstream {
	var candidates []candidate
	for _, u := range d.byService[c.Service] {
		load := u.estimatedLoad(&d.limits, now)
		if d.eligible(u, c, now) && load < u.capacityFor(c, &d.limits, now) && d.mayBeSent(u, now) {
			candidates = append(candidates, candidate{upstream: u, cost: d.cost(u, c, load, now)})
		}
	}
	candidates = d.withMemory(candidates, c, now)
	return pick(candidates, uint64(c.ID), d.unseenCalls(candidates, now))
}

// GrantSlots adds the slots that this node asked for at askedAt, and returns the decisions on waiting calls
// that follow.
func (d *Dispatcher) GrantSlots(grants []ratelimit.Grant, askedAt, now time.Duration) []Verdict {
	return d.applyGrants(grants, func(u *upstream, g ratelimit.Grant) { u.slots.Add(g, askedAt, now) }, now)
}
