package edge

import (
	"net/http"
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// Caller is what the header of a caller's request states.
type Caller struct {
	// ID is the caller's identifier of this request.
	ID string
	// MaxWait is how long the caller waits for its answer; zero if not stated.
	MaxWait time.Duration
	// Model and Adapter name what an engine shall run; both are empty for plain
	// services.
	Model, Adapter string
	// InputTokens is the length of the prompt, and OutputTokens the most tokens that
	// may be generated; zero if not stated.
	InputTokens, OutputTokens int
	// StatesTokens is set if the header states the two.
	StatesTokens bool
	// Credentials is the caller's proof of identity as sent, and Key the API key in it; both empty if not stated. Neither
	// may be logged, counted or forwarded where calls need keys.
	Credentials, Key string
	// ClaimsKey is set if the caller sent an API key, or several.
	ClaimsKey bool
	// SharedParts identifies the parts of the prompt that other calls may have too, without
	// repeats.
	SharedParts []string
	// ResumeAfter is the id of the last event of a stream that the caller received in an
	// earlier request and now takes up again; empty otherwise. ResumedID identifies the
	// request that brought the first event; empty if not stated.
	ResumeAfter, ResumedID string
	// Content lists what the header states of the content of the request, without what differs
	// between repeats of one request, such as its ID.
	Content []string
	// Affinity is the hash of the start of the prompt that this call shares with
	// others; zero if it shares none.
	Affinity uint64
}

// Attempt is what an upstream is told in addition to the caller's own header.
type Attempt struct {
	// Upstream is the ID of the intended upstream.
	Upstream string
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
	// Priority is the priority of the call's route; zero is the most urgent.
	Priority int
	// Resumes is set if the call goes on with a stream. It comes before others of its priority.
	Resumes bool
	// ForModel is set if the call is for a model engine.
	ForModel bool
	// Keyed is set if calls need keys. The upstream then gets the name of the tenant in place of the key, and none if
	// the call has no key.
	Keyed  bool
	Tenant string
	// Rank is the number of more urgent priorities of tenants and routes among the Ranks in the configuration. Both
	// are set if Keyed is.
	Rank, Ranks int
	// LastEventID is the id of the last event that the caller received; empty unless a
	// stream is resumed.
	LastEventID string
}

// Answer is what the header of an upstream's answer states in addition to the status.
type Answer struct {
	// NotRun is set if the upstream did not run the call. StatesNotRun is set if the answer says so in its header,
	// and not by its status alone.
	NotRun, StatesNotRun bool
	// Genuine is set if the answer bears the upstream's signature and its body was not
	// re-encoded on the way.
	Genuine bool
	// Load is the load that the upstream reports; its Slots is zero if there is no
	// report.
	Load dispatch.Load
	// Leaving is set if the upstream is about to end and wants no new calls.
	Leaving bool
	// Pause is how long the upstream wants no calls from this node; zero if not stated.
	Pause time.Duration
	// Brittle is set if the upstream may fall over when it has to turn away more than
	// BearsRejections calls in a second.
	Brittle         bool
	BearsRejections float64
	// RateLimit is what the answer says of the upstream's rate limit.
	RateLimit RateLimitStatement
}

// RateLimitStatement is what an answer says of the rate at which its upstream takes calls
// from all nodes together.
type RateLimitStatement struct {
	Kind RateLimitKind
	// PerSecond is the rate in calls per second if Kind is Limited: finite, at least 0.
	PerSecond float64
}

// limit returns the statement as a limit without a number.
func (s RateLimitStatement) limit() fleet.RateLimit {
	return fleet.RateLimit{Limited: s.Kind == Limited, PerSecond: s.PerSecond}
}

// RateLimitKind is the kind of a RateLimitStatement.
type RateLimitKind uint8

// The kinds. An answer that does not come from the intended upstream, or whose statement is
// malformed, says nothing.
const (
	NothingSaid RateLimitKind = iota
	Limited
	Unlimited
)

// Dialect reads and writes the headers by which callers, entry nodes and upstreams
// describe a call.
type Dialect interface {
	// Caller reads the header of a caller's request.
	Caller(h http.Header) Caller
	// Forward returns the header of an attempt, made from the caller's. It does not
	// modify h.
	Forward(h http.Header, a Attempt) http.Header
	// Question returns the header of a health check of an upstream with an ID of its own, and the caller as whose call Owner
	// recognizes the answer.
	Question(id string, a Attempt) (http.Header, Caller)
	// Owner tells whether an upstream's answer belongs to the call of c.
	Owner(h http.Header, c Caller) upstreamconn.Owner
	// Answer reads the status and header of an upstream's answer.
	Answer(status int, h http.Header) Answer
	// BeginsEvent reports whether an upstream may begin an event of a stream with a line, given without its end, that
	// is no field of server-sent events.
	BeginsEvent(line []byte) bool
}

// hopHeaders are the hop-by-hop headers, which concern one connection and are not
// passed on. Content-Length is among them because each connection states its own.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}
