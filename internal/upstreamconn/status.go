package upstreamconn

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// errNoAnswer means that what an upstream sent in place of an answer is none.
var errNoAnswer = errors.New("status line is not that of an HTTP/1 answer")

// lastStatus is the highest status code of HTTP (RFC 9110, section 15).
const lastStatus = 599

// CheckAnswer returns an error if a response that net/http has read is no answer to a call: net/http takes any three
// characters that it can convert to a number for a status. The upstream may have run the call. Switching protocols
// answers no call, since none asks for it.
func CheckAnswer(resp *http.Response) error {
	code := resp.StatusCode
	if resp.ProtoMajor != 1 || code < http.StatusContinue || code == http.StatusSwitchingProtocols || code > lastStatus {
		return errors.Wrapf(errNoAnswer, "%.20q %.20q", resp.Proto, resp.Status)
	}
	return nil
}
