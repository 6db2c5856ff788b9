package edge

import (
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// watch ends an attempt whose upstream has gone silent, if the call may run again
// and can go on elsewhere. It returns what ends the watch.
func (c *call) watch(u *fleet.Upstream, conn *upstreamconn.Conn) (stop func()) {
	if !c.route.MayRepeat() || c.ran+1 >= c.route.Attempts {
		return func() {}
	}
	w := &stallWatch{call: c, callID: c.id, upstream: u, conn: conn, sent: boottime.Now(), ended: make(chan struct{})}
	w.due = w.sent + firstStallCheck
	first := time.AfterFunc(firstStallCheck, w.look)
	return func() {
		first.Stop()
		close(w.ended)
	}
}

const (
	// firstStallCheck is when an attempt is first looked at; most have ended or begun
	// by then.
	firstStallCheck = 500 * time.Millisecond
	// stoodStill is by how much a look may be late before the node is taken to have
	// stood still; a busy one is late by some tens of milliseconds.
	stoodStill = 250 * time.Millisecond
)

// stallWatch looks after one attempt.
type stallWatch struct {
	call     *call
	callID   dispatch.CallID
	upstream *fleet.Upstream
	conn     *upstreamconn.Conn
	// sent is since when silence counts, due when the attempt is looked at next.
	sent, due time.Duration
	ended     chan struct{}
}

// look asks the dispatcher about the attempt.
func (w *stallWatch) look() { w.call.edge.loop.Post(w.decide) }

// decide runs on the loop.
func (w *stallWatch) decide() {
	select {
	case <-w.ended:
		return
	default:
	}
	e, now := w.call.edge, boottime.Now()
	if now-w.due > stoodStill {
		// What the upstream said meanwhile has not been read yet.
		w.sent = now
	}
	heard := w.conn.Heard()
	s := e.dispatcher.Stalled(w.callID, w.sent, heard, w.call.heardFrom.Load(), now)
	switch {
	case s.Move && e.budget(w.call.wants.Service).spend(&e.cfg.Retry, e.entries.Load(), now):
		e.metrics.Count("moved from a silent upstream")
		w.call.log("upstream silent", eventlog.Fields{
			"upstream": w.upstream.ID, "silentMillis": (now - max(heard, w.sent)).Milliseconds(),
		})
		w.call.moved.Store(true)
		w.conn.Close()
	case s.Check > 0:
		w.due = s.Check
		time.AfterFunc(s.Check-now, w.look)
	}
}
