package dispatch

import (
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// Token names a call at this node.
type Token uint64

// Call is a call that wants an upstream.
type Call struct {
	Token   Token
	Service string
	// Model and Adapter are empty for calls to plain services.
	Model, Adapter string
	// Priority is the rank of the call; zero is the most urgent.
	Priority int
	// Arrived is when the call came, Target when its answer is due to be on time.
	Arrived, Target time.Duration
	// Latest is when the call must start at the latest for its caller to get a
	// whole answer.
	Latest time.Duration
	// Affinity is the hash of what the call shares with others; zero if nothing.
	Affinity uint64
	// Avoid are upstreams on which this call may have run.
	Avoid []string
	// Repeat says that the call was sent before.
	Repeat bool
}

// Action says what becomes of a call.
type Action uint8

// Actions.
const (
	// Start sends the call to an upstream.
	Start Action = iota + 1
	// Refuse turns it away; it has not run.
	Refuse
)

// Reason says why a call was refused.
type Reason string

// Reasons of a refusal.
const (
	// NoUpstream means that no upstream of the service is known.
	NoUpstream Reason = "no upstream"
	// NoModel means that the model will not be loaded in time.
	NoModel Reason = "model not loaded in time"
	// NoSlot means that no upstream has room in time.
	NoSlot Reason = "no room in time"
)

// Verdict is a decision on one call.
type Verdict struct {
	Token  Token
	Action Action
	// Upstream is set where the call starts.
	Upstream *fleet.Upstream
	// Reason and RetryAfter are set where it is refused.
	Reason     Reason
	RetryAfter time.Duration
}

// Result is how an upstream dealt with a call.
type Result uint8

// Results.
const (
	// Served calls had an answer.
	Served Result = iota + 1
	// Rejected calls were not run: the upstream was full or leaving.
	Rejected
	// Missing calls were not run: the upstream does not hold the model, or is
	// another one than was expected.
	Missing
	// Failed calls had a failure for an answer.
	Failed
	// Lost calls had no answer, or only a part of one.
	Lost
	// Unreachable calls were not sent.
	Unreachable
	// Abandoned calls were ended from here.
	Abandoned
)

// Load is how busy an upstream says it is.
type Load struct {
	Running, Waiting, Slots int
}

// Demand is calls that wait for a model that no upstream offers.
type Demand struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	Adapter string `json:"a,omitempty"`
	// Waiting is how many calls wait.
	Waiting int `json:"w"`
	// Slack is the time until the first of them is late, Patience until the last of
	// them must have started; negative once it is over.
	Slack    time.Duration `json:"sl"`
	Patience time.Duration `json:"pa"`
}

// Key names a model, or one of its adapters, of a service.
type Key struct {
	Service, Model, Adapter string
}
