package edge

import (
	"net/http"
	"time"

	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/eventlog"
)

// WithGuard limits the connections with a guard that the process's other listeners share.
func WithGuard(guard *connlimit.Guard) Option { return func(e *Edge) { e.guard = guard } }

// callerListener describes the listener of callers. Its limits are those of the configuration in force.
func (e *Edge) callerListener() connlimit.ListenerOptions {
	return connlimit.ListenerOptions{
		Name: "callers", MaxOpen: e.shares.Callers, MaxPerAddress: e.cfg.Connections.PerAddress, Limits: e.callerLimits,
		ReadBuffer: e.shares.ReadBuffer(e.shares.Callers),
	}
}

func (e *Edge) callerLimits() connlimit.Limits {
	routing := e.routing.Load()
	if routing == nil {
		return connlimit.Limits{}
	}
	l := &routing.table.Configuration().Limits
	return connlimit.Limits{HeadBytes: l.HeaderBytes, HeadTime: l.HeaderTime, IdleTime: l.IdleTime}
}

// boundBody makes reading the body fail once an answer would come too late for its caller.
func (c *call) boundBody() {
	if c.r.ContentLength == 0 {
		return
	}
	patience := c.caller.MaxWait
	if patience <= 0 {
		patience = defaultPatience
	}
	// This fails only if the connection is closed, and then so does reading.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(min(patience, c.route.Timeout)))
}

// detourCut records a connection of another node, or of someone else, that was closed before it said where to.
func (e *Edge) detourCut(cut connlimit.Cut) {
	e.metrics.Count("connection cut: " + string(cut.Cause))
	e.log.Event("connection cut", CutFields(cut))
}

// CutFields describes a connection that was cut in a log line.
func CutFields(cut connlimit.Cut) eventlog.Fields {
	return eventlog.Fields{
		"cause": string(cut.Cause), "listener": cut.Listener, "remote": cut.Remote,
		"millis": cut.Age.Milliseconds(), "held": cut.Held,
	}
}
