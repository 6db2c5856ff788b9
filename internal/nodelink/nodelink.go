// Package nodelink defines the messages between the nodes of a managed deployment.
// Entry nodes exchange them with the leading control node only, control nodes with each
// other. They travel over the connections of package peer.
package nodelink

import (
	"time"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/origin"
	"github.com/agateslip/agateslip/quarantine"
	"github.com/agateslip/agateslip/ratelimit"
	"github.com/agateslip/agateslip/residency"
)

// Methods of peer calls.
const (
	// Watch asks for changes of the configuration and the upstreams, and waits for
	// them.
	Watch = "control.watch"
	// Demand reports an entry node's calls; the answer is a DemandAnswer.
	Demand = "control.demand"
	// Quotas reports what an entry node holds and needs of the tenants' quotas: the request is a ratelimit.ShareReport,
	// the answer a ratelimit.ShareAnswer.
	Quotas = "control.quotas"
	// Join asks for membership in the control group.
	Join = "control.join"
	// Announce forwards an upstream's announcement to the leader.
	Announce = "control.announce"
	// Configure forwards a configuration to the leader.
	Configure = "control.configure"
	// Read asks for the log index that a consistent read must cover.
	Read = "control.read"
	// RecordStreams records the software versions at which streams began. It is answered once
	// that is durable.
	RecordStreams = "control.recordStreams"
	// FindStream asks at which software version a stream began.
	FindStream = "control.findStream"
	// ConfirmUpstream asks whether an incarnation of an upstream still runs. It is answered once the upstream has
	// announced itself again.
	ConfirmUpstream = "control.confirmUpstream"
	// LastOrder asks a control node when it last sent an order to an engine.
	LastOrder = "control.lastOrder"
)

// CodeNotLeader is the error code of a node that is not the leader. The error message
// is the leader's link address, or empty if unknown.
const CodeNotLeader peer.Code = 1

// CodeUnavailable is the error code of a leader that cannot answer at the moment, for
// example because its leadership is not confirmed.
const CodeUnavailable peer.Code = 2

// CodeUndecided is the error code of a leader that cannot tell whether a change that it
// received is or will be in force.
const CodeUndecided peer.Code = 3

// WatchRequest asks for changes relative to what the node already has.
type WatchRequest struct {
	// Entry is set if the asking node is an entry node.
	Entry bool `json:"entry,omitempty"`
	// Version is the version of the node's configuration; zero if it has none.
	Version uint64 `json:"version"`
	// Term and Revision are those of the latest answer that the node received.
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// QuarantineRevision is that of the latest QuarantineState that the node received.
	QuarantineRevision uint64 `json:"prompts,omitempty"`
	// Detours is the address at which an entry node accepts detours of others; DetoursRevision
	// is that of the latest list of them that the node received.
	Detours         string `json:"detours,omitempty"`
	DetoursRevision uint64 `json:"detoursRevision,omitempty"`
	// BrittleRevision is that of the latest answer that told the brittle services.
	BrittleRevision uint64 `json:"brittleRevision,omitempty"`
	// WaitMillis is how long the answer may be held back while nothing changes.
	WaitMillis int64 `json:"wait"`
}

// WatchAnswer is the answer to a WatchRequest.
type WatchAnswer struct {
	// Term and Revision identify the state that the answer reports; the next request
	// repeats them.
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// Whole is set if Upstreams lists all upstreams, not only changed ones.
	Whole     bool         `json:"whole,omitempty"`
	Upstreams UpstreamList `json:"upstreams"`
	// Configuration is set if the asking entry node has an older one or none.
	Configuration *confstate.Configure `json:"configuration,omitempty"`
	// Bases are the base versions of the services' software; see package origin. It is nil if the
	// answer does not tell them.
	Bases *map[string]string `json:"bases,omitempty"`
	// Brittle holds the services whose upstreams are brittle. It is nil if the answer does not tell them.
	Brittle *map[string]ratelimit.Brittle `json:"brittle,omitempty"`
	// BrittleRevision counts the changes of Brittle in the leader's term.
	BrittleRevision uint64 `json:"brittleRevision,omitempty"`
	// Detours are the addresses at which some other entry nodes accept detours; nil if the asking
	// node has the list of this revision.
	Detours         []string `json:"detours,omitempty"`
	DetoursRevision uint64   `json:"detoursRevision,omitempty"`
	// Members are the link addresses of the control nodes.
	Members []string `json:"members,omitempty"`
	// Current is the version of the configuration in force. It covers every change that was acknowledged before the
	// request arrived; zero if the leader cannot tell that yet.
	Current uint64 `json:"current,omitempty"`
	// Entries is the number of entry nodes that watch the leader; zero if it does not know it yet.
	Entries int `json:"entries"`
	// Prompts is set if the asking entry node has an older one.
	Quarantine *QuarantineState `json:"prompts,omitempty"`
}

// QuarantineState is what entry nodes need to know of calls that crash upstreams.
type QuarantineState struct {
	// Revision identifies this state within the term of the leader.
	Revision uint64 `json:"revision"`
	// InForce identifies the calls to refuse.
	InForce []quarantine.Signature `json:"inForce,omitempty"`
	// Trials are those of which the leader lets the first node that asks send one call.
	Trials []quarantine.Signature `json:"trials,omitempty"`
	// Suspects are the traits that the leader wants to know of whether calls are served with
	// them.
	Suspects []quarantine.Trait `json:"suspects,omitempty"`
	// Doubted are upstreams that may have crashed. The leader wants to know of whether they
	// still send bytes.
	Doubted []fleet.Incarnation `json:"doubted,omitempty"`
}

// DemandRequest is an entry node's report.
type DemandRequest struct {
	Report residency.NodeReport `json:"report"`
	// Term and CountsRevision are those of the latest answer that the node received.
	Term           uint64 `json:"term,omitempty"`
	CountsRevision uint64 `json:"loads,omitempty"`
	// Leaving lists the incarnations of upstreams that said with an answer that they are
	// leaving.
	Leaving []fleet.Incarnation `json:"leaving,omitempty"`
	// RateLimits are limits of upstreams that the node knows and the leader does not list.
	RateLimits []RateLimit `json:"limits,omitempty"`
	// PermitWants are the permits that the node asks for.
	PermitWants []ratelimit.Want `json:"permits,omitempty"`
	// Brittle holds the services whose upstreams said to the node lately that they are brittle, with the number
	// of calls a second that each of them can turn away. SlotWants are the slots of these upstreams that the
	// node asks for and has taken.
	Brittle   map[string]float64   `json:"brittle,omitempty"`
	SlotWants []ratelimit.SlotWant `json:"slots,omitempty"`
	// Losses are calls that were lost with their upstreams. Served are suspects, by the
	// latest QuarantineState, that calls were served with.
	Losses []quarantine.Loss  `json:"losses,omitempty"`
	Served []quarantine.Trait `json:"served,omitempty"`
	// Alive are doubted upstreams, by the latest QuarantineState, that have sent bytes since.
	Alive []fleet.Incarnation `json:"alive,omitempty"`
	// Trials are signatures in quarantine of which a call waits to be sent on trial.
	Trials []quarantine.Signature `json:"trials,omitempty"`
	// Overloaded are the models for which the node refuses calls since their engines have more than they can run. Earlier
	// builds leave them out.
	Overloaded []ModelName `json:"overloaded,omitempty"`
}

// ModelName names a model of a service.
type ModelName struct {
	Service string `json:"s"`
	Model   string `json:"m"`
}

// DemandAnswer has the forecasts for the models that calls wait for, and the leader's
// counts of running calls.
type DemandAnswer struct {
	Forecasts []Forecast `json:"forecasts,omitempty"`
	// Term is the leader's term; CountsRevision is the revision of its counts of running
	// calls.
	Term           uint64 `json:"term"`
	CountsRevision uint64 `json:"loads"`
	// Current is as in WatchAnswer.
	Current uint64 `json:"current,omitempty"`
	// Running is the number of calls of all nodes at each engine, by upstream ID. It
	// has the engines whose count changed, or all engines with calls if Whole is set.
	Running map[string]int `json:"running,omitempty"`
	Whole   bool           `json:"whole,omitempty"`
	// Tokens are those of the calls that Running counts. Earlier builds leave them out.
	Tokens map[string]dispatch.EngineTokens `json:"tokens,omitempty"`
	// Permits answers the wants of the request for upstreams that have a rate limit.
	Permits []ratelimit.Grant `json:"permits,omitempty"`
	// Slots answers the wants for slots of brittle upstreams.
	Slots []ratelimit.Grant `json:"slots,omitempty"`
	// Trials are those signatures of the request of which the node may send one call.
	Trials []quarantine.Signature `json:"trials,omitempty"`
}

// RecordStreamsRequest records streams that begin at an entry node.
type RecordStreamsRequest struct {
	Begun []origin.Batch `json:"begun"`
}

// FindStreamRequest asks for the origin of a stream that a caller takes up again.
type FindStreamRequest struct {
	Service string `json:"service"`
	// Key identifies the request that brought the first event; nil if the caller did not name it.
	Key *origin.Key `json:"key,omitempty"`
}

// FindStreamAnswer is the software version at which a stream began.
type FindStreamAnswer struct {
	Software string `json:"software"`
	// Known is set if there is no doubt of it.
	Known bool `json:"known"`
}

// ConfirmUpstreamAnswer tells whether an incarnation of an upstream, which the request names, still runs.
type ConfirmUpstreamAnswer struct {
	// Running is set if it announced itself after the request arrived.
	Running bool `json:"running,omitempty"`
	// Replaced is set if a later incarnation announced itself.
	Replaced bool `json:"replaced,omitempty"`
}

// RateLimit is what an entry node knows of the rate limit of an upstream.
type RateLimit struct {
	Upstream fleet.Incarnation `json:"u"`
	Limit    fleet.RateLimit   `json:"l"`
}

// Forecast is the expected time until a model can run.
type Forecast struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	// In is the time from the answer until the model can run.
	In time.Duration `json:"in"`
	// Another is set if the model is overloaded and In is the time until another engine holds it.
	Another bool `json:"another,omitempty"`
}

// JoinRequest asks to add a control node to the group.
type JoinRequest struct {
	Member confstate.Member `json:"member"`
	// Fresh is set if the node's log is empty.
	Fresh bool `json:"fresh"`
}

// JoinAnswer lists the members of the control group.
type JoinAnswer struct {
	Members []confstate.Member `json:"members"`
	// Retired is set if the group has permanently removed this member.
	Retired bool `json:"retired,omitempty"`
}

// AnnounceRequest is an upstream's announcement. Leave is set if the upstream announces
// that it has ended.
type AnnounceRequest struct {
	Upstream fleet.Upstream `json:"upstream"`
	Leave    bool           `json:"leave,omitempty"`
}

// AnnounceAnswer is the address where the leader accepts announcements.
type AnnounceAnswer struct {
	// Address is the address of the operators' listener, which also accepts
	// announcements.
	Address string `json:"operators"`
}

// ConfigureAnswer is the result of the decision on a configuration.
type ConfigureAnswer struct {
	Result confstate.Result `json:"result"`
}

// ReadAnswer is a log index that covers everything accepted before the request.
type ReadAnswer struct {
	Index uint64 `json:"index"`
}

// LastOrderAnswer tells what a control node's process knows of its own orders.
type LastOrderAnswer struct {
	// Sending is set while the node may send orders or has one in flight.
	Sending bool `json:"sending,omitempty"`
	// Ordered is set if this process has sent an order; Since is the time since the latest
	// one ended.
	Ordered bool          `json:"ordered,omitempty"`
	Since   time.Duration `json:"since,omitempty"`
}
