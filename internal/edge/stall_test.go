package edge

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/internal/owner"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/routes"
)

// silentAttempt is an attempt at one of two upstreams, sent a while ago, of which
// nothing has been heard.
func silentAttempt(t *testing.T, sent time.Duration) *stallWatch {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	conn, err := upstreamconn.NewPool(time.Second).Get(context.Background(), listener.Addr().String(), false)
	if err != nil {
		t.Fatal(err)
	}
	log := eventlog.New(io.Discard, nil)
	t.Cleanup(func() { log.Close(time.Second) })
	e := &Edge{
		cfg:        config.Managed{Retry: config.RetryBudget{Ratio: 0.2, Extra: 50, Window: contract.Duration(10 * time.Second)}},
		log:        log,
		loop:       owner.New(),
		metrics:    metrics.New(t.Name()),
		dispatcher: dispatch.New(dispatch.DefaultLimits(), "d"),
		budgets:    map[string]*retryBudget{},
	}
	e.dispatcher.Update([]fleet.Upstream{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}, sent)
	c := &call{edge: e, route: &routes.Route{}, view: &view{}, arrived: sent}
	c.wants = dispatch.Call{Token: 1, Service: "s", Arrived: sent, Target: sent + time.Second, Latest: sent + 8*time.Second}
	verdicts := e.dispatcher.Submit(c.wants, sent)
	return &stallWatch{
		call: c, token: 1, upstream: verdicts[0].Upstream, conn: conn, sent: sent, due: sent + firstStallCheck,
		ended: make(chan struct{}),
	}
}

func TestASilentAttemptIsMoved(t *testing.T) {
	is := is.New(t)
	w := silentAttempt(t, boottime.Now()-firstStallCheck-50*time.Millisecond)
	w.decide()
	is.True(w.call.moved.Load())
}

// TestANodeThatStoodStillWaitsForWhatWasSaid looks at an attempt seconds late, as a
// node does that was frozen: bytes may have come that it has not read.
func TestANodeThatStoodStillWaitsForWhatWasSaid(t *testing.T) {
	is := is.New(t)
	w := silentAttempt(t, boottime.Now()-5*time.Second)
	defer close(w.ended)
	w.decide()
	is.True(!w.call.moved.Load())
	is.True(w.due > boottime.Now()) // it is looked at again
}
