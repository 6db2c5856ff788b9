// Package operator is the HTTP interface towards operators, both sides of it:
// contracts, members of the control group, the audit trail, status and planned
// stops. Changes carry a base version and a change id.
package operator

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/agateslip/agateslip/placement"
)

// HeaderActor names the operator in the audit trail.
const HeaderActor = "X-Operator"

const (
	// HeaderProofAge marks the answer to a read that was not proved to be current.
	// It holds the age of the node's last proof, or "never".
	HeaderProofAge = "X-Agateslip-Proof-Age"
	// queryStale asks for such an answer.
	queryStale = "stale"
)

// Change is a change of one contract.
type Change struct {
	// Actor is the operator.
	Actor string
	// ChangeID identifies the change over resends.
	ChangeID string
	// BaseVersion is the version that the change was made from; 0 to create.
	BaseVersion uint64
}

// MemberState is one member of the control group.
type MemberState struct {
	// ID is the member's identity; a lost disk ends it for good.
	ID uint64 `json:"id"`
	// Node is the node that runs the member; empty if it is not known.
	Node string `json:"node"`
	// Voter says that the member votes; otherwise it is a learner.
	Voter bool `json:"voter"`
	// Leader says that the member leads.
	Leader bool `json:"leader"`
	// Match is the last entry known to be durable there; 0 if not known here.
	Match uint64 `json:"match"`
}

// Members is the control group.
type Members struct {
	Members []MemberState `json:"members"`
	// Commit is the last committed entry.
	Commit uint64 `json:"commit"`
}

// MemberChange asks for a change of the control group.
type MemberChange struct {
	// Action is add, remove or replace.
	Action string `json:"action"`
	// ID is the member to add or to remove; for replace, the lost member.
	ID uint64 `json:"id"`
	// NewID is, for replace, the member that takes the place.
	NewID uint64 `json:"newId,omitempty"`
}

// UpstreamStatus is one upstream as this node sees it.
type UpstreamStatus struct {
	ID       string `json:"id"`
	Domain   string `json:"domain"`
	Kind     string `json:"kind"`
	State    string `json:"state"`
	Replicas int    `json:"replicas"`
	Running  int    `json:"running"`
	// Incarnation identifies the upstream's process.
	Incarnation uint64 `json:"incarnation"`
}

// Gone says that one incarnation of an upstream has ended for good.
type Gone struct {
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
}

// Status is one node's view of the system.
type Status struct {
	Node   string `json:"node"`
	Domain string `json:"domain"`
	// Ready says that the node takes requests.
	Ready bool `json:"ready"`
	// Stopping says that a planned stop has begun.
	Stopping bool `json:"stopping"`
	// Revision is the configuration in force here.
	Revision uint64 `json:"revision"`
	// ProofAge is the age of the proof that the revision is current.
	ProofAge contract.Duration `json:"proofAge"`
	// Leader is the node that leads the control group; empty if unknown.
	Leader string `json:"leader"`
	// Member is this node's member id in the control group; 0 if it has none.
	Member uint64 `json:"member,omitempty"`
	// Applied is the last entry of the log applied here.
	Applied uint64 `json:"applied"`
	// Running is the number of callers' requests in progress here.
	Running   int               `json:"running"`
	Grants    []placement.Grant `json:"grants"`
	Upstreams []UpstreamStatus  `json:"upstreams"`
	// Uptime is the time since the process started.
	Uptime contract.Duration `json:"uptime"`
}

// ErrorBody is the answer to a request that failed.
type ErrorBody struct {
	Error string `json:"error"`
	// Problems are the faults of a refused contract.
	Problems yamlcheck.Problems `json:"problems,omitempty"`
	// Change is the outcome of a refused change.
	Change *control.ChangeResult `json:"change,omitempty"`
}

// Backend is what the interface needs of a node.
type Backend interface {
	// ApplyContract creates or replaces a contract.
	ApplyContract(ctx context.Context, ch Change, c contract.Contract) (control.ChangeResult, error)
	// RemoveContract ends a contract.
	RemoveContract(ctx context.Context, ch Change, customer string) (control.ChangeResult, error)
	// NoteRefusal puts a refused change into the audit trail.
	NoteRefusal(ctx context.Context, actor, action, subject, detail string)
	// Confirm waits until the node has applied every change that was accepted
	// before the call. The error is ErrUnavailable.
	Confirm(ctx context.Context) error
	// ProofAge is the age of the last proof that the node's state is current;
	// proved is false where there was none.
	ProofAge() (age time.Duration, proved bool)
	// Contracts lists the contracts in force on this node.
	Contracts() []control.Versioned
	// Audit returns at most limit entries after since.
	Audit(since uint64, limit int) []control.AuditEntry
	// Status is this node's view.
	Status() Status
	// Members lists the control group.
	Members(ctx context.Context) (Members, error)
	// ChangeMembers changes the control group.
	ChangeMembers(ctx context.Context, actor string, ch MemberChange) error
	// UpstreamGone ends the grants of an incarnation that an operator knows to
	// have ended.
	UpstreamGone(ctx context.Context, actor string, g Gone) error
	// Drain begins a planned stop.
	Drain()
}
