package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
)

// incarnation returns an engine that holds model m, started at the given time.
func incarnation(id string, born int64) fleet.Upstream {
	u := engine(id, 8, "m")
	u.Born = born
	return u
}

// countStarted submits calls with the IDs from first on, one every interval from start to
// end, and counts those that are sent to an upstream. They end at once.
func countStarted(d *dispatch.Dispatcher, first int, start, end, interval time.Duration) int {
	sent := 0
	for at := start; at < end; at += interval {
		c := call(first, "m", 1, at)
		first++
		if started(d.Submit(c, at))[c.ID] != "" {
			sent++
			d.Finish(c.ID, dispatch.Served, at)
		}
		d.Withdraw(c.ID)
	}
	return sent
}

// TestLeavingIsFinalForIncarnation checks that an engine that said with an answer that it
// is leaving gets no calls, whatever later descriptions of the same incarnation say, also
// after it was not listed for a while. Its next incarnation gets calls.
func TestLeavingIsFinalForIncarnation(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(incarnation("a", 1))
	d.Submit(call(1, "m", 1, 0), 0)
	d.ObserveLeaving(1)
	d.Finish(1, dispatch.Served, 10*ms)
	is.Equal(countStarted(d, 10, 20*ms, second, 100*ms), 0)

	d.Update([]fleet.Upstream{incarnation("a", 1)}, second) // a late announcement
	is.Equal(countStarted(d, 30, second, 2*second, 100*ms), 0)

	gone := incarnation("a", 1)
	gone.Gone = true
	d.Update([]fleet.Upstream{gone}, 2*second)
	d.Update([]fleet.Upstream{incarnation("a", 1)}, 3*second)
	is.Equal(countStarted(d, 50, 3*second, 4*second, 100*ms), 0)

	d.Update([]fleet.Upstream{incarnation("a", 2)}, 4*second)
	is.Equal(countStarted(d, 70, 4*second, 5*second, 100*ms), 10)
}

// TestPauseIsKept checks that an engine that asked for a pause gets no call until the pause
// is over, and that answers, rejections and changes of its description do not end it early.
func TestPauseIsKept(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(incarnation("a", 1))
	d.Submit(call(1, "m", 1, 0), 0)
	d.Submit(call(2, "m", 1, 0), 0)
	d.ObservePause(1, 1500*ms, 100*ms)
	d.Finish(1, dispatch.Rejected, 100*ms)
	d.ObservePause(2, 200*ms, 150*ms) // a shorter one does not end it
	d.FirstByte(2)
	d.Finish(2, dispatch.Served, 150*ms)
	d.Update([]fleet.Upstream{incarnation("a", 1)}, 200*ms)
	is.Equal(countStarted(d, 10, 200*ms, 1600*ms, 50*ms), 0)
	is.Equal(countStarted(d, 50, 1600*ms, 2*second, 100*ms), 4)
}

// TestPausesBeyondPatienceAreRefused checks that a call is refused at once, with the time
// at which an engine takes calls again, if all engines with its model asked for pauses that
// last longer than the call can wait. A call that can wait does.
func TestPausesBeyondPatienceAreRefused(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(incarnation("a", 1), incarnation("b", 1))
	for id, pause := range map[dispatch.CallID]time.Duration{1: 20 * second, 2: 12 * second} {
		c := call(int(id), "m", 1, 0)
		if id == 2 {
			c.Avoid = []string{"a"}
		} else {
			c.Avoid = []string{"b"}
		}
		d.Submit(c, 0)
		d.ObservePause(id, pause, 0)
		d.Finish(id, dispatch.Rejected, 0)
	}
	verdicts := d.Submit(call(3, "m", 1, second), second) // must start within 8 s
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Action, dispatch.Refuse)
	is.Equal(verdicts[0].Reason, dispatch.Paused)
	is.Equal(verdicts[0].RetryAfter, 11*second)

	is.Equal(len(d.Submit(call(4, "m", 1, 11*second), 11*second)), 0)
	is.Equal(started(d.Tick(12*second)), map[dispatch.CallID]string{4: "b"})
}
