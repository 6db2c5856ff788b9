package admission

import "time"

// MinRetryAfter and MaxRetryAfter bound the time after which a refused caller is asked
// to retry.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = time.Hour
)

// Request is a request for which admission is decided.
type Request struct {
	// ID is unique among the requests that wait or run on the node.
	ID uint64
	// Customer is the customer whose contract covers the request.
	Customer string
	// Target is the model or service that the request needs.
	Target string
	// Deadline is the latest time at which the request may start.
	Deadline time.Duration
}

// Verdict is the result of deciding on a request.
type Verdict int

// Verdicts on a request.
const (
	// Run means that the request starts now. It counts as running until Release or
	// Cancel ends it.
	Run Verdict = iota
	// Queued means that the request waits; a later Poll returns its final verdict.
	Queued
	// Refused means that the request has not run and will not.
	Refused
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Queued:
		return "queued"
	default:
		return "refused"
	}
}

// Reason tells why a request was refused.
type Reason int

// Reasons for a refusal.
const (
	// None is the reason of a request that was not refused.
	None Reason = iota
	// NoContract means that the customer has no contract or that it has ended.
	NoContract
	// DuplicateID means that a request with this ID waits or runs already.
	DuplicateID
	// QueueFull means that the contract's queue on this node is full.
	QueueFull
	// Late means that the request cannot start by its deadline.
	Late
	// NoShare means that this node has waited too long for a share of the contract, for
	// example because it is disconnected from the leader. Another node may serve the
	// request.
	NoShare
	// NoEstimate means that no estimate of when the target is ready arrived in time.
	NoEstimate
	// Unavailable means that the target will not become ready.
	Unavailable
)

// String returns the reason's name.
func (r Reason) String() string {
	names := [...]string{
		"none", "no contract", "duplicate id", "queue full", "late",
		"no share", "no estimate", "unavailable",
	}
	return names[r]
}

// Decision is the verdict on one request.
type Decision struct {
	// ID identifies the request.
	ID uint64
	// Verdict is the result for the request.
	Verdict Verdict
	// Reason tells why the request was refused, and is None if it was not.
	Reason Reason
	// RetryAfter is how long a refused caller should wait before a retry.
	RetryAfter time.Duration
}

// refuse returns a refusal. It limits the retry time to the range from MinRetryAfter to
// MaxRetryAfter.
func refuse(id uint64, reason Reason, after time.Duration) Decision {
	return Decision{
		ID:         id,
		Verdict:    Refused,
		Reason:     reason,
		RetryAfter: min(max(after, MinRetryAfter), MaxRetryAfter),
	}
}
