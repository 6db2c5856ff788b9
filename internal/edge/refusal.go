package edge

import (
	"net/http"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// refusalProof tells what an answer proves about a call that it says, or promises by its status, not to have run.
type refusalProof string

const (
	// refusalProved means that the upstream states in an answer to this attempt that the call did not run.
	refusalProved refusalProof = "stated"
	// refusalUnnamed means that the answer names no call: it may not be the upstream's.
	refusalUnnamed refusalProof = "unnamed"
	// refusalUnstated means that only the status says so, which an upstream may also send for a call that it ran.
	refusalUnstated refusalProof = "not stated"
	// refusalRepeated means that the upstream states so, and stated the same of an earlier attempt: all attempts have the
	// call's ID, so that the answer may be a copy of that to the earlier one.
	refusalRepeated refusalProof = "repeated"
)

// proofOfRefusal returns what a refusal with the given provenance proves.
func proofOfRefusal(from upstreamconn.Provenance, answer Answer) refusalProof {
	switch {
	case !from.Named:
		return refusalUnnamed
	case !answer.StatesNotRun:
		return refusalUnstated
	}
	return refusalProved
}

// promisesNotRun reports whether callers take an answer with the given status for a promise that their call has not
// run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// endRefused ends an attempt whose answer says, or promises by its status, that the call did not run. Only a proved
// refusal is taken for one; after any other the call may have run, and the caller does not get that status.
func (c *call) endRefused(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response, answer Answer) (dispatch.Result, attemptOutcome) {
	from := conn.Provenance()
	proof := proofOfRefusal(from, answer)
	if proof == refusalProved && c.wasRefusedBy(u) && c.needsProof() {
		proof = refusalRepeated
	}
	c.edge.metrics.Count("upstream refusal: " + string(proof))
	c.log("upstream refuses", eventlog.Fields{
		"upstream": u.ID, "status": resp.StatusCode, "proof": proof, "conn": from.Conn, "connCalls": from.Calls,
		"detour": from.Relayed, "named": from.Named, "disturbed": from.Disturbed, "stated": answer.StatesNotRun, "signed": answer.Genuine,
	})
	switch {
	case proof == refusalProved:
	case proof == refusalRepeated:
		return c.confirmRefusal(u, conn, resp)
	case c.caller.ID == "":
		// No answer can name the call, so that this one shows nothing of the upstream.
		conn.Close()
		return dispatch.Abandoned, outcomeUnknown
	case proof == refusalUnstated && resp.StatusCode < http.StatusInternalServerError:
		conn.Close()
		return dispatch.Served, outcomeUnknown
	case proof == refusalUnstated:
		conn.Close()
		return dispatch.Failed, outcomeUnknown
	default:
		conn.Close()
		return dispatch.Doubtful, outcomeUnknown
	}
	mayAsk := c.mayAsk(conn)
	if read := c.discardRejection(conn, resp); c.needsProof() && (!read || !mayAsk) {
		return resultOfRefusal(resp.StatusCode), outcomeNotRunLast
	}
	return resultOfRefusal(resp.StatusCode), outcomeNotRun
}

// resultOfRefusal returns what a refusal with the given status tells the dispatcher.
func resultOfRefusal(status int) dispatch.Result {
	if status == http.StatusMisdirectedRequest {
		return dispatch.NotServed
	}
	return dispatch.Rejected
}
