package admission

import "time"

// A refused caller is asked to come back after a time within these bounds.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = time.Hour
)

// Request is one request that asks for admission.
type Request struct {
	// ID is unique among the requests of the node.
	ID uint64
	// Customer is the customer whose contract covers the request.
	Customer string
	// Target is the model or service that the request needs.
	Target string
	// Deadline is the last instant at which the request may start.
	Deadline time.Duration
}

// Verdict is what becomes of a request.
type Verdict int

// Verdicts.
const (
	// Run means that the request starts now and holds its place until Release
	// or Cancel.
	Run Verdict = iota
	// Queued means that the request waits; Poll returns its final verdict.
	Queued
	// Refused means that the request was not run and will not be.
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

// Reason says why a request was refused.
type Reason int

// Reasons of refusal.
const (
	// None is the reason of requests that were not refused.
	None Reason = iota
	// NoContract means that no contract covers the customer.
	NoContract
	// DuplicateID means that a request with this ID is present.
	DuplicateID
	// QueueFull means that no waiting place is left in the contract.
	QueueFull
	// Late means that the request could not start before its deadline.
	Late
	// NoShare means that this node gets no share of the contract, as when it
	// is cut off from the leader. Another node may serve the request.
	NoShare
	// NoEstimate means that nobody said in time when the target is ready.
	NoEstimate
	// Unavailable means that the target will not be ready.
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
	// ID is the request.
	ID uint64
	// Verdict is what becomes of it.
	Verdict Verdict
	// Reason says why it was refused.
	Reason Reason
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// refuse returns a refusal.
func refuse(id uint64, reason Reason, after time.Duration) Decision {
	return Decision{
		ID:         id,
		Verdict:    Refused,
		Reason:     reason,
		RetryAfter: min(max(after, MinRetryAfter), MaxRetryAfter),
	}
}
