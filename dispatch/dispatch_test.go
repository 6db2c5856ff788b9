package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

func engine(id string, slots int, models ...string) fleet.Upstream {
	u := fleet.Upstream{ID: id, Service: "llm", Addr: id + ":1", Domain: "d", Slots: slots}
	for _, m := range models {
		u.Residents = append(u.Residents, fleet.Resident{Model: m})
	}
	return u
}

func newDispatcher(upstreams ...fleet.Upstream) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.DefaultLimits(), "d")
	d.Update(upstreams, 0)
	return d
}

// call returns a call that arrives at now, is due half a second later and must start
// within eight seconds.
func call(id int, model string, priority int, now time.Duration) dispatch.Call {
	return dispatch.Call{
		ID: dispatch.CallID(id), Service: "llm", Model: model, Priority: priority, Rank: priority,
		Arrived: now, Target: now + 500*ms, LatestStart: now + 8*second,
	}
}

// started returns the upstream ID of each call that the verdicts start.
func started(verdicts []dispatch.Verdict) map[dispatch.CallID]string {
	at := map[dispatch.CallID]string{}
	for _, v := range verdicts {
		if v.Action == dispatch.Start {
			at[v.ID] = v.Upstream.ID
		}
	}
	return at
}

func TestCallsSpreadByLoad(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 4, "m"), engine("b", 4, "m"))
	count := map[string]int{}
	for i := range 8 {
		for _, id := range started(d.Submit(call(i, "m", 1, 0), 0)) {
			count[id]++
		}
	}
	is.Equal(count, map[string]int{"a": 4, "b": 4})
	is.Equal(len(d.Submit(call(9, "m", 1, 0), 0)), 0) // both are full: the call waits
	is.Equal(d.Waiting(), 1)
	is.Equal(started(d.Finish(0, dispatch.Served, second))[9] != "", true)
}

// TestQueueOrder checks that calls that wait for a full engine start in the order of
// priority and then of target.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 1, "m"))
	d.Submit(call(1, "m", 1, 0), 0)
	d.Submit(call(2, "m", 2, 0), 0)
	d.Submit(call(3, "m", 0, 20*ms), 20*ms)
	d.Submit(call(4, "m", 0, 10*ms), 20*ms)
	is.Equal(started(d.Finish(1, dispatch.Served, 30*ms)), map[dispatch.CallID]string{4: "a"})
	is.Equal(started(d.Finish(4, dispatch.Served, 40*ms)), map[dispatch.CallID]string{3: "a"})
	is.Equal(started(d.Finish(3, dispatch.Served, 50*ms)), map[dispatch.CallID]string{2: "a"})
}

// TestDemandCountsWaitingCalls checks that a call waits for a model that no upstream
// holds, counts as demand, and starts once the model is loaded.
func TestDemandCountsWaitingCalls(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 4, "other"))
	is.Equal(len(d.Submit(call(1, "m", 1, 0), 0)), 0)
	demand := d.Demand(100 * ms)
	is.Equal(len(demand), 1)
	is.Equal(demand[0].Waiting, 1)
	is.Equal(demand[0].Slack, 400*ms)
	is.Equal(started(d.Update([]fleet.Upstream{engine("a", 4, "other", "m")}, second)), map[dispatch.CallID]string{1: "a"})
	is.Equal(len(d.Demand(second)), 0)
}

// TestRefuseOnLateForecast checks that a call whose model cannot be loaded before its
// latest start is refused at once, with the forecast as the time to retry.
func TestRefuseOnLateForecast(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 4, "other"))
	d.Submit(call(1, "m", 1, 0), 0)
	d.Forecast(dispatch.ModelKey{Service: "llm", Model: "m"}, 12*second, 20*ms)
	verdicts := d.Tick(20 * ms)
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Action, dispatch.Refuse)
	is.Equal(verdicts[0].Reason, dispatch.NoModel)
	is.Equal(verdicts[0].RetryAfter, 12*second)
}

// TestRefuseWithoutForecast checks that a call for a model without a forecast is refused
// before its latest start.
func TestRefuseWithoutForecast(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 4, "other"))
	d.Submit(call(1, "m", 1, 0), 0)
	is.Equal(len(d.Tick(3*second)), 0)
	verdicts := d.Tick(5 * second)
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Action, dispatch.Refuse)
}

// TestClosingModelGetsNoCalls checks that no call goes to a model that is about to be
// unloaded, even if all other upstreams are full.
func TestClosingModelGetsNoCalls(t *testing.T) {
	is := is.New(t)
	a := engine("a", 4, "m")
	a.Closing = []string{"m"}
	d := newDispatcher(a, engine("b", 1, "m"))
	is.Equal(started(d.Submit(call(1, "m", 1, 0), 0)), map[dispatch.CallID]string{1: "b"})
	is.Equal(len(d.Submit(call(2, "m", 1, 0), 0)), 0)
}

// TestUpstreamThatLosesCallsIsPaused loses calls one after the other at the only upstream. A
// single one may be the call's own fault; after a second one the upstream is paused for a
// while, and longer after a third.
func TestUpstreamThatLosesCallsIsPaused(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 4, "m"))
	limits := dispatch.DefaultLimits()
	lose := func(id int, now time.Duration) {
		is.Equal(len(started(d.Submit(call(id, "m", 1, now), now))), 1)
		d.Finish(dispatch.CallID(id), dispatch.Lost, now)
	}
	lose(1, 0)
	lose(2, 0)
	is.Equal(d.Health("a", 0).PausedFor, limits.Backoff)
	is.Equal(len(d.Submit(call(3, "m", 1, 0), 0)), 0)
	is.Equal(len(started(d.Tick(limits.Backoff))), 1)
	d.Finish(3, dispatch.Lost, limits.Backoff)
	is.Equal(d.Health("a", limits.Backoff).PausedFor, 2*limits.Backoff)
}

// TestRefusedCallPrefersOtherUpstreams guards against a call that goes again to the upstream that refused it while another
// one is free, and against one that waits although only that upstream can run it.
func TestRefusedCallPrefersOtherUpstreams(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 64, "m"), engine("b", 64, "m"))
	for id := 1; id <= 100; id++ {
		refused := call(id, "m", 1, 0)
		refused.RefusedBy = []string{"a"}
		is.Equal(started(d.Submit(refused, 0))[dispatch.CallID(id)], "b")
		d.Finish(dispatch.CallID(id), dispatch.Served, 0)
	}
	d.Update([]fleet.Upstream{{ID: "b", Gone: true}}, 0)
	refused := call(101, "m", 1, 0)
	refused.RefusedBy = []string{"a"}
	is.Equal(started(d.Submit(refused, 0))[101], "a")
}

// TestUpstreamOfDoubtfulRefusalsGetsFewCalls guards against an upstream whose refusals prove nothing taking call after
// call, each with an unknown outcome, while another one has room.
func TestUpstreamOfDoubtfulRefusalsGetsFewCalls(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 64, "m"), engine("b", 64, "m"))
	const calls, interval = 1000, 10 * ms
	doubtful, pauses := 0, []time.Duration{}
	for id := 1; id <= calls; id++ {
		now := time.Duration(id) * interval
		result := dispatch.Served
		if started(d.Submit(call(id, "m", 1, now), now))[dispatch.CallID(id)] == "a" {
			doubtful++
			result = dispatch.Doubtful
		}
		d.Finish(dispatch.CallID(id), result, now)
		if result == dispatch.Doubtful {
			pauses = append(pauses, d.Health("a", now).PausedFor)
		}
	}
	limits := dispatch.DefaultLimits()
	is.True(doubtful > 0 && doubtful <= 8) // the first pauses and one try in each longest one
	is.Equal(pauses[0], limits.Backoff)
	for _, p := range pauses {
		is.True(p <= limits.MaxBackoff)
	}
	// A call that is served ends the doubts.
	now := calls*interval + limits.MaxBackoff
	d.Update([]fleet.Upstream{{ID: "b", Gone: true}}, now)
	is.Equal(len(started(d.Submit(call(calls+1, "m", 1, now), now))), 1)
	d.Finish(calls+1, dispatch.Served, now)
	is.Equal(len(started(d.Submit(call(calls+2, "m", 1, now), now))), 1)
	d.Finish(calls+2, dispatch.Doubtful, now)
	is.Equal(d.Health("a", now).PausedFor, limits.Backoff)
}

func TestLeavingAndGoneUpstreamsGetNoCalls(t *testing.T) {
	is := is.New(t)
	a, b := engine("a", 4, "m"), engine("b", 4, "m")
	d := newDispatcher(a, b)
	a.Leaving = true
	b.Gone = true
	d.Update([]fleet.Upstream{a, b}, 0)
	is.Equal(len(d.Submit(call(1, "m", 1, 0), 0)), 0)
}

// TestLostCallsPauseUpstream checks that an upstream that loses every call gets only a
// few calls for a while, and more again once it answers.
func TestLostCallsPauseUpstream(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 9, "m"), engine("b", 9, "m"))
	id, lost := 0, 0
	submit := func(now time.Duration, losesCalls bool) {
		id++
		at := started(d.Submit(call(id, "m", 1, now), now))[dispatch.CallID(id)]
		if at == "a" && losesCalls {
			lost++
			d.Finish(dispatch.CallID(id), dispatch.Lost, now)
			return
		}
		d.Finish(dispatch.CallID(id), dispatch.Served, now)
	}
	for i := range 100 {
		submit(time.Duration(i)*50*ms, true)
	}
	is.True(lost <= 6) // paused for 0.2, 0.4, 0.8, 1.6 and 3 s within 5 s
	served := 0
	for i := range 400 {
		now := 20*second + time.Duration(i)*50*ms
		id++
		if started(d.Submit(call(id, "m", 1, now), now))[dispatch.CallID(id)] == "a" {
			served++
		}
		d.Finish(dispatch.CallID(id), dispatch.Served, now)
	}
	is.True(served > 50) // it gets calls again
}

// TestSingleProbeAfterUnreachable checks that at most one call is sent to an upstream
// that could not be reached. Connecting to it can take a while to fail, which would
// delay every call sent there; the others must go elsewhere.
func TestSingleProbeAfterUnreachable(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 9, "m"))
	d.Submit(call(1, "m", 1, 0), 0)
	d.Finish(1, dispatch.Unreachable, 100*ms)
	d.Update([]fleet.Upstream{engine("b", 9, "m")}, 200*ms)
	tried := 0
	for i := 2; i < 14; i++ {
		if started(d.Submit(call(i, "m", 1, second), second))[dispatch.CallID(i)] == "a" {
			tried++
		}
	}
	is.True(tried <= 1)
	is.Equal(d.Waiting(), 12-9-tried)
}

// TestReportedLoadSteersCalls checks that a node that handles a tenth of the traffic
// avoids an upstream that reports many calls of other nodes.
func TestReportedLoadSteersCalls(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 10, "m"), engine("b", 10, "m"))
	first := started(d.Submit(call(1, "m", 1, 0), 0))[1]
	d.Observe(1, dispatch.Load{Running: 9, Waiting: 0, Slots: 10}, 10*ms)
	for i := 2; i < 8; i++ {
		at := started(d.Submit(call(i, "m", 1, 20*ms), 20*ms))[dispatch.CallID(i)]
		is.True(at != first)
	}
}

// TestPlannerCountsSteerCalls checks that a node that has had no answer from a busy engine
// avoids it by the planner's counts.
func TestPlannerCountsSteerCalls(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 48, "m"), engine("b", 48, "m"))
	d.ObservePlannerCounts(map[string]int{"a": 30, "b": 12}, true, 0)
	for i := range 10 {
		is.Equal(started(d.Submit(call(i, "m", 1, 0), 0))[dispatch.CallID(i)], "b")
	}
	d.ObservePlannerCounts(map[string]int{"b": 40}, true, 100*ms)
	is.Equal(started(d.Submit(call(11, "m", 1, 100*ms), 100*ms))[11], "a")
	// The count of b, which is not named, has not changed.
	d.ObservePlannerCounts(map[string]int{"a": 55}, false, 200*ms)
	is.Equal(started(d.Submit(call(12, "m", 1, 200*ms), 200*ms))[12], "b")
}

// TestAffinityAgreesAcrossNodes checks that different nodes send calls with the same
// affinity to the same upstream.
func TestAffinityAgreesAcrossNodes(t *testing.T) {
	is := is.New(t)
	callsByUpstream := map[string]int{}
	for node := range 5 {
		d := newDispatcher(engine("a", 64, "m"), engine("b", 64, "m"), engine("c", 64, "m"))
		c := call(node, "m", 1, 0)
		c.Affinity = 4711
		callsByUpstream[started(d.Submit(c, 0))[dispatch.CallID(node)]]++
	}
	is.Equal(len(callsByUpstream), 1)
}

func BenchmarkSubmitOverManyUpstreams(b *testing.B) {
	var upstreams []fleet.Upstream
	for i := range 60 {
		upstreams = append(upstreams, engine(fmt.Sprint("e", i), 1<<30, fmt.Sprint("m", i%20)))
	}
	d := newDispatcher(upstreams...)
	for i := 0; b.Loop(); i++ {
		d.Submit(call(i, "m3", 1, 0), 0)
		d.Finish(dispatch.CallID(i), dispatch.Served, 0)
	}
}

// TestAvoidingCallHoldsBackNoOther has a call wait that must avoid the only engine of its
// model, since it may have run there. Later calls for the model must start there.
func TestAvoidingCallHoldsBackNoOther(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 4, "m"))
	repeated := call(1, "m", 1, 0)
	repeated.Avoid = []string{"a"}
	is.Equal(len(d.Submit(repeated, 0)), 0)
	is.Equal(started(d.Submit(call(2, "m", 1, 10*ms), 10*ms)), map[dispatch.CallID]string{2: "a"})
}
