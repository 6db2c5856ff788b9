package edge

import (
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// watchForStall ends the current attempt if its upstream falls silent and another
// upstream can take the call. It does nothing for calls that may not run again. The
// caller calls stop when the attempt ends.
func (c *call) watchForStall(u *fleet.Upstream, conn *upstreamconn.Conn) (stop func()) {
	if !c.route.MayRepeat() || c.possibleRuns+1 >= c.route.Attempts {
		return func() {}
	}
	w := &stallWatch{call: c, callID: c.attemptID, upstream: u, conn: conn, abort: conn.Aborter(), silenceStart: boottime.Now(), ended: make(chan struct{})}
	w.nextCheck = w.silenceStart + firstStallCheck
	firstTimer := time.AfterFunc(firstStallCheck, w.postCheck)
	return func() {
		firstTimer.Stop()
		close(w.ended)
	}
}

const (
	// firstStallCheck is the time from sending a call to its first check. By then most
	// answers have begun or ended.
	firstStallCheck = 500 * time.Millisecond
	// maxCheckDelay is the delay of a check beyond which the node itself is assumed to
	// have been suspended. On a busy node, checks are late by some tens of
	// milliseconds.
	maxCheckDelay = 250 * time.Millisecond
)

// stallWatch checks one attempt for a silent upstream.
type stallWatch struct {
	call *call
	// callID identifies the watched attempt, also after the call has begun another one.
	callID   dispatch.CallID
	upstream *fleet.Upstream
	conn     *upstreamconn.Conn
	// abort closes the connection while it carries the attempt.
	abort func()
	// silenceStart is the earliest time from which silence counts; nextCheck is when
	// the next check is due.
	silenceStart, nextCheck time.Duration
	// ended is closed when the attempt has ended.
	ended chan struct{}
}

// postCheck runs a check on the loop.
func (w *stallWatch) postCheck() {
	w.call.edge.loop.Post(func() { w.check(boottime.Now()) })
}

// check closes the connection of an attempt that must move to another upstream, or else
// schedules the next check. It runs on the loop, at now.
func (w *stallWatch) check(now time.Duration) {
	select {
	case <-w.ended:
		return
	default:
	}
	e := w.call.edge
	if now-w.nextCheck > maxCheckDelay || w.call.awaitsRecord.Load() || w.call.unresumable.Load() {
		// Bytes that arrived while the node was suspended have not been read yet. A stream that cannot be resumed stays.
		w.silenceStart = now
	}
	lastRead := w.conn.LastRead()
	s := e.dispatcher.Stalled(w.callID, w.silenceStart, lastRead, w.call.answerStarted.Load(), w.call.pinned.Load(), now)
	switch {
	case s.Move && e.budgetFor(w.call.dispatchCall.Service).trySpend(&e.cfg.Retry, e.entryNodes.Load(), now):
		e.metrics.Count("moved from a silent upstream")
		w.call.log("upstream silent", eventlog.Fields{
			"upstream": w.upstream.ID, "silentMillis": (now - max(lastRead, w.silenceStart)).Milliseconds(),
		})
		w.call.movedOnStall.Store(true)
		w.abort()
	case s.Check > 0:
		w.nextCheck = s.Check
		time.AfterFunc(s.Check-now, w.postCheck)
	}
}
