package edge

import (
	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// endForeign ends an attempt whose answer contains what does not belong to its stream.
func (c *call) endForeign(u *fleet.Upstream, conn *upstreamconn.Conn, err error) (dispatch.Result, attemptOutcome) {
	const kind = "line"
	conn.Close()
	from := conn.Provenance()
	c.edge.metrics.Count("foreign in stream: " + kind)
	c.log("foreign bytes in stream", eventlog.Fields{
		"upstream": u.ID, "kind": kind, "error": err.Error(), "lastEvent": c.lastEventID, "events": c.events,
		"conn": from.Conn, "connCalls": from.Calls, "detour": from.Relayed,
	})
	return dispatch.Doubtful, outcomeUnknown
}
