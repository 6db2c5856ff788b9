// Package nodelink is what the nodes of a managed deployment say to each other.
// Entry nodes talk to the leading control node only, control nodes to all others;
// the connections are those of package peer.
package nodelink

import (
	"time"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/residency"
)

// Methods.
const (
	// Watch waits for news of configuration and upstreams.
	Watch = "control.watch"
	// Demand reports calls and answers with forecasts.
	Demand = "control.demand"
	// Join asks for membership of the control group.
	Join = "control.join"
	// Announce passes on what an upstream says of itself.
	Announce = "control.announce"
	// Configure passes on a configuration.
	Configure = "control.configure"
	// Read asks for the index that a read must cover.
	Read = "control.read"
)

// CodeNotLeader is the code of the answer of a node that does not lead; the
// message is the link address of the leader, if known.
const CodeNotLeader peer.Code = 1

// CodeUnavailable is the code of the answer of a leader that cannot decide.
const CodeUnavailable peer.Code = 2

// WatchRequest says what the asking node knows.
type WatchRequest struct {
	// Entry says that the node carries callers.
	Entry bool `json:"entry,omitempty"`
	// Version is the version of its configuration, zero if it has none.
	Version uint64 `json:"version"`
	// Term and Revision are those of the latest answer.
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// WaitMillis is how long the answer may be held back for lack of news.
	WaitMillis int64 `json:"wait"`
}

// WatchAnswer is the news.
type WatchAnswer struct {
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// Whole says that Upstreams are all there are, not those that changed.
	Whole     bool         `json:"whole,omitempty"`
	Upstreams UpstreamList `json:"upstreams"`
	// Configuration is set where the asking node's is older.
	Configuration *confstate.Configure `json:"configuration,omitempty"`
	// Members are the link addresses of the control nodes.
	Members []string `json:"members,omitempty"`
	// Entries is how many entry nodes ask the leader.
	Entries int `json:"entries"`
}

// DemandRequest is an entry node's report.
type DemandRequest struct {
	Report residency.NodeReport `json:"report"`
	// Term and Loads are those of the latest answer.
	Term  uint64 `json:"term,omitempty"`
	Loads uint64 `json:"loads,omitempty"`
}

// DemandAnswer is when the models that are waited for can run.
type DemandAnswer struct {
	Forecasts []Forecast `json:"forecasts,omitempty"`
	// Term is the leader's; Loads is the revision of its counts of calls.
	Term  uint64 `json:"term"`
	Loads uint64 `json:"loads"`
	// Running counts the calls of all nodes at each engine whose count has changed,
	// or at all that have any where Whole is set.
	Running map[string]int `json:"running,omitempty"`
	Whole   bool           `json:"whole,omitempty"`
}

// Forecast is when a model can run.
type Forecast struct {
	Service string        `json:"s"`
	Model   string        `json:"m"`
	In      time.Duration `json:"in"`
}

// JoinRequest is a control node that wants to be a member.
type JoinRequest struct {
	Member confstate.Member `json:"member"`
	// Fresh says that the node has an empty log.
	Fresh bool `json:"fresh"`
}

// JoinAnswer tells the node who the members are.
type JoinAnswer struct {
	Members []confstate.Member `json:"members"`
	// Retired says that the group removed this member for good.
	Retired bool `json:"retired,omitempty"`
}

// AnnounceRequest is what an upstream said of itself. Leave marks one that says
// that it is gone.
type AnnounceRequest struct {
	Upstream fleet.Upstream `json:"upstream"`
	Leave    bool           `json:"leave,omitempty"`
}

// AnnounceAnswer says where the leader takes announcements.
type AnnounceAnswer struct {
	Operators string `json:"operators"`
}

// ConfigureAnswer is the decision on a configuration.
type ConfigureAnswer struct {
	Result confstate.Result `json:"result"`
}

// ReadAnswer is the log index that covers all that was accepted.
type ReadAnswer struct {
	Index uint64 `json:"index"`
}
