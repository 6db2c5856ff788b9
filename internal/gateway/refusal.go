package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/agateslip/agateslip/internal/engine"
)

// Ran tells whether an upstream ran a request.
type Ran string

// Values of Ran.
const (
	// NotRun means that the request was proved not to have run.
	NotRun Ran = "not-run"
	// DidRun means that an upstream ran the request.
	DidRun Ran = "ran"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
)

// Headers that tell the caller the outcome of a request.
const (
	// HeaderRan holds a Ran value.
	HeaderRan = "X-Agateslip-Ran"
	// HeaderReason holds a Reason.
	HeaderReason = "X-Agateslip-Reason"
	// HeaderRequestID holds the request ID, which also appears in the logs.
	HeaderRequestID = engine.HeaderRequest
	// headerShouldRetry tells the OpenAI client libraries whether to repeat the request by
	// themselves, which they must not do for one that may have run.
	headerShouldRetry = "X-Should-Retry"
)

// Reason tells why a request was refused or failed.
type Reason string

// Values of Reason.
const (
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonUnknownModel     Reason = "unknown-model"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownPath      Reason = "unknown-path"
	ReasonMethodNotAllowed Reason = "method-not-allowed"
	ReasonBadRequest       Reason = "bad-request"
	ReasonTooLarge         Reason = "too-large"
	ReasonContentType      Reason = "content-type"
	ReasonRateLimit        Reason = "rate-limit"
	ReasonQueueFull        Reason = "queue-full"
	ReasonInfeasible       Reason = "deadline-infeasible"
	ReasonDeadline         Reason = "deadline-exceeded"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonNotCurrent       Reason = "node-not-current"
	ReasonNoShare          Reason = "node-without-share"
	ReasonNoMemory         Reason = "node-memory"
	ReasonUpstreamFailed   Reason = "upstream-failed"
	ReasonCrashesUpstreams Reason = "crashes-upstreams"
	ReasonClaimUnavailable Reason = "claim-unavailable"
	ReasonKeyReused        Reason = "idempotency-key-reused"
	ReasonKeyMalformed     Reason = "idempotency-key-malformed"
	ReasonKeyExpired       Reason = "idempotency-key-expired"
	ReasonInProgress       Reason = "call-in-progress"
	ReasonOutcomeUnknown   Reason = "outcome-unknown"
	ReasonAnswerNotHeld    Reason = "answer-not-held"
)

// reasonStatus maps each reason to its HTTP status.
var reasonStatus = map[Reason]int{
	ReasonUnauthorized:     http.StatusUnauthorized,
	ReasonUnknownModel:     http.StatusNotFound,
	ReasonUnknownService:   http.StatusNotFound,
	ReasonUnknownPath:      http.StatusNotFound,
	ReasonMethodNotAllowed: http.StatusMethodNotAllowed,
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	ReasonContentType:      http.StatusUnsupportedMediaType,
	ReasonRateLimit:        http.StatusTooManyRequests,
	ReasonQueueFull:        http.StatusTooManyRequests,
	ReasonInfeasible:       http.StatusServiceUnavailable,
	ReasonDeadline:         http.StatusGatewayTimeout,
	ReasonNoUpstream:       http.StatusServiceUnavailable,
	ReasonNotCurrent:       http.StatusServiceUnavailable,
	ReasonNoShare:          http.StatusServiceUnavailable,
	ReasonNoMemory:         http.StatusServiceUnavailable,
	ReasonUpstreamFailed:   http.StatusBadGateway,
	ReasonCrashesUpstreams: http.StatusServiceUnavailable,
	ReasonClaimUnavailable: http.StatusServiceUnavailable,
	ReasonKeyReused:        http.StatusUnprocessableEntity,
	ReasonKeyMalformed:     http.StatusBadRequest,
	ReasonKeyExpired:       http.StatusConflict,
	ReasonInProgress:       http.StatusConflict,
	ReasonOutcomeUnknown:   http.StatusConflict,
	ReasonAnswerNotHeld:    http.StatusConflict,
}

// Refusal is the error response to a request that the node does not answer with the
// response of an upstream.
type Refusal struct {
	Reason Reason
	Ran    Ran
	// RetryAfter is how long the caller should wait before it tries again; 0 if a retry
	// is pointless.
	RetryAfter time.Duration
	Message    string
}

// Error returns the reason and the message.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

// NewRefusal returns the refusal of a request that was not run.
func NewRefusal(reason Reason, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Reason: reason, Ran: NotRun, RetryAfter: retryAfter, Message: message}
}

// refuse returns the refusal of a request that was not run, with a formatted message.
func refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: NotRun, Message: fmt.Sprintf(format, args...)}
}

// defaultRetryAfter is the RetryAfter of refusals for which no better estimate is
// known.
const defaultRetryAfter = time.Second

func (r *Refusal) withDefaultRetryAfter() *Refusal {
	r.RetryAfter = defaultRetryAfter
	return r
}

func (r *Refusal) withRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int { return reasonStatus[r.Reason] }

// errorBody is an error response in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    Reason  `json:"code"`
	Ran     Ran     `json:"ran"`
}

// errorType returns the error type that the OpenAI API uses for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// write sends the refusal to the caller.
func (r *Refusal) write(w http.ResponseWriter) {
	status := r.Status()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRan, string(r.Ran))
	h.Set(HeaderReason, string(r.Reason))
	h.Set(headerShouldRetry, strconv.FormatBool(r.Ran == NotRun && r.RetryAfter > 0))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(status)
	body := errorBody{Error: errorDetail{Message: r.Message, Type: errorType(status), Code: r.Reason, Ran: r.Ran}}
	// A write error means that the caller is gone, so there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(body)
}
