package dispatch

import (
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/ratelimit"
)

// ObserveRateLimit records what an answer to a running call says of its upstream's rate limit,
// whose Seq is ignored. It reports whether that changes the limit.
func (d *Dispatcher) ObserveRateLimit(id CallID, limit fleet.RateLimit) bool {
	r := d.running[id]
	if r == nil {
		return false
	}
	known := &r.upstream.request.rateLimit
	next := known.Observe(limit, r.limitSeq == known.Seq)
	if next == *known {
		return false
	}
	*known = next
	return true
}

// adoptRateLimit takes the limit over that the leader lists, if it is newer.
func (u *upstream) adoptRateLimit() {
	if u.desc.RateLimit.Supersedes(u.request.rateLimit) {
		u.request.rateLimit = u.desc.RateLimit
	}
}

// UnlistedRateLimits returns the limits that this node knows and the leader does not list.
func (d *Dispatcher) UnlistedRateLimits() map[fleet.Incarnation]fleet.RateLimit {
	unlisted := map[fleet.Incarnation]fleet.RateLimit{}
	for _, u := range d.upstreams {
		if u.request.rateLimit.Supersedes(u.desc.RateLimit) {
			unlisted[u.incarnation()] = u.request.rateLimit
		}
	}
	return unlisted
}

func (u *upstream) incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: u.desc.ID, Born: u.desc.Born}
}

// lacksPermit reports whether the upstream named a limit and this node may not send it a call.
func (u *upstream) lacksPermit(now time.Duration) bool {
	return u.request.rateLimit.Limited && u.permits.Held(now) == 0
}

// usePermit uses a permit for a call that starts at the upstream.
func (u *upstream) usePermit(now time.Duration) {
	if u.request.rateLimit.Limited {
		u.permits.Use(now)
		u.sinceAsked++
	}
}

// countPassedOver counts a call that does not go to any of the upstreams which lack a permit
// for it.
func (d *Dispatcher) countPassedOver(c *Call, now time.Duration) {
	for _, u := range d.byService[c.Service] {
		if u.lacksPermit(now) && d.eligible(u, c, now) {
			u.sinceAsked++
		}
	}
}

// permitQueue finds, for each waiting call in turn, the upstream from which it can expect a
// permit first.
type permitQueue struct {
	dispatcher *Dispatcher
	now        time.Duration
	// ahead is the number of earlier calls that expect their permit from an upstream.
	ahead map[*upstream]int
	// lacking caches the result of upstreamsLackingPermit for calls that avoid no upstream.
	lacking map[requirement]lackingPermit
}

// lackingPermit is the set of upstreams that could run a call if this node held a permit.
type lackingPermit struct {
	upstreams []*upstream
	// all is set if no other upstream could run the call.
	all bool
}

func (d *Dispatcher) newPermitQueue(now time.Duration) *permitQueue {
	return &permitQueue{dispatcher: d, now: now, ahead: map[*upstream]int{}, lacking: map[requirement]lackingPermit{}}
}

// expect returns the upstream from which a call can expect a permit first, and when; nil if
// there is none. all is set if only upstreams without a permit could run the call.
func (q *permitQueue) expect(c *Call) (u *upstream, at time.Duration, all bool) {
	lacking := q.upstreamsLackingPermit(c)
	for _, candidate := range lacking.upstreams {
		expected := candidate.permits.Expect(q.ahead[candidate], candidate.request.rateLimit.PerSecond, q.now)
		if u == nil || expected < at {
			u, at = candidate, expected
		}
	}
	return u, at, lacking.all
}

func (q *permitQueue) upstreamsLackingPermit(c *Call) lackingPermit {
	key := c.requirement()
	if found, ok := q.lacking[key]; ok && len(c.Avoid) == 0 {
		return found
	}
	found := lackingPermit{all: true}
	for _, u := range q.dispatcher.byService[c.Service] {
		switch {
		case !q.dispatcher.eligible(u, c, q.now):
		case u.lacksPermit(q.now):
			found.upstreams = append(found.upstreams, u)
		default:
			found.all = false
		}
	}
	if len(c.Avoid) == 0 {
		q.lacking[key] = found
	}
	return found
}

// PermitWants returns what this node asks the leader for: permits for the calls that wait, and
// for upstreams that its latest calls could have gone to. It sets the counts of these calls
// back to zero.
func (d *Dispatcher) PermitWants(now time.Duration) []ratelimit.Want {
	wants := newWants(func(i fleet.Incarnation) ratelimit.Want { return ratelimit.Want{Upstream: i} })
	for _, w := range d.queue {
		if w.permitFrom == nil || !w.permitFrom.lacksPermit(now) {
			continue
		}
		asked := wants.of(w.permitFrom)
		if asked.Waiting == 0 {
			asked.Priority = w.call.Priority // the queue is sorted by priority
		}
		if w.call.Priority == asked.Priority {
			asked.Waiting++
		}
	}
	for _, u := range d.upstreams {
		recent := u.sinceAsked - u.permits.Held(now)
		u.sinceAsked = 0
		if u.request.rateLimit.Limited && recent > 0 {
			wants.of(u).Recent = recent
		}
	}
	return wants.sorted()
}

// GrantPermits adds the permits that this node asked for at askedAt, and returns the decisions
// on waiting calls that follow.
func (d *Dispatcher) GrantPermits(grants []ratelimit.Grant, askedAt, now time.Duration) []Verdict {
	return d.applyGrants(grants, func(u *upstream, g ratelimit.Grant) { u.permits.Add(g, askedAt, now) }, now)
}
