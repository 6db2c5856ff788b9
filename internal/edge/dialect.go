package edge

import (
	"net/http"
	"time"

	"github.com/agateslip/agateslip/dispatch"
)

// Caller is what a caller's header says.
type Caller struct {
	// ID is the caller's name for this attempt.
	ID string
	// Patience is how long the caller waits; zero where it does not say.
	Patience time.Duration
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// InputTokens and OutputTokens are the length of the prompt and the most that
	// may be generated; zero where it does not say.
	InputTokens, OutputTokens int
	// Affinity is the hash of what begins the prompt and is shared with other
	// calls; zero if nothing is.
	Affinity uint64
}

// Attempt is what an upstream is told beside the caller's own header.
type Attempt struct {
	// Upstream is the incarnation that is meant.
	Upstream string
	// Remaining is how long the answer is waited for.
	Remaining time.Duration
	// Priority is the rank of the call's route; zero is the most urgent.
	Priority int
	// Model says that the call is for a model engine.
	Model bool
	// LastEvent is the id of the last event that the caller got; empty unless a
	// stream is resumed.
	LastEvent string
}

// Answer is what an upstream's header says beside the status.
type Answer struct {
	// NotRun says that the upstream did not run the call.
	NotRun bool
	// Genuine says that the answer bears the upstream's signature and that its
	// body is as the upstream wrote it.
	Genuine bool
	// Load is the stated load; Slots is zero where there is none.
	Load dispatch.Load
}

// Dialect is how callers, upstreams and this system speak of a call in their
// headers.
type Dialect interface {
	// Caller reads a caller's header.
	Caller(h http.Header) Caller
	// Forward turns a caller's header into that of an attempt. It keeps h.
	Forward(h http.Header, a Attempt) http.Header
	// Answers reports whether an upstream's answer belongs to the call.
	Answers(h http.Header, c Caller) bool
	// Answer reads an upstream's header.
	Answer(status int, h http.Header) Answer
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}
