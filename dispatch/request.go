package dispatch

import (
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// departedTTL is how long the requests of an upstream that is no longer listed are
// remembered, in case an announcement of the same incarnation arrives late.
const departedTTL = time.Minute

// upstreamRequest is what an incarnation of an upstream asked of this node with its
// answers. It holds until the incarnation ends, whatever is announced meanwhile: an
// announcement may have been sent before the answer.
type upstreamRequest struct {
	// leaving is set once the upstream said that it takes no new calls.
	leaving bool
	// pausedUntil is the time until which the upstream wants no calls from this node.
	pausedUntil time.Duration
	// rateLimit is the upstream's limit for all nodes together.
	rateLimit fleet.RateLimit
}

// departed is the request of an upstream that is no longer listed.
type departed struct {
	born      int64
	request   upstreamRequest
	removedAt time.Duration
}

// ObserveLeaving records that an upstream said with its answer to a running call that it
// is leaving. It gets no new calls.
func (d *Dispatcher) ObserveLeaving(id CallID) {
	if r := d.running[id]; r != nil {
		r.upstream.request.leaving = true
	}
}

// ObservePause records that an upstream asked with its answer to a running call to get no
// calls from this node for the given time.
func (d *Dispatcher) ObservePause(id CallID, pause, now time.Duration) {
	if r := d.running[id]; r != nil {
		r.upstream.request.pausedUntil = max(r.upstream.request.pausedUntil, now+pause)
	}
}

// rememberRequest keeps the request of an upstream that is being removed.
func (d *Dispatcher) rememberRequest(u *upstream, now time.Duration) {
	for id, old := range d.departed {
		if now-old.removedAt > departedTTL {
			delete(d.departed, id)
		}
	}
	if u.request != (upstreamRequest{}) {
		d.departed[u.desc.ID] = departed{born: u.desc.Born, request: u.request, removedAt: now}
	}
}

// isLeaving reports whether the upstream takes no new calls because it is about to end.
func (u *upstream) isLeaving() bool { return u.desc.Leaving || u.request.leaving }

// pauseEnd returns when the first of the upstreams that could run a call takes calls again,
// if all of them have asked for a pause.
func (d *Dispatcher) pauseEnd(c *Call, now time.Duration) (end time.Duration, ok bool) {
	for _, u := range d.byService[c.Service] {
		if !d.eligible(u, c, now) {
			continue
		}
		if u.request.pausedUntil <= now {
			return 0, false
		}
		if !ok || u.request.pausedUntil < end {
			end, ok = u.request.pausedUntil, true
		}
	}
	return end, ok
}
