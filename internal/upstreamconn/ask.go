package upstreamconn

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// MayAsk reports whether a question can follow the call on the connection, once the body of its answer was read. Behind a
// HEAD request, a further answer to it could not be told from its body.
func (c *Conn) MayAsk() bool {
	return c.method != http.MethodHead && !c.response.Close && !c.retiring() && c.bodySent()
}

// errMayNotAsk means that a connection takes no question.
var errMayNotAsk = errors.New("connection takes no further request")

// Ask sends a question with an ID of its own behind the call. An upstream answers the requests of a connection in order, so
// that once Receive returns the answer to the question, all answers to the call have come before.
func (c *Conn) Ask(r *Request, id string) error {
	if !c.MayAsk() {
		return errors.Wrap(errMayNotAsk, c.addr)
	}
	c.carried = append(c.carried, xxhash.Sum64String(id))
	return c.Send(r)
}

// Disturb records that answers to other requests may still come on the connection, which carries no further call then.
func (c *Conn) Disturb() { c.disturbed = true }
