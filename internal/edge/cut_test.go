package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/internal/owner"
	"github.com/agateslip/agateslip/internal/testutil"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/routes"
)

// genuineAnswers is a dialect in which each answer is that of the call, and signed.
type genuineAnswers struct{ plainEvents }

func (genuineAnswers) Answer(int, http.Header) Answer               { return Answer{Genuine: true} }
func (genuineAnswers) Owner(http.Header, Caller) upstreamconn.Owner { return upstreamconn.ThisCall }

// TestCutAnswerIsNotWhole guards against answers that break off, in the head too, and reach callers as whole: plain ones, of which
// callers get nothing then, and streams, which must not be ended.
func TestCutAnswerIsNotWhole(t *testing.T) {
	for kind, lines := range map[routes.Kind]string{
		routes.RunOnce: "", routes.Repeatable: "", routes.Stream: "Content-Type: text/event-stream\r\n",
	} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			log := eventlog.New(io.Discard, nil)
			t.Cleanup(func() { log.Close(time.Second) })
			e := &Edge{
				ending: t.Context(), loop: owner.New(), upstreams: map[string]knownUpstream{}, metrics: metrics.New(t.Name()), log: log,
				dialect: genuineAnswers{}, dispatcher: dispatch.New(dispatch.DefaultLimits(), "d"),
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = e.loop.Run(ctx) }()
			addr, set := testutil.ServeCut(t, "Id")
			cuts := append(testutil.CutAnswers(lines), testutil.UnreadBody(lines), testutil.CutAnswer{
				Name: "comment", Sent: "HTTP/1.1 200 OK\r\n" + lines + "\r\n: loading\n\n", MayBeWhole: true,
			})
			for _, cut := range cuts {
				set(cut)
				w := httptest.NewRecorder()
				c := &call{
					edge: e, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), routing: &routingConfig{}, route: &routes.Route{Kind: kind},
					deadline: boottime.Now() + 5*time.Second, held: bodybuffer.NewBudget(1 << 20).NewShare(),
				}
				outcome, want := relayOnce(t, c, addr, cut.Unread), outcomeUnknown
				if cut.MayBeWhole && kind != routes.Stream {
					want = outcomeAnswered // the streams end before their first event with data
				}
				if outcome != want {
					t.Errorf("%s: outcome %d", cut.Name, outcome)
				}
				if outcome != outcomeAnswered && !c.streamStarted && w.Body.Len() > 0 {
					t.Errorf("%s: caller has %q", cut.Name, w.Body)
				}
			}
		})
	}
}

// relayOnce sends a call, with a large body if that shall not be read, and relays the answer.
func relayOnce(t *testing.T, c *call, addr string, large bool) attemptOutcome {
	t.Helper()
	body := []byte("body")
	if large {
		body = make([]byte, 16<<20)
	}
	conn, err := upstreamconn.NewPool(upstreamconn.NewDial(time.Second)).Get(t.Context(), addr, "a")
	if err == nil {
		err = conn.Send(&upstreamconn.Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}, Body: body})
	}
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	u := &fleet.Upstream{ID: "u"}
	resp, err := conn.Receive(func(h http.Header) upstreamconn.Owner { return c.edge.dialect.Owner(h, c.caller) })
	if err != nil {
		_, outcome := c.endLost(u, err)
		return outcome
	}
	_, outcome := c.relay(u, conn, resp)
	return outcome
}
