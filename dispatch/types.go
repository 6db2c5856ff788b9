package dispatch

import (
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// CallID identifies a call on this node.
type CallID uint64

// Call describes a call that needs an upstream.
type Call struct {
	ID      CallID
	Service string
	// Model and Adapter are empty for calls to plain services.
	Model, Adapter string
	// Priority orders waiting calls; zero is the most urgent.
	Priority int
	// Rank is how many of the priorities that calls can have are more urgent than that of this one. It is one if all
	// calls have the same, so that none is more urgent than others.
	Rank int
	// Arrived is when the call arrived; Target is when its answer is due.
	Arrived, Target time.Duration
	// LatestStart is the last time at which the call can start and its caller still get
	// the whole answer.
	LatestStart time.Duration
	// PromptTokens is the length of the prompt, and OutputTokens the most tokens that the answer may have. Both are
	// zero if the caller does not state them.
	PromptTokens, OutputTokens int
	// Tenant is the name of the caller's tenant; empty if calls need no key.
	Tenant string
	// Weight is the tenant's part of the room against the other tenants of its priority; zero counts as 1.
	Weight float64
	// Affinity is a hash of the beginning of the prompt that the call shares with
	// others, so that they run where it is cached; zero if there is none.
	Affinity uint64
	// Stream is set if the call is answered with a stream of events.
	Stream bool
	// Pinned is set if the call goes on with a stream that has begun. It then runs only at
	// upstreams with the given version of their software.
	Pinned   bool
	Software string
	// Avoid lists the IDs of upstreams on which this call may have run already.
	Avoid []string
	// RefusedBy lists the IDs of upstreams that refused the call. It goes there again only if no other upstream can take it.
	RefusedBy []string
	// Repeat is set when the call was sent before; it then does not count as another
	// arrival.
	Repeat bool
	// waitedForMemory is set once an upstream could have taken the call but for its memory.
	waitedForMemory bool
}

// Action is the kind of decision made on a call.
type Action uint8

// The actions.
const (
	// Start sends the call to an upstream.
	Start Action = iota + 1
	// Refuse refuses the call, which has not been sent since it was submitted.
	Refuse
)

// Reason is why a call was refused.
type Reason string

// Reasons of a refusal.
const (
	// NoUpstream means that no upstream of the service is known.
	NoUpstream Reason = "no upstream"
	// NoModel means that no upstream will have the model, or the adapter, in time.
	NoModel Reason = "model not loaded in time"
	// Paused means that all upstreams that could run the call asked for a pause that
	// outlasts it.
	Paused Reason = "upstreams asked for a pause"
	// RateLimited means that the rate limits of all upstreams that could run the call leave
	// no room for it in time.
	RateLimited Reason = "upstreams limit their rate"
	// NoVersion means that no upstream runs the software version of the stream that the call goes
	// on with.
	NoVersion Reason = "no upstream of the stream's software version"
	// NoSlot means that no upstream will have a free slot in time.
	NoSlot Reason = "no room in time"
	// NoMemory means that upstreams have free slots, but none will have the memory in time.
	NoMemory Reason = "no engine memory in time"
	// TooLarge means that the prompt exceeds the memory of every upstream.
	TooLarge Reason = "larger than engine memory"
	// Overloaded means that the upstreams which hold the model have more calls than they can run in time.
	Overloaded Reason = "model overloaded"
)

// Verdict is the decision on one call.
type Verdict struct {
	ID     CallID
	Action Action
	// Upstream is set when Action is Start.
	Upstream *fleet.Upstream
	// FirstEvent is the predicted time from sending the call to the first event of its answer; zero if unknown.
	FirstEvent time.Duration
	// Record is set if the call is a stream whose software version must be recorded before the
	// caller receives its first event.
	Record bool
	// Reason and RetryAfter are set when Action is Refuse. RetryAfter is how long the
	// caller should wait before it tries again.
	Reason     Reason
	RetryAfter time.Duration
}

// Result is how an attempt to run a call on an upstream ended.
type Result uint8

// The results.
const (
	// Served calls were answered.
	Served Result = iota + 1
	// Rejected calls did not run: the upstream was full or leaving.
	Rejected
	// NotServed calls did not run: the upstream does not hold the model, or a different
	// upstream answered at its address.
	NotServed
	// Failed calls were answered with an error.
	Failed
	// Lost calls were sent and got no answer, or only part of one.
	Lost
	// Doubtful calls may have run: they were answered with a refusal that proves nothing, or with a stream that contains
	// bytes of another origin.
	Doubtful
	// Unreachable calls could not be sent.
	Unreachable
	// Abandoned calls were ended on this side, so that they show nothing about the
	// upstream.
	Abandoned
)

// Load is the load that an upstream reports: calls that run in it, calls that wait in
// it, and its slots.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the moment, as a multiple of the usual; zero if that is unknown. It changes
	// several times a second.
	Pace float64
}

// Demand describes the calls that wait for one model or adapter.
type Demand struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	Adapter string `json:"a,omitempty"`
	// Pinned is set if the calls can run only at upstreams with the given version of their software.
	Pinned   bool   `json:"p,omitempty"`
	Software string `json:"v,omitempty"`
	// Waiting is the number of calls that wait.
	Waiting int `json:"w"`
	// Slack is the time left until the first of their answers is due. Patience is the
	// time left until the last of them can no longer start in time. Both are negative
	// once that time is past.
	Slack    time.Duration `json:"sl"`
	Patience time.Duration `json:"pa"`
}

// requirement is what an upstream needs to have for a call, but for what the call avoids. Calls
// with the same requirement have the same choice.
type requirement struct {
	ModelKey
	stream, pinned bool
	software       string
}

func (c *Call) requirement() requirement {
	return requirement{ModelKey{c.Service, c.Model, c.Adapter}, c.Stream, c.Pinned, c.Software}
}

// ModelKey identifies a model of a service, or one of the model's adapters; Adapter is
// empty for the model itself.
type ModelKey struct {
	Service, Model, Adapter string
}
