package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
)

// versions returns a dispatcher with an engine of each version, which is also its ID. The leader's
// base version is v1, as of time 0.
func versions(software ...string) *dispatch.Dispatcher {
	var engines []fleet.Upstream
	for _, v := range software {
		u := engine(v, 4, "m")
		u.Software = v
		engines = append(engines, u)
	}
	d := newDispatcher()
	d.SetBases(map[string]string{"llm": "v1"}, 0)
	d.Update(engines, 0)
	return d
}

// stream returns a call for a new stream.
func stream(id int, now time.Duration) dispatch.Call {
	c := call(id, "m", 1, now)
	c.Stream = true
	return c
}

// pinned returns a call that goes on with a stream which began at a version.
func pinned(id int, software string, now time.Duration) dispatch.Call {
	c := stream(id, now)
	c.Pinned, c.Software = true, software
	return c
}

// TestPinnedCallsGoToTheirVersion fills the engine of one version with calls that are pinned to it. More
// of them wait, and hold up neither calls without a version nor those pinned to another one.
func TestPinnedCallsGoToTheirVersion(t *testing.T) {
	is := is.New(t)
	d := versions("v1", "v2")
	for i := range 5 { // one more than it has slots
		is.Equal(started(d.Submit(pinned(i, "v2", 0), 0))[dispatch.CallID(i)], "v2")
	}
	is.Equal(len(d.Submit(pinned(5, "v2", 0), 0)), 0)
	is.Equal(started(d.Submit(stream(6, 0), 0))[6], "v1")
	is.Equal(started(d.Submit(pinned(7, "v1", 0), 0))[7], "v1")
	is.Equal(started(d.Finish(0, dispatch.Served, 10*ms)), map[dispatch.CallID]string{5: "v2"})
}

// TestPinnedCallsComeBeforeNewOnes fills the only engine with new calls. A call that goes on with a stream
// may exceed the slots; the next one starts before new calls of its priority that have waited longer,
// and waits for as long as its caller does.
func TestPinnedCallsComeBeforeNewOnes(t *testing.T) {
	is := is.New(t)
	d := versions("v1")
	for i := range 4 {
		is.Equal(len(started(d.Submit(stream(i, 0), 0))), 1)
	}
	is.Equal(len(d.Submit(stream(4, 0), 0)), 0)
	is.Equal(started(d.Submit(pinned(5, "v1", 10*ms), 10*ms))[5], "v1")
	is.Equal(len(d.Submit(pinned(6, "v1", 20*ms), 20*ms)), 0)
	d.Finish(5, dispatch.Served, 30*ms)
	is.Equal(started(d.Finish(0, dispatch.Served, 30*ms)), map[dispatch.CallID]string{})
	verdicts := d.Tick(5 * second) // the new call has waited for half of its time
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].ID, dispatch.CallID(4))
}

// TestPinnedCallWithoutItsVersionIsRefusedAtOnce checks both a version that was never there and one
// that leaves while a call waits.
func TestPinnedCallWithoutItsVersionIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := versions("v1", "v2")
	verdicts := d.Submit(pinned(1, "v0", 0), 0)
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Reason, dispatch.NoVersion)
	for i := range 5 {
		d.Submit(pinned(10+i, "v2", 0), 0)
	}
	is.Equal(len(d.Submit(pinned(2, "v2", 0), 0)), 0)
	leaving := engine("v2", 4, "m")
	leaving.Software, leaving.Leaving = "v2", true
	verdicts = d.Update([]fleet.Upstream{leaving}, 10*ms)
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Reason, dispatch.NoVersion)
}

// TestPinnedCallWaitsForItsModelAtItsVersion has the model loaded at another version only.
func TestPinnedCallWaitsForItsModelAtItsVersion(t *testing.T) {
	is := is.New(t)
	d := versions("v1")
	other := engine("v2", 4, "other")
	other.Software = "v2"
	d.Update([]fleet.Upstream{other}, 0)
	is.Equal(len(d.Submit(pinned(1, "v2", 0), 0)), 0)
	demand := d.Demand(0)
	is.Equal(len(demand), 1)
	is.True(demand[0].Pinned && demand[0].Software == "v2")
	other.Residents = []fleet.Resident{{Model: "m"}}
	is.Equal(started(d.Update([]fleet.Upstream{other}, second)), map[dispatch.CallID]string{1: "v2"})
}

// TestStreamsOfOtherVersionsAreRecorded checks which new streams must be recorded, and that none begins
// where it would have to be while the leader does not answer.
func TestStreamsOfOtherVersionsAreRecorded(t *testing.T) {
	is := is.New(t)
	for software, record := range map[string]bool{"v1": false, "v2": true} {
		d := versions(software)
		verdicts := d.Submit(stream(1, 0), 0)
		is.Equal(len(verdicts), 1)
		is.Equal(verdicts[0].Record, record)
		is.True(!d.Submit(pinned(2, software, 0), 0)[0].Record)
		is.True(!d.Submit(call(3, "m", 1, 0), 0)[0].Record) // not a stream
		d.Finish(1, dispatch.Served, second)
		d.Finish(2, dispatch.Served, second)
		is.Equal(len(started(d.Submit(stream(4, 10*second), 10*second))) == 0, record)
		is.Equal(len(started(d.Submit(pinned(5, software, 10*second), 10*second))), 1)
	}
	d := versions("v2", "v1")
	for i := range 4 {
		is.Equal(started(d.Submit(stream(i, 10*second), 10*second))[dispatch.CallID(i)], "v1")
	}
}

// TestSilentStreamMovesWithinItsVersion has another version and then the same one take over.
func TestSilentStreamMovesWithinItsVersion(t *testing.T) {
	is := is.New(t)
	d := versions("v2")
	d.Submit(stream(1, 0), 0)
	other := engine("v1", 4, "m")
	other.Software = "v1"
	d.Update([]fleet.Upstream{other}, 0)
	is.True(!d.Stalled(1, 0, 0, true, true, 2*second).Move)
	is.True(d.Stalled(1, 0, 0, true, false, 2*second).Move) // the caller has no event yet
	same := engine("b", 4, "m")
	same.Software = "v2"
	d.Update([]fleet.Upstream{same}, 0)
	is.True(d.Stalled(1, 0, 0, true, true, 2*second).Move)
}
