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

// silentAttempt returns the watch of an attempt that was sent at the given time to one
// of two upstreams and has received nothing since.
func silentAttempt(t *testing.T, sent time.Duration) *stallWatch {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	conn, err := upstreamconn.NewPool(upstreamconn.NewDial(time.Second)).Get(context.Background(), listener.Addr().String(), "a")
	if err != nil {
		t.Fatal(err)
	}
	log := eventlog.New(io.Discard, nil)
	t.Cleanup(func() { log.Close(time.Second) })
	e := &Edge{
		cfg:        config.Managed{Retry: config.RetryBudget{Ratio: 0.2, Extra: 50, Window: contract.Duration(10 * time.Second)}},
		log:        log,
		loop:       owner.New(),
		ending:     t.Context(),
		metrics:    metrics.New(t.Name()),
		dispatcher: dispatch.New(dispatch.DefaultLimits(), "d"),
		budgets:    map[string]*retryBudget{},
	}
	e.dispatcher.Update([]fleet.Upstream{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}, sent)
	c := &call{edge: e, route: &routes.Route{}, routing: &routingConfig{}, arrived: sent}
	c.dispatchCall = dispatch.Call{ID: 1, Service: "s", Arrived: sent, Target: sent + time.Second, LatestStart: sent + 8*time.Second}
	verdicts := e.dispatcher.Submit(c.dispatchCall, sent)
	return &stallWatch{
		call: c, callID: 1, upstream: verdicts[0].Upstream, conn: conn, abort: conn.Aborter(), silenceStart: sent, nextCheck: sent + firstStallCheck,
		ended: make(chan struct{}),
	}
}

// TestStalledAttemptIsMoved has checks come late by less and by more than a busy node's do.
func TestStalledAttemptIsMoved(t *testing.T) {
	for late, moved := range map[time.Duration]bool{
		0: true, 50 * time.Millisecond: true, maxCheckDelay: true, maxCheckDelay + 1: false,
	} {
		t.Run(late.String(), func(t *testing.T) {
			is := is.New(t)
			w := silentAttempt(t, boottime.Now())
			defer close(w.ended)
			w.check(w.nextCheck + late)
			is.Equal(w.call.movedOnStall.Load(), moved)
		})
	}
}

// TestDelayedCheckDoesNotMoveAttempt runs a check seconds late, as on a node that was
// suspended. The upstream may have sent bytes that the node has not read yet.
func TestDelayedCheckDoesNotMoveAttempt(t *testing.T) {
	is := is.New(t)
	w := silentAttempt(t, boottime.Now()-5*time.Second)
	defer close(w.ended)
	w.check(boottime.Now())
	is.True(!w.call.movedOnStall.Load())
	is.True(w.nextCheck > boottime.Now()) // another check is scheduled
}

// TestMoveSpendsBudgetOnce checks that a move is charged to the retry budget, and that
// the attempt after it is not charged again.
func TestMoveSpendsBudgetOnce(t *testing.T) {
	is := is.New(t)
	w := silentAttempt(t, boottime.Now())
	b := w.call.edge.budgetFor("s")
	spent := func() (sends int) {
		for _, n := range b.retries {
			sends += n
		}
		return sends
	}
	w.check(w.nextCheck + 50*time.Millisecond)
	is.Equal(spent(), 1)
	w.call.route = &routes.Route{Kind: routes.Repeatable, Attempts: 2}
	w.call.deadline, w.call.mayHaveRun, w.call.possibleRuns = boottime.Now()+time.Minute, true, 1
	w.call.r = httptest.NewRequest(http.MethodGet, "/", nil)
	again := make(chan bool, 1)
	go func() { again <- w.call.retryOrGiveUp(outcomeUnknown) }()
	select {
	case ok := <-again:
		is.True(ok)
	case <-time.After(5 * time.Second): // charging would block: the loop does not run here
		t.Fatal("the attempt after a move is charged again")
	}
	is.Equal(spent(), 1)
}

// TestStalledAttemptStaysWithoutBudget checks that a call is not moved once the retry
// budget is used up.
func TestStalledAttemptStaysWithoutBudget(t *testing.T) {
	is := is.New(t)
	w := silentAttempt(t, boottime.Now())
	e := w.call.edge
	for e.budgetFor("s").trySpend(&e.cfg.Retry, e.entryNodes.Load(), boottime.Now()) {
	}
	w.check(w.nextCheck + 50*time.Millisecond)
	is.True(!w.call.movedOnStall.Load())
}
