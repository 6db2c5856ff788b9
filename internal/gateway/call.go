package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/ledger"
)

// Call is one caller's request on its way through the node.
type Call struct {
	// ID identifies the request.
	ID string
	// Contract is the customer's contract at the time of arrival.
	Contract *contract.Contract
	// Model and Adapter are set for calls of a model engine.
	Model   contract.Model
	Adapter string
	// Service is set for calls of a plain service.
	Service string
	// Stream says that the caller asked for a stream of events.
	Stream bool
	// RunsOnce says that the call may run at most once.
	RunsOnce bool
	// Key is the caller's idempotency key; empty if it sent none.
	Key string
	// Method, Path, Query, Header and Body are what is sent to the upstream.
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Prefix are the hashes of the prompt's blocks, for cache affinity.
	Prefix []uint64
	// Deadline is when the answer must have started or the refusal been sent.
	Deadline time.Time
}

// Customer is the caller's customer.
func (c *Call) Customer() string { return c.Contract.Customer }

// Target is what admission queues by: a model or a service.
func (c *Call) Target() string {
	if c.Service != "" {
		return ServiceTarget(c.Service)
	}
	return c.Model.Name
}

// ServiceTarget is the admission target of a plain service.
func ServiceTarget(service string) string { return "service/" + service }

// Ticket is the right to run one call.
type Ticket interface {
	// Release frees the call's place.
	Release()
}

// Admitter decides when a call may run.
type Admitter interface {
	// Admit waits for the call's turn. A refusal is a *Refusal.
	Admit(ctx context.Context, c *Call) (Ticket, error)
}

// Route is one attempt's way to an upstream.
type Route struct {
	Upstream string
	// Addr is the upstream's IP address and port.
	Addr string
	// Resumes says that the upstream resumes a stream at a token.
	Resumes bool
	// Done must be called once with how the attempt ended.
	Done func(AttemptResult)
}

// AttemptResult is how an attempt ended, for the router.
type AttemptResult uint8

// Results of an attempt.
const (
	// AttemptOK means that the upstream answered.
	AttemptOK AttemptResult = iota
	// AttemptFailed means that the upstream did not answer or broke off.
	AttemptFailed
	// AttemptRefused means that the upstream had no room.
	AttemptRefused
	// AttemptCancelled means that the caller went away.
	AttemptCancelled
	// AttemptInterrupted means that the answer broke off after a part of it. That
	// tells of a connection, not of the upstream, which proved that it serves.
	AttemptInterrupted
)

// Router chooses upstreams.
type Router interface {
	// Pick chooses an upstream other than those tried. A refusal is a *Refusal.
	Pick(c *Call, tried []string) (Route, error)
	// MayRetry says whether a failed attempt may be followed by another, and
	// after what wait.
	MayRetry(c *Call, f FailedAttempt) (time.Duration, bool)
}

// FailedAttempt is an attempt that a further one may follow.
type FailedAttempt struct {
	Upstream string
	Ran      Ran
	// Resumable says that a part of the answer is with the caller and that the
	// rest can be asked for.
	Resumable bool
	// Progressed says that the attempt itself brought a part of the answer.
	Progressed bool
	// Number counts the call's attempts since the last one that progressed, from
	// 1.
	Number int
}

// Claims records calls that may run at most once.
type Claims interface {
	// Claim asks for the right to send a call. An error means that it is not
	// known whether the claim was made.
	Claim(ctx context.Context, c ledger.Claim) (ledger.ClaimResult, error)
	// Finish settles a claim.
	Finish(ctx context.Context, f ledger.Finish) error
	// Owner is this process.
	Owner() ledger.Owner
}

// Contracts answers for the contracts in force.
type Contracts interface {
	// ByKey finds the contract of a bearer token's SHA-256, in hexadecimal.
	ByKey(sha256 string) (*contract.Contract, bool)
	// Current is nil while this node holds proof that its contracts are in
	// force. A refusal is a *Refusal.
	Current() error
}
