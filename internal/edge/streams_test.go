package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/routes"
)

// TestTakenUpStreamStaysAtItsService guards against a split route that sends a caller's next try to
// another service than the one that began the stream.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		kind   routes.Kind
		caller Caller
		want   string
	}{
		{routes.Stream, Caller{ID: "b"}, "b"},
		{routes.Stream, Caller{ID: "b", ResumedID: "a"}, "b"}, // without an event it begins anew
		{routes.Stream, Caller{ID: "b", ResumeAfter: "3", ResumedID: "a"}, "a"},
		{routes.Stream, Caller{ID: "b", ResumeAfter: "3"}, "b"},
		{routes.Repeatable, Caller{ID: "b", ResumeAfter: "3", ResumedID: "a"}, "b"},
	} {
		is.Equal((&call{caller: c.caller, route: &routes.Route{Kind: c.kind}}).streamID(), c.want)
	}
}

// TestBrokenStreamWaitsForItsRest guards against streams that are given up at once, or after half of the
// time left, when they break off late: their callers lack only a part of the answer.
func TestBrokenStreamWaitsForItsRest(t *testing.T) {
	is := is.New(t)
	route := &routes.Route{Kind: routes.Stream, StartPatience: 5 * time.Second}
	at := func(c *call) time.Duration {
		c.route, c.forEngine, c.deadline, c.caller.OutputTokens = route, true, 8*time.Second, 10000
		return c.latestStart()
	}
	is.Equal(at(&call{}), 4*time.Second)                                                   // half of the time is for the run
	is.Equal(at(&call{caller: Caller{ResumeAfter: "9"}}), 5*time.Second-startReserve)      // its caller waits for an event
	is.Equal(at(&call{events: 9, lastEventTime: 5 * time.Second}), 6*time.Second)          // a quarter is for the rest
	is.Equal(at(&call{events: 9, lastEventTime: time.Second}), 6*time.Second-startReserve) // its caller waits for an event
}
