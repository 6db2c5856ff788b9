package edge

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/eventstream"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/routes"
)

// errForeignEvent means that an event does not follow those that the caller has, so that it belongs to another stream.
var errForeignEvent = errors.New("event does not follow the last one")

// checkEventID returns an error if the id of an event of a stream is not greater than that of the last one which the caller
// has. placed is set once an event of the attempt had an id; before that, an event without one cannot be told from one that
// the caller has.
func (c *call) checkEventID(event eventstream.Event, placed bool) error {
	if c.route.Kind != routes.Stream {
		return nil
	}
	last := c.lastEventID
	if last == "" && c.takesUpStream() {
		last = c.caller.ResumeAfter
	}
	if event.ID == nil {
		if event.Data != nil && !placed && last != "" {
			return errors.Mark(errors.Newf("event without id follows event %.40q", last), errForeignEvent)
		}
		return nil
	}
	before, ok := eventNumber(last)
	if !ok {
		return nil // ids without an order
	}
	if id, ok := eventNumber(string(event.ID)); !ok || id <= before {
		return errors.Mark(errors.Newf("event %.40q follows event %d", event.ID, before), errForeignEvent)
	}
	return nil
}

// eventNumber returns the number that an id states.
func eventNumber(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// endForeign ends an attempt whose answer contains what does not belong to its stream.
func (c *call) endForeign(u *fleet.Upstream, conn *upstreamconn.Conn, err error) (dispatch.Result, attemptOutcome) {
	kind := "line"
	if errors.Is(err, errForeignEvent) {
		kind = "event"
	}
	conn.Close()
	from := conn.Provenance()
	c.edge.metrics.Count("foreign in stream: " + kind)
	c.log("foreign bytes in stream", eventlog.Fields{
		"upstream": u.ID, "kind": kind, "error": err.Error(), "lastEvent": c.lastEventID, "events": c.events,
		"conn": from.Conn, "connCalls": from.Calls, "detour": from.Relayed,
	})
	return dispatch.Doubtful, outcomeUnknown
}
