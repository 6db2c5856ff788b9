package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
)

// hotModel replays a model that 86 nodes call at two engines, which finish 32 calls a second together and let
// many more wait.
func hotModel(callsPerSecond float64, seed uint64) herd {
	return herd{
		nodes: 86, engines: 2, slots: 48, callsPerSecond: callsPerSecond, callTime: 3 * second,
		reportInterval: 400 * ms, queue: 144, seed: seed,
	}
}

// TestOverloadedModelServesWhatItsEnginesBear has twice as many calls arrive as two engines finish. At least two
// thirds of the calls that they can run must start in time; without calls held back nearly all are late.
func TestOverloadedModelServesWhatItsEnginesBear(t *testing.T) {
	for seed := range uint64(3) {
		got := hotModel(70, seed).run(30 * second)
		bearable := int(32 * 29)
		t.Logf("seed %d: %+v, of which %d on time, %d can be", seed, got, got.calls-got.late-got.rejected, bearable)
		if onTime := got.calls - got.late - got.rejected; 3*onTime < 2*bearable {
			t.Errorf("seed %d: %d calls on time, %d can be", seed, onTime, bearable)
		}
	}
}

// TestBusyModelIsNotShed has the engines of a model at seven tenths of what they finish: no call is refused.
func TestBusyModelIsNotShed(t *testing.T) {
	for seed := range uint64(3) {
		if got := hotModel(22, seed).run(30 * second); got.refused > 0 {
			t.Errorf("seed %d: %+v", seed, got)
		}
	}
}

// TestOverloadOutlastsLeader loses the leader for four seconds in the middle of an overload. Nodes keep to the share
// of calls that they sent before.
func TestOverloadOutlastsLeader(t *testing.T) {
	for seed := range uint64(3) {
		h := hotModel(70, seed)
		h.leaderLostAt, h.leaderless = 10*second, 4*second
		got := h.run(30 * second)
		t.Logf("seed %d: %+v", seed, got)
		if onTime := got.calls - got.late - got.rejected; 2*onTime < 32*29 {
			t.Errorf("seed %d: %d calls on time", seed, onTime)
		}
	}
}

// TestPatientCallsAreNotShed has an overloaded engine. A call that is due soon is refused at once; one that is due late
// is sent, and so is one that has been sent before.
func TestPatientCallsAreNotShed(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 8, "m"))
	d.ObservePlannerCounts(map[string]int{"a": 24}, true, 0)
	verdicts := d.Submit(call(1, "m", 1, 0), 0)
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Reason, dispatch.Overloaded)
	is.True(verdicts[0].RetryAfter > 0)
	patient, repeat := call(2, "m", 1, 0), call(3, "m", 1, 0)
	patient.Target, repeat.Repeat = 3*second, true
	is.Equal(len(started(d.Submit(patient, 0))), 1)
	is.Equal(len(started(d.Submit(repeat, 0))), 1)
}

// TestUrgentCallsAreShedLast has two engines overloaded. Calls of the most urgent rank are sent where those of the next
// are refused, whatever the numbers of their priorities.
func TestUrgentCallsAreShedLast(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 10, "m"), engine("b", 10, "m"))
	d.ObservePlannerCounts(map[string]int{"a": 15, "b": 8}, true, 0)
	urgent, next := call(1, "m", 0, 0), call(2, "m", 1, 0)
	urgent.Priority, next.Priority = 1<<16, 1<<16+1
	is.Equal(len(started(d.Submit(urgent, 0))), 1)
	verdicts := d.Submit(next, 0)
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Reason, dispatch.Overloaded)
}

// TestPaceWeighsInChoice has one of two engines state that work takes twice as long as usual. Calls go to the other
// one; two seconds later that is no longer known.
func TestPaceWeighsInChoice(t *testing.T) {
	is := is.New(t)
	// again returns how many of 200 nodes send a second call to the engine that told its pace with the first.
	again := func(pace float64, after time.Duration) (count int) {
		for node := range 200 {
			d := newDispatcher(engine("a", 48, "m"), engine("b", 48, "m"))
			d.ObservePlannerCounts(map[string]int{"a": 20, "b": 20}, true, after)
			first := dispatch.CallID(node)
			at := started(d.Submit(call(node, "m", 1, 0), 0))[first]
			d.Observe(first, dispatch.Load{Running: 21, Slots: 48, Pace: pace}, 0)
			d.Finish(first, dispatch.Served, after)
			next := dispatch.CallID(node + 1000)
			if started(d.Submit(call(node+1000, "m", 1, after), after))[next] == at {
				count++
			}
		}
		return count
	}
	is.True(again(2, 20*ms) < 20)
	is.True(again(1, 20*ms) > 60)
	is.True(again(2, 1900*ms) > 60)
}
