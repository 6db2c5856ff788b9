package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	c.wants = dispatch.Call{ID: 1, Service: "s", Arrived: sent, Target: sent + time.Second, LatestStart: sent + 8*time.Second}
	verdicts := e.dispatcher.Submit(c.wants, sent)
	return &stallWatch{
		call: c, callID: 1, upstream: verdicts[0].Upstream, conn: conn, sent: sent, due: sent + firstStallCheck,
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

// TestAMoveIsPaidOnce has a move draw on the budget, and the send that follows it
// not.
func TestAMoveIsPaidOnce(t *testing.T) {
	is := is.New(t)
	w := silentAttempt(t, boottime.Now()-firstStallCheck-50*time.Millisecond)
	b := w.call.edge.budget("s")
	paid := func() (sends int) {
		for _, n := range b.sends {
			sends += n
		}
		return sends
	}
	w.decide()
	is.Equal(paid(), 1)
	w.call.route = &routes.Route{Kind: routes.Repeatable, Attempts: 2}
	w.call.deadline, w.call.mayHaveRun, w.call.ran = boottime.Now()+time.Minute, true, 1
	w.call.r = httptest.NewRequest(http.MethodGet, "/", nil)
	again := make(chan bool, 1)
	go func() { again <- w.call.again(unknown) }()
	select {
	case ok := <-again:
		is.True(ok)
	case <-time.After(5 * time.Second): // the loop, which would pay, does not run here
		t.Fatal("the send asks the budget once more")
	}
	is.Equal(paid(), 1)
}

// TestWithoutABudgetACallStays has no second send to spare.
func TestWithoutABudgetACallStays(t *testing.T) {
	is := is.New(t)
	w := silentAttempt(t, boottime.Now()-firstStallCheck-50*time.Millisecond)
	e := w.call.edge
	for e.budget("s").spend(&e.cfg.Retry, e.entries.Load(), boottime.Now()) {
	}
	w.decide()
	is.True(!w.call.moved.Load())
}
