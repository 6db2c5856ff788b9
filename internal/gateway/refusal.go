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

// Ran says whether a request was run by an upstream.
type Ran string

// Answers to whether a request was run.
const (
	// NotRun is said only when it is proved.
	NotRun Ran = "not-run"
	// DidRun means that the upstream ran the request.
	DidRun Ran = "ran"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
)

// Headers that carry an outcome to the caller.
const (
	// HeaderRan carries a Ran value.
	HeaderRan = "X-Agateslip-Ran"
	// HeaderReason carries a Reason.
	HeaderReason = "X-Agateslip-Reason"
	// HeaderRequestID identifies the request in logs.
	HeaderRequestID = engine.HeaderRequest
)

// Reason is why a request was refused or failed.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonUnauthorized   Reason = "unauthorized"
	ReasonUnknownModel   Reason = "unknown-model"
	ReasonUnknownService Reason = "unknown-service"
	ReasonUnknownPath    Reason = "unknown-path"
	ReasonMethod         Reason = "method-not-allowed"
	ReasonBadRequest     Reason = "bad-request"
	ReasonTooLarge       Reason = "too-large"
	ReasonContentType    Reason = "content-type"
	ReasonRate           Reason = "rate-limit"
	ReasonQueueFull      Reason = "queue-full"
	ReasonInfeasible     Reason = "deadline-infeasible"
	ReasonDeadline       Reason = "deadline-exceeded"
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonNotCurrent     Reason = "node-not-current"
	ReasonNoShare        Reason = "node-without-share"
	ReasonNoMemory       Reason = "node-memory"
	ReasonUpstreamFailed Reason = "upstream-failed"
	ReasonClaim          Reason = "claim-unavailable"
	ReasonKeyReused      Reason = "idempotency-key-reused"
	ReasonKeyMalformed   Reason = "idempotency-key-malformed"
	ReasonKeyForgotten   Reason = "idempotency-key-expired"
	ReasonInProgress     Reason = "call-in-progress"
	ReasonOutcomeUnknown Reason = "outcome-unknown"
	ReasonAnswerDropped  Reason = "answer-not-held"
)

// reasonStatus maps each reason to its HTTP status.
var reasonStatus = map[Reason]int{
	ReasonUnauthorized:   http.StatusUnauthorized,
	ReasonUnknownModel:   http.StatusNotFound,
	ReasonUnknownService: http.StatusNotFound,
	ReasonUnknownPath:    http.StatusNotFound,
	ReasonMethod:         http.StatusMethodNotAllowed,
	ReasonBadRequest:     http.StatusBadRequest,
	ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	ReasonContentType:    http.StatusUnsupportedMediaType,
	ReasonRate:           http.StatusTooManyRequests,
	ReasonQueueFull:      http.StatusTooManyRequests,
	ReasonInfeasible:     http.StatusServiceUnavailable,
	ReasonDeadline:       http.StatusGatewayTimeout,
	ReasonNoUpstream:     http.StatusServiceUnavailable,
	ReasonNotCurrent:     http.StatusServiceUnavailable,
	ReasonNoShare:        http.StatusServiceUnavailable,
	ReasonNoMemory:       http.StatusServiceUnavailable,
	ReasonUpstreamFailed: http.StatusBadGateway,
	ReasonClaim:          http.StatusServiceUnavailable,
	ReasonKeyReused:      http.StatusUnprocessableEntity,
	ReasonKeyMalformed:   http.StatusBadRequest,
	ReasonKeyForgotten:   http.StatusConflict,
	ReasonInProgress:     http.StatusConflict,
	ReasonOutcomeUnknown: http.StatusConflict,
	ReasonAnswerDropped:  http.StatusConflict,
}

// Refusal is the final answer to a request that got no answer of an upstream.
type Refusal struct {
	Reason Reason
	Ran    Ran
	// RetryAfter tells the caller when to come back; 0 if that makes no sense.
	RetryAfter time.Duration
	Message    string
}

// Error returns reason and message.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

// NewRefusal returns the refusal of a call that was not run.
func NewRefusal(reason Reason, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Reason: reason, Ran: NotRun, RetryAfter: retryAfter, Message: message}
}

func refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: NotRun, Message: fmt.Sprintf(format, args...)}
}

// comeBack is when a caller may try again where nothing better is known.
const comeBack = time.Second

func (r *Refusal) afterMoment() *Refusal {
	r.RetryAfter = comeBack
	return r
}

func (r *Refusal) withRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// Status is the HTTP status of the refusal.
func (r *Refusal) Status() int { return reasonStatus[r.Reason] }

// errorBody is the error shape of OpenAI's API.
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

// write sends the refusal. The caller's client must not retry by itself what
// may have run, which x-should-retry tells OpenAI's clients.
func (r *Refusal) write(w http.ResponseWriter) {
	status := r.Status()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRan, string(r.Ran))
	h.Set(HeaderReason, string(r.Reason))
	h.Set("X-Should-Retry", strconv.FormatBool(r.Ran == NotRun && r.RetryAfter > 0))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(status)
	body := errorBody{Error: errorDetail{Message: r.Message, Type: errorType(status), Code: r.Reason, Ran: r.Ran}}
	// The caller may be gone; nothing else can be told to it.
	_ = json.NewEncoder(w).Encode(body)
}
