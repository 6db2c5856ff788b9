package dispatch

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/ratelimit"
)

// Limits are the time limits and cost weights of a dispatcher. A penalty or bonus is a
// share of an upstream's slots: 0.02 weighs as much as 2% more of them in use.
type Limits struct {
	// ForecastTTL is how long a forecast is used after it arrived.
	ForecastTTL time.Duration
	// Backoff is the first pause of an upstream that loses calls or cannot be
	// reached; it doubles each time, up to MaxBackoff. Backoff is also the pause for
	// calls for a model that an upstream turned out not to hold.
	Backoff, MaxBackoff time.Duration
	// FullBackoff is the pause after an upstream rejected a call as full or leaving.
	FullBackoff time.Duration
	// LoadReportTTL is the time in which the calls of other nodes that an upstream
	// reported are assumed to end; it is about the duration of a call. The planner's
	// counts are ignored once they are that old.
	LoadReportTTL time.Duration
	// CrossDomainPenalty is the cost of an upstream in another failure domain.
	CrossDomainPenalty float64
	// AffinityBonus is the largest reduction of the cost of an upstream where the
	// beginning of the prompt is likely to be cached.
	AffinityBonus float64
	// FailurePenalty is the cost of an upstream at which every call fails.
	FailurePenalty float64
	// NoForecastWaitFraction is the share of the time from a call's arrival to its
	// latest start for which it waits if there is no forecast.
	NoForecastWaitFraction float64
	// RetryAfter is the wait asked of refused callers where no forecast gives a longer
	// one.
	RetryAfter time.Duration
}

// DefaultLimits returns limits for a node among about ten others.
func DefaultLimits() Limits {
	return Limits{
		ForecastTTL:            2 * time.Second,
		Backoff:                200 * time.Millisecond,
		MaxBackoff:             3 * time.Second,
		FullBackoff:            100 * time.Millisecond,
		LoadReportTTL:          2 * time.Second,
		CrossDomainPenalty:     0.02,
		AffinityBonus:          0.05,
		FailurePenalty:         2,
		NoForecastWaitFraction: 0.5,
		RetryAfter:             500 * time.Millisecond,
	}
}

// upstream is the state that this node keeps of an upstream.
type upstream struct {
	desc *fleet.Upstream
	// ownRunning is the number of this node's calls that run there.
	ownRunning int
	// othersReported is the number of calls of other nodes in the upstream's latest load
	// report, which arrived at reportedAt.
	othersReported int
	reportedAt     time.Duration
	// plannerCount is the number of calls of other nodes by the planner's count.
	plannerCount int
	// ownTokens are the tokens of this node's calls that run there, and othersTokens those of other nodes' by the
	// planner's count.
	ownTokens, othersTokens EngineTokens
	// reportedTokens are those of this node's calls that the planner was last told of.
	reportedTokens EngineTokens
	// reportedSlots is the number of slots in the latest load report; zero without one.
	reportedSlots int
	// overloadedUntil is until when calls for a model of the upstream are refused for overload.
	overloadedUntil time.Duration
	// pace is the moving average of how long work takes there, as a multiple of the usual, as of paceAt; zero if the
	// upstream never said.
	pace   float64
	paceAt time.Duration
	// slowness is how long the upstream takes to the first event, without its neighbours' part.
	slowness slowness
	// crowdedRunning is the number of calls that ran when the upstream last let calls wait though it had
	// free slots, at crowdedAt; zero if it never did.
	crowdedRunning int
	crowdedAt      time.Duration
	// failureRate is the moving average of failed calls, 0 to 1, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Duration
	// consecutiveLost and consecutiveUnreachable count the Lost and Unreachable results
	// since the upstream's latest answer.
	consecutiveLost, consecutiveUnreachable int
	// consecutiveDoubtful counts the Doubtful results since the latest call that was served.
	consecutiveDoubtful int
	// unreachableAt is when a call last could not be sent there.
	unreachableAt time.Duration
	// probing is set while one call tests whether an unreachable upstream answers again;
	// no other call is sent there meanwhile.
	probing bool
	// pausedUntil is the time until which the upstream gets no calls. missingUntil is, for
	// each model or adapter that the upstream turned out not to hold, the time until which
	// it gets no calls for that one.
	pausedUntil  time.Duration
	missingUntil map[ModelKey]time.Duration
	// brittlePausedUntil is the end of the pause after a brittle upstream turned a call away.
	brittlePausedUntil time.Duration
	request            upstreamRequest
	permits            ratelimit.Permits
	// slots are the slots that the leader has granted to this node and that no call has taken.
	slots ratelimit.Permits
	// sinceAsked is the number of calls since this node last asked for permits that went to
	// the upstream or would have with a permit.
	sinceAsked int
}

func byID(a, b *upstream) int { return cmp.Compare(a.desc.ID, b.desc.ID) }

// failureWeight is the weight of the latest call in the failure rate, which is thus an
// average over about ten calls.
const failureWeight = 0.1

// failureDecayTime is the time constant of the failure rate's decay. A restart of an
// upstream takes about as long.
const failureDecayTime = 4 * time.Second

// answerStarted records that the answer to a call has begun, which shows that the
// upstream is up.
func (u *upstream) answerStarted() {
	u.consecutiveLost, u.consecutiveUnreachable, u.probing = 0, 0, false
}

// recordResult updates the upstream's pauses and failure rate by the result of a call.
func (u *upstream) recordResult(l *Limits, c *Call, result Result, now time.Duration) {
	failed := 0.0
	u.probing = false
	switch result {
	case Served:
		u.consecutiveLost, u.consecutiveUnreachable, u.consecutiveDoubtful = 0, 0, 0
	case Abandoned:
		return
	case Rejected:
		u.pausedUntil = max(u.pausedUntil, now+l.FullBackoff)
		return
	case NotServed:
		if u.missingUntil == nil {
			u.missingUntil = map[ModelKey]time.Duration{}
		}
		u.missingUntil[ModelKey{c.Service, c.Model, c.Adapter}] = now + l.Backoff
		return
	case Failed:
		failed = 1
	case Lost:
		failed = 1
		u.consecutiveLost++
		if u.consecutiveLost >= lossesBeforePause {
			u.backOff(l, u.consecutiveLost-lossesBeforePause, now)
		}
	case Doubtful:
		// Whatever refuses calls without proof does so again, and each time a caller cannot know whether to repeat.
		failed = 1
		u.consecutiveDoubtful++
		u.backOff(l, u.consecutiveDoubtful-1, now)
	case Unreachable:
		failed = 1
		u.consecutiveUnreachable++
		u.unreachableAt = now
		u.backOff(l, u.consecutiveUnreachable-1, now)
	}
	recent := u.recentFailureRate(now)
	u.failureRate, u.failureRateAt = recent+(failed-recent)*failureWeight, now
}

// lossesBeforePause is the number of consecutive lost calls after which an upstream is
// paused. A single loss may have been caused by the call itself.
const lossesBeforePause = 2

// backOff pauses the upstream for Backoff, doubled as often as given, up to MaxBackoff.
func (u *upstream) backOff(l *Limits, doublings int, now time.Duration) {
	u.pausedUntil = max(u.pausedUntil, now+min(l.Backoff<<min(doublings, 8), l.MaxBackoff))
}

// recentFailureRate returns the decayed failure rate, 0 to 1. It decays with time, so
// that an upstream that no longer gets calls is tried again.
func (u *upstream) recentFailureRate(now time.Duration) float64 {
	return u.failureRate * math.Exp(-float64(now-u.failureRateAt)/float64(failureDecayTime))
}

// slotCount returns the number of slots that the upstream last reported, or else
// announced; at least one.
func (u *upstream) slotCount() int {
	if u.reportedSlots > 0 {
		return u.reportedSlots
	}
	return min(max(1, u.desc.Slots), fleet.MaxSlots)
}

// resumeReserve is the share of an upstream's slots by which calls that go on with a stream may exceed
// them. Their callers have a part of the answer, which few upstreams can complete; the upstream
// queues them before new calls of the same priority.
const resumeReserve = 0.125

// capacityFor returns the load below which the upstream takes a call.
func (u *upstream) capacityFor(c *Call, l *Limits, now time.Duration) float64 {
	slots := float64(u.slotCount())
	switch {
	case c.Pinned:
		return slots + max(1, slots*resumeReserve)
	case u.overloadedUntil > now && c.isPatient(l):
		return slots * (1 + patientReserve)
	}
	return slots
}

// estimatedLoad returns the estimated number of calls at the upstream: this node's, and
// those of other nodes in its latest load report. The latter are assumed to end evenly
// over LoadReportTTL.
func (u *upstream) estimatedLoad(l *Limits, now time.Duration) float64 {
	age := now - u.reportedAt
	if age >= l.LoadReportTTL || u.othersReported == 0 {
		return float64(u.ownRunning)
	}
	remaining := 1 - float64(age)/float64(l.LoadReportTTL)
	return float64(u.ownRunning) + float64(u.othersReported)*remaining
}

// rankingLoad returns the load by which upstreams are compared: the given estimated load,
// or this node's calls plus the planner's count of others, if that is higher and the
// count is recent.
func (d *Dispatcher) rankingLoad(u *upstream, load float64, now time.Duration) float64 {
	if u.plannerCount == 0 || now-d.plannerCountAt >= d.limits.LoadReportTTL {
		return load
	}
	return max(load, float64(u.ownRunning+u.plannerCount))
}

// eligible reports whether the upstream offers what the call needs and the call may run
// there, whatever the upstream's load and failures.
func (d *Dispatcher) eligible(u *upstream, c *Call, now time.Duration) bool {
	if u.isLeaving() || slices.Contains(c.Avoid, u.desc.ID) || !d.versionFits(u, c, now) {
		return false
	}
	if c.Model == "" {
		return true
	}
	if !u.desc.Holds(c.Model, c.Adapter) || u.desc.IsClosing(c.Model, c.Adapter) {
		return false
	}
	return u.missingUntil[ModelKey{c.Service, c.Model, c.Adapter}] <= now
}

// selection is the outcome of choosing an upstream.
type selection uint8

const (
	selected selection = iota
	// allBusy means that upstreams are eligible, but all of them are full, paused, being
	// probed or beyond their rate limit.
	allBusy
	// lacksMemory means that upstreams could take the call now, but for their memory.
	lacksMemory
	// noneOffersModel means that there are upstreams, but none is eligible: none offers
	// the model, or the call must avoid those that do.
	noneOffersModel
	// noneKnown means that the service has no upstream, except ones that leave.
	noneKnown
)

// choose returns the upstream for a call; it is nil unless the outcome is selected.
func (d *Dispatcher) choose(c *Call, now time.Duration) (*upstream, selection) {
	var candidates []candidate
	outcome := noneKnown
	for _, u := range d.byService[c.Service] {
		if u.isLeaving() {
			continue
		}
		if !d.eligible(u, c, now) {
			if outcome == noneKnown {
				outcome = noneOffersModel
			}
			continue
		}
		if outcome != selected {
			outcome = allBusy
		}
		load := u.estimatedLoad(&d.limits, now)
		if load >= u.capacityFor(c, &d.limits, now) || !d.takesCalls(u, now) {
			continue
		}
		candidates = append(candidates, candidate{upstream: u, cost: d.cost(u, c, load, now)})
		outcome = selected
	}
	if candidates = d.withMemory(candidates, c, now); outcome == selected && len(candidates) == 0 {
		return nil, lacksMemory
	}
	if others := withoutRefusers(candidates, c); len(others) > 0 {
		candidates = others
	}
	d.separate(candidates, c, now)
	return pick(candidates, uint64(c.ID), d.unseenCalls(candidates, now)), outcome
}

// withoutRefusers returns the candidates that have not refused the call.
func withoutRefusers(candidates []candidate, c *Call) []candidate {
	if len(c.RefusedBy) == 0 {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(o candidate) bool {
		return slices.Contains(c.RefusedBy, o.upstream.desc.ID)
	})
}

// takesCalls reports whether this node may send an upstream a call now, as far as its slots are free.
func (d *Dispatcher) takesCalls(u *upstream, now time.Duration) bool {
	return d.mayBeSent(u, now) && !d.lacksSlot(u, now) && !d.exceedsBrittleShare(u, now)
}

// mayBeSent reports whether the upstream is neither paused nor being probed nor beyond its rate limit.
func (d *Dispatcher) mayBeSent(u *upstream, now time.Duration) bool {
	paused := max(u.pausedUntil, u.request.pausedUntil) > now || d.isBrittlePaused(u, now)
	return !paused && !u.probing && !u.lacksPermit(now)
}

// cost returns the cost of running the call at an upstream with free slots, as a share
// of its slots.
func (d *Dispatcher) cost(u *upstream, c *Call, load float64, now time.Duration) float64 {
	cost := d.rankingLoad(u, load, now)/float64(u.slotCount())*u.recentPace(now) + u.recentFailureRate(now)*d.limits.FailurePenalty
	cost += d.firstEventCost(u, c, now)
	if u.desc.Domain != d.domain {
		cost += d.limits.CrossDomainPenalty
	}
	if c.Affinity != 0 {
		cost -= d.limits.AffinityBonus * rendezvousScore(c.Affinity, u.desc.ID)
	}
	return cost
}

// rendezvousScore returns a number from 0 to 1 that depends only on its arguments. All
// nodes compute the same one, so that calls with the same hash prefer the same upstreams
// (rendezvous hashing).
func rendezvousScore(hash uint64, id string) float64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], hash)
	digest := xxhash.New()
	_, _ = digest.Write(buf[:])
	_, _ = digest.WriteString(id)
	return float64(digest.Sum64()>>11) / (1 << 53)
}
