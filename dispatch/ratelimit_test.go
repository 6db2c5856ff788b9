package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/ratelimit"
)

// limited returns an engine whose rate limit, one call a second, the leader lists.
func limited(id string) fleet.Upstream {
	u := incarnation(id, 1)
	u.RateLimit = fleet.RateLimit{Seq: 1, Limited: true, PerSecond: 1}
	return u
}

// permit is one permit for engine a.
func permit() []ratelimit.Grant {
	return []ratelimit.Grant{{Upstream: fleet.Incarnation{ID: "a", Born: 1}, Permits: 1, PerSecond: 1}}
}

// TestLimitedEngineGetsCallsWithPermitsOnly sends calls while an engine names a limit, which holds
// for this node at once. Retries need permits too.
func TestLimitedEngineGetsCallsWithPermitsOnly(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(incarnation("a", 1))
	is.Equal(len(started(d.Submit(call(1, "m", 1, 0), 0))), 1)
	is.True(d.ObserveRateLimit(1, fleet.RateLimit{Limited: true, PerSecond: 1}))
	is.True(!d.ObserveRateLimit(1, fleet.RateLimit{Limited: true, PerSecond: 1}))
	d.Finish(1, dispatch.Served, 10*ms)
	d.Update([]fleet.Upstream{incarnation("a", 1)}, 15*ms) // a list from before the leader knew
	is.Equal(len(d.Submit(call(2, "m", 1, 20*ms), 20*ms)), 0)
	is.Equal(len(d.UnlistedRateLimits()), 1)
	wants := d.PermitWants(20 * ms)
	is.Equal(wants, []ratelimit.Want{{Upstream: fleet.Incarnation{ID: "a", Born: 1}, Waiting: 1, Priority: 1}})
	is.Equal(started(d.GrantPermits(permit(), 20*ms, 30*ms)), map[dispatch.CallID]string{2: "a"})
	d.Finish(2, dispatch.Rejected, 40*ms)
	retry := call(3, "m", 1, 200*ms)
	retry.Repeat = true
	is.Equal(len(d.Submit(retry, 200*ms)), 0)
	is.Equal(started(d.GrantPermits(permit(), 200*ms, 300*ms)), map[dispatch.CallID]string{3: "a"})
	is.Equal(len(d.UnlistedRateLimits()), 1)
	d.Update([]fleet.Upstream{limited("a")}, 310*ms)
	is.Equal(len(d.UnlistedRateLimits()), 0)
}

// TestEndOfLimitIsLearnedFromLaterCalls lifts a limit by the answer to a call that was sent with a
// permit, not by one that was sent before the limit.
func TestEndOfLimitIsLearnedFromLaterCalls(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(incarnation("a", 1))
	d.Submit(call(1, "m", 1, 0), 0)
	d.Update([]fleet.Upstream{limited("a")}, 10*ms)
	is.True(!d.ObserveRateLimit(1, fleet.RateLimit{})) // sent before the limit was known
	d.GrantPermits(permit(), 10*ms, 20*ms)
	is.Equal(len(started(d.Submit(call(2, "m", 1, 20*ms), 20*ms))), 1)
	is.True(d.ObserveRateLimit(2, fleet.RateLimit{}))
	is.Equal(countStarted(d, 10, 30*ms, second, 100*ms), 10)
	is.Equal(d.UnlistedRateLimits()[fleet.Incarnation{ID: "a", Born: 1}], fleet.RateLimit{Seq: 2})
	// The limit of an incarnation outlasts a time in which it is not listed.
	d.Update([]fleet.Upstream{limited("b")}, second)
	gone := limited("b")
	gone.Gone = true
	d.Update([]fleet.Upstream{gone}, second)
	d.Update([]fleet.Upstream{incarnation("b", 1)}, second)
	wanted := d.UnlistedRateLimits()
	is.Equal(wanted[fleet.Incarnation{ID: "b", Born: 1}], fleet.RateLimit{Seq: 1, Limited: true, PerSecond: 1})
}

// TestCallsAboveLimitGoElsewhere has another engine take the calls at once. The node still asks for
// permits, so that it learns of the end of the limit.
func TestCallsAboveLimitGoElsewhere(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(limited("a"), incarnation("b", 1))
	for i := range 5 {
		is.Equal(started(d.Submit(call(i, "m", 1, 0), 0))[dispatch.CallID(i)], "b")
	}
	is.Equal(d.PermitWants(0), []ratelimit.Want{{Upstream: fleet.Incarnation{ID: "a", Born: 1}, Recent: 5}})
	is.Equal(len(d.PermitWants(0)), 0)
	d.GrantPermits(permit(), 0, 10*ms)
	is.Equal(started(d.Submit(call(6, "m", 1, 10*ms), 10*ms))[6], "a") // the less loaded one
	is.Equal(started(d.Submit(call(7, "m", 1, 10*ms), 10*ms))[7], "b")
}

// TestCallsBeyondLimitAreRefusedAtOnce has more calls wait than the limit lets start in time. The
// most urgent ones stay; the others learn when permits can be expected.
func TestCallsBeyondLimitAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(limited("a"))
	refused := map[dispatch.CallID]dispatch.Verdict{}
	submit := func(c dispatch.Call) {
		for _, v := range d.Submit(c, 0) {
			is.Equal(v.Action, dispatch.Refuse)
			is.Equal(v.Reason, dispatch.RateLimited)
			refused[v.ID] = v
		}
	}
	for i := range 12 {
		submit(call(i, "m", 2, 0)) // each must start within eight seconds
	}
	is.Equal(len(refused), 3) // permits are expected for calls 0 to 8, a second apart
	is.Equal(refused[11].RetryAfter, 9*time.Second)
	urgent := call(20, "m", 0, 0)
	submit(urgent)
	is.Equal(len(refused), 4)
	is.True(refused[20].ID == 0 && refused[8].ID == 8) // the urgent call takes the place of the last one
	is.Equal(started(d.GrantPermits(permit(), 0, 10*ms)), map[dispatch.CallID]string{20: "a"})
}
