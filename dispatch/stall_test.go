package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
)

// newDispatcherWithRunningCall returns a dispatcher with two engines, at one of which
// call 1 runs.
func newDispatcherWithRunningCall(t *testing.T, slots int) *dispatch.Dispatcher {
	t.Helper()
	d := newDispatcher(engine("a", slots, "m"), engine("b", slots, "m"))
	if len(started(d.Submit(call(1, "m", 1, 0), 0))) != 1 {
		t.Fatal("call 1 did not start")
	}
	return d
}

func TestStalledMovesFromSilentEngine(t *testing.T) {
	is := is.New(t)
	d := newDispatcherWithRunningCall(t, 4)
	is.Equal(d.Stalled(1, 0, 0, false, false, 400*ms), dispatch.Stall{Check: 500 * ms})
	is.Equal(d.Stalled(1, 0, 0, false, false, 500*ms), dispatch.Stall{Move: true})
	is.Equal(d.Stalled(1, 0, 0, true, false, 500*ms), dispatch.Stall{Check: 1500 * ms}) // the answer has begun
	is.Equal(d.Stalled(1, 0, 0, true, false, 1500*ms), dispatch.Stall{Move: true})
	d.Finish(1, dispatch.Lost, second)
	is.Equal(d.Stalled(1, 0, 0, false, false, 2*second), dispatch.Stall{}) // the call has ended
}

// TestStalledKeepsCallAtBusyEngine checks that a call stays at an engine that still sends
// bytes of other calls: the engine is busy, not gone.
func TestStalledKeepsCallAtBusyEngine(t *testing.T) {
	is := is.New(t)
	d := newDispatcherWithRunningCall(t, 4)
	for now := 500 * ms; now < 4*second; now += 100 * ms {
		is.Equal(d.Stalled(1, 0, now-50*ms, false, false, now), dispatch.Stall{Check: now + 450*ms})
	}
}

// TestStalledKeepsCallWithoutAlternative checks that a call stays at a silent engine
// while no other engine has a free slot.
func TestStalledKeepsCallWithoutAlternative(t *testing.T) {
	is := is.New(t)
	d := newDispatcherWithRunningCall(t, 1)
	d.Submit(call(2, "m", 1, 0), 0) // fills the other engine
	is.Equal(d.Stalled(1, 0, 0, false, false, second).Move, false)
	d.Finish(2, dispatch.Served, 2*second)
	is.Equal(d.Stalled(1, 0, 0, false, false, 2*second), dispatch.Stall{Move: true})
	d.Update([]fleet.Upstream{{ID: "b", Service: "llm", Gone: true}, {ID: "a", Service: "llm", Gone: true}}, 2*second)
	is.Equal(d.Stalled(1, 0, 0, false, false, 2*second).Move, false)
}

// TestStallTimeoutGrowsWithTarget checks that a call that is due after 2.5 s moves after
// 1 s, which leaves the other engine the time to answer by the target.
func TestStallTimeoutGrowsWithTarget(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 4, "m"), engine("b", 4, "m"))
	c := call(1, "m", 1, 0)
	c.Target = 2500 * ms
	d.Submit(c, 0)
	is.Equal(d.Stalled(1, 0, 0, false, false, 999*ms), dispatch.Stall{Check: time.Second})
	is.Equal(d.Stalled(1, 0, 0, false, false, second), dispatch.Stall{Move: true})
}
