package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
)

// TestNodesShareBrittleUpstreams has one node of four see an idle engine with eight slots that says that
// it is brittle. The node keeps to its part of the slots, also at an engine that has just started, and
// stays away for a while after a rejection.
func TestNodesShareBrittleUpstreams(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(incarnation("a", 1))
	d.SetEntryNodes(4, "n")
	is.Equal(len(started(d.Submit(call(1, "m", 1, 0), 0))), 1)
	d.ObserveBrittle(1, 4, 0)
	is.Equal(len(started(d.Submit(call(2, "m", 1, 0), 0))), 1)
	is.Equal(len(d.Submit(call(3, "m", 1, 0), 0)), 0) // its part is two of eight
	is.Equal(len(started(d.Finish(1, dispatch.Rejected, 10*ms))), 0)
	is.Equal(len(started(d.Tick(1900*ms))), 0) // four nodes, two rejections a second
	is.Equal(len(started(d.Tick(2100*ms))), 1)
	d.Withdraw(3)
	fresh := newDispatcher(incarnation("a", 1), incarnation("b", 2))
	fresh.SetEntryNodes(8, "n")
	fresh.Submit(call(1, "m", 1, 0), 0)
	fresh.ObserveBrittle(1, 1, 0)
	count := 0
	for i := range 6 {
		count += len(started(fresh.Submit(call(10+i, "m", 1, 0), 0)))
	}
	is.Equal(count, 1) // one call at the other engine
	fresh.Finish(1, dispatch.Served, second)
	is.True(len(started(fresh.Tick(3100*ms))) > 2) // they have not said so for three seconds
}

// TestBrittleServiceLeavesOthersAlone checks that other services are not affected.
func TestBrittleServiceLeavesOthersAlone(t *testing.T) {
	is := is.New(t)
	other := incarnation("b", 1)
	other.Service = "other"
	d := newDispatcher(incarnation("a", 1), other)
	d.SetEntryNodes(8, "n")
	d.Submit(call(1, "m", 1, 0), 0)
	d.ObserveBrittle(1, 1, 0)
	for i := range 8 {
		c := call(10+i, "m", 1, 0)
		c.Service = "other"
		is.Equal(started(d.Submit(c, 0)), map[dispatch.CallID]string{c.ID: "b"})
	}
}
