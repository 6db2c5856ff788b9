package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/owner"
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

// TestTakenUpStreamWaitsForRecentList has a node that stood still take up a stream. Its list of upstreams is from before
// that; meanwhile the upstream may have started again under its ID, with software that does not fit. New streams go on
// without the leader.
func TestTakenUpStreamWaitsForRecentList(t *testing.T) {
	const born, restarted = 1, 2
	for name, c := range map[string]struct {
		takesUp   bool
		listed    int64 // the incarnation in the next list; zero if none comes
		want      bool
		waitLeast time.Duration
	}{
		"new stream, no list":   {takesUp: false, listed: 0, want: true},
		"upstream as before":    {takesUp: true, listed: born, want: true, waitLeast: 100 * time.Millisecond},
		"upstream restarted":    {takesUp: true, listed: restarted, want: false, waitLeast: 100 * time.Millisecond},
		"no list until the end": {takesUp: true, listed: 0, want: false, waitLeast: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := fleet.Upstream{ID: "u", Born: born, Software: "v1"}
			e := &Edge{ending: t.Context(), loop: owner.New(), upstreams: map[string]knownUpstream{"u": {desc: u}}}
			e.upstreamsAskedAt = boottime.Now() - maxListAge - time.Second
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = e.loop.Run(ctx) }()
			call := &call{
				edge: e, r: httptest.NewRequest(http.MethodPost, "/", nil), route: &routes.Route{Kind: routes.Stream},
				deadline: boottime.Now() + 500*time.Millisecond,
			}
			call.pinned.Store(true)
			if c.takesUp {
				call.caller.ResumeAfter = "3"
			}
			began := time.Now()
			if c.listed != 0 {
				time.AfterFunc(150*time.Millisecond, func() {
					e.loop.Post(func() {
						next := u
						next.Born = c.listed
						e.upstreams["u"] = knownUpstream{desc: next}
						e.upstreamsAskedAt = boottime.Now()
					})
				})
			}
			is.Equal(call.mayRelayEvents(&u), c.want)
			is.True(time.Since(began) >= c.waitLeast)
		})
	}
}
