package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/ledger"
)

// Call is one caller's request, from its arrival at this node to its answer.
type Call struct {
	// ID is the request ID. All attempts of the call carry it.
	ID string
	// Contract is the customer's contract as it was when the request arrived.
	Contract *contract.Contract
	// Model and Adapter are set for a call to a model engine. Adapter is empty if the
	// call uses none.
	Model   contract.Model
	Adapter string
	// Service is the name of the called service; empty for a call to a model engine.
	Service string
	// Stream reports whether the caller asked for a stream of server-sent events.
	Stream bool
	// RunsOnce reports whether the call may run at most once.
	RunsOnce bool
	// IdempotencyKey is the caller's idempotency key; empty if the caller sent none.
	IdempotencyKey string
	// Method, Path, Query, Header and Body make up the request to the upstream.
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// PrefixHashes holds the hashes of the prompt's whole-block prefixes, shortest first.
	// The router uses them for cache affinity.
	PrefixHashes []uint64
	// Deadline is when the answer must have started. A call without an answer by then
	// is refused.
	Deadline time.Time
	// fingerprint is the result of Fingerprint; empty before its first call.
	fingerprint string
}

// Fingerprint returns a digest that all repeats of the call share. It is not safe for concurrent
// use before its first return.
func (c *Call) Fingerprint() string {
	if c.fingerprint == "" {
		c.fingerprint = fingerprint(c)
	}
	return c.fingerprint
}

// Customer returns the name of the customer whose contract covers the call.
func (c *Call) Customer() string { return c.Contract.Customer }

// Target returns the name of the admission queue that the call belongs to: a model name
// or, for a plain service, the result of ServiceTarget.
func (c *Call) Target() string {
	if c.Service != "" {
		return ServiceTarget(c.Service)
	}
	return c.Model.Name
}

// ServiceTarget returns the name of the admission queue of a plain service.
func ServiceTarget(service string) string { return "service/" + service }

// Ticket is the permission to run one admitted call.
type Ticket interface {
	// Release ends the call and frees its place for another.
	Release()
}

// Admitter decides when a call may run.
type Admitter interface {
	// Admit waits for the call's turn and returns its ticket. The error of a call that
	// is not admitted is a *Refusal.
	Admit(ctx context.Context, c *Call) (Ticket, error)
}

// Route is the upstream that one attempt is sent to.
type Route struct {
	Upstream string
	// Addr is the upstream's IP address and port.
	Addr string
	// Software is the version of the upstream's software.
	Software string
	// Resumes reports whether the upstream can resume a stream at a given token.
	Resumes bool
	// Lost reports that the connection ended after the call was sent and before its answer was
	// complete: the call may have crashed the upstream. It is called before Done; nil if
	// nobody wants to know.
	Lost func()
	// Done reports how the attempt ended. It must be called exactly once.
	Done func(AttemptResult)
}

// reportLoss calls Lost if err, with which an attempt ended, is the end of its connection.
func (r *Route) reportLoss(err error) {
	if r.Lost == nil || err == nil || ranFromError(err) == NotRun {
		return
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			r.Lost()
			return
		}
	}
}

// AttemptResult tells the router how an attempt ended.
type AttemptResult uint8

// Results of an attempt.
const (
	// AttemptOK means that the upstream answered.
	AttemptOK AttemptResult = iota
	// AttemptFailed means that the upstream did not answer, or that its answer ended
	// early before any token of it reached the caller.
	AttemptFailed
	// AttemptRefused means that the upstream refused the call for lack of capacity.
	AttemptRefused
	// AttemptDoubtful means that the answer says that the call was not run, and may not be the upstream's.
	AttemptDoubtful
	// AttemptCanceled means that the caller went away, which says nothing about the
	// upstream.
	AttemptCanceled
	// AttemptInterrupted means that the answer ended early after a part of it had
	// arrived. The fault then lies with the connection: the upstream has shown that it
	// serves.
	AttemptInterrupted
)

// Router chooses the upstream for each attempt of a call.
type Router interface {
	// Pick chooses an upstream that is not in tried and, unless software is nil, runs that
	// version of its software: the one that began the call's stream. Its error wraps a *Refusal, and is
	// marked with ErrBusy if a later Pick may succeed.
	Pick(c *Call, tried []string, software *string) (Route, error)
	// MayRetry reports whether another attempt may follow the failed attempt f, and
	// returns the backoff before it.
	MayRetry(c *Call, f FailedAttempt) (time.Duration, bool)
}

// FailedAttempt describes a failed attempt to MayRetry.
type FailedAttempt struct {
	Upstream string
	Ran      Ran
	// Resumable reports whether the caller has a part of the answer and the rest of it
	// can be requested.
	Resumable bool
	// Progressed reports whether this attempt delivered a part of the answer.
	Progressed bool
	// Number counts the call's attempts since the last one that progressed, starting at
	// 1.
	Number int
}

// Claims records in the ledger which calls that may run at most once were claimed, and
// how they ended.
type Claims interface {
	// Claim asks for the right to send a call. An error means that it is unknown
	// whether the claim was recorded.
	Claim(ctx context.Context, c ledger.Claim) (ledger.ClaimResult, error)
	// Finish records the outcome of a claimed call.
	Finish(ctx context.Context, f ledger.Finish) error
	// Owner identifies this process as the holder of its claims.
	Owner() ledger.Owner
}

// Contracts looks up the contracts in force.
type Contracts interface {
	// ByKey returns the contract that the bearer token with the given SHA-256 sum, in
	// hexadecimal, belongs to.
	ByKey(sha256 string) (*contract.Contract, bool)
	// CheckCurrent returns nil while this node has proof that its contracts are in force,
	// and a *Refusal otherwise.
	CheckCurrent() error
}
