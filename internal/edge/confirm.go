package edge

import (
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/routes"
)

// questionPatience is how long an upstream may let a question wait for a slot. A full one answers at once.
const questionPatience = 200 * time.Millisecond

// needsProof reports whether harm is done if a refusal of the call is believed although it ran.
func (c *call) needsProof() bool { return c.route.Kind != routes.Repeatable }

// wasRefusedBy reports whether an upstream refused an earlier attempt of the call.
func (c *call) wasRefusedBy(u *fleet.Upstream) bool {
	return slices.Contains(c.dispatchCall.RefusedBy, u.ID)
}

// mayAsk reports whether the upstream can be asked on a connection whether it has answered the call.
func (c *call) mayAsk(conn *upstreamconn.Conn) bool { return c.healthPath() != "" && conn.MayAsk() }

// healthPath returns the path of the health check of the call's service; empty if there is none.
func (c *call) healthPath() string {
	s := c.routing.table.Service(c.dispatchCall.Service)
	if s == nil {
		return ""
	}
	return s.HealthPath
}

// confirmRefusal finds out whether a refusal is the answer to the current attempt, or a copy of the upstream's refusal of
// an earlier one. It sends a health check behind the call on the same connection: if the answer to that comes next, the
// refusal was the only answer to the call; if the call's own answer does, that one counts. If neither comes, the call may
// have run.
func (c *call) confirmRefusal(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response) (dispatch.Result, attemptOutcome) {
	if !c.mayAsk(conn) {
		conn.Close()
		c.logConfirmation(u, "cannot be asked")
		return resultOfRefusal(resp.StatusCode), outcomeUnknown
	}
	next, err := c.ask(u, conn, resp)
	if err != nil {
		conn.Close()
		c.logConfirmation(u, "no answer")
		return c.endLost(u, errors.Wrap(err, "confirm refusal"))
	}
	switch {
	case c.edge.dialect.Owner(next.Header, c.caller) == upstreamconn.ThisCall:
		c.logConfirmation(u, "copy")
		conn.Disturb()
		return c.relay(u, conn, next)
	case c.edge.dialect.Answer(next.StatusCode, next.Header).Genuine:
		// Only answers of calls that ran are signed.
		conn.Close()
		c.logConfirmation(u, "unnamed answer of a call")
		return dispatch.Doubtful, outcomeUnknown
	}
	c.logConfirmation(u, "confirmed")
	c.discardRejection(conn, next)
	return resultOfRefusal(resp.StatusCode), outcomeNotRun
}

// ask reads the rest of a refusal, sends a health check behind it and returns the next answer, which belongs to the call or
// to the health check. One that names neither belongs to the health check: the upstream names its answers to calls.
func (c *call) ask(u *fleet.Upstream, conn *upstreamconn.Conn, refusal *http.Response) (*http.Response, error) {
	if !readRejection(conn, refusal) {
		return nil, errors.New("refusal was not read to its end")
	}
	id := uuid.NewString()
	header, question := c.edge.dialect.Question(id, Attempt{
		Upstream: u.ID, Remaining: min(questionPatience, c.deadline-boottime.Now()),
	})
	if err := conn.Ask(&upstreamconn.Request{Method: http.MethodGet, URI: c.healthPath(), Host: u.Addr, Header: header}, id); err != nil {
		return nil, err
	}
	return conn.Receive(func(h http.Header) upstreamconn.Owner {
		if c.edge.dialect.Owner(h, question) == upstreamconn.AnotherCall {
			return c.edge.dialect.Owner(h, c.caller)
		}
		return upstreamconn.ThisCall
	})
}

// logConfirmation records what became of a refusal that may have been a copy.
func (c *call) logConfirmation(u *fleet.Upstream, finding string) {
	c.edge.metrics.Count("repeated refusal: " + finding)
	c.log("repeated refusal", eventlog.Fields{"upstream": u.ID, "finding": finding})
}
