// Package operator implements the client and the server of a node's HTTP API for
// operators: contracts, members of the control group, the audit trail, status and
// planned stops. A contract change carries the version that it is based on and a
// change id, so that it can be resent safely.
package operator

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/agateslip/agateslip/placement"
)

// HeaderActor is the request header with the operator's name for the audit trail.
const HeaderActor = "X-Operator"

const (
	// HeaderProofAge is the header of an answer to a read that was not proved to be
	// current. It holds the age of the node's last proof as a Go duration, or "never".
	HeaderProofAge = "X-Agateslip-Proof-Age"
	// staleQueryParam is the query parameter of a read. If it is "true", the node answers
	// without proving that its state is current.
	staleQueryParam = "stale"
)

// Change identifies a change of one contract.
type Change struct {
	// Actor is the name of the operator.
	Actor string
	// ChangeID is the same in all resends of the change.
	ChangeID string
	// BaseVersion is the contract version that the change is based on; 0 creates the
	// contract.
	BaseVersion uint64
}

// MemberState describes one member of the control group.
type MemberState struct {
	// ID is the member id. It must not be used again after the member's disk is lost.
	ID uint64 `json:"id"`
	// Node is the name of the node that runs the member; empty if unknown.
	Node string `json:"node"`
	// Voter is set if the member votes; otherwise it is a learner.
	Voter bool `json:"voter"`
	// Leader is set if the member leads the control group.
	Leader bool `json:"leader"`
	// DurableIndex is the index of the last log entry known to be durable on the member;
	// 0 if unknown.
	DurableIndex uint64 `json:"match"`
}

// Members describes the control group.
type Members struct {
	Members []MemberState `json:"members"`
	// Commit is the index of the last committed log entry.
	Commit uint64 `json:"commit"`
}

// MemberChange requests a change of the control group.
type MemberChange struct {
	// Action is add, remove or replace.
	Action string `json:"action"`
	// ID is the member to add or to remove; for replace, the lost member.
	ID uint64 `json:"id"`
	// NewID is the member that replaces ID; used by replace only.
	NewID uint64 `json:"newId,omitempty"`
}

// UpstreamStatus describes one upstream as this node sees it.
type UpstreamStatus struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	Kind   string `json:"kind"`
	// State is serving, silent or leaving.
	State string `json:"state"`
	// Replicas is the number of replicas that the upstream announced last, and Running
	// the number of its requests in progress.
	Replicas int `json:"replicas"`
	Running  int `json:"running"`
	// Incarnation identifies one start of the upstream's process.
	Incarnation uint64 `json:"incarnation"`
}

// Gone reports that one incarnation of an upstream has ended for good.
type Gone struct {
	// Upstream is the upstream's id.
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
}

// Status describes the system as one node sees it.
type Status struct {
	Node   string `json:"node"`
	Domain string `json:"domain"`
	// Ready is set while the node accepts callers' requests.
	Ready bool `json:"ready"`
	// Stopping is set once a planned stop has begun.
	Stopping bool `json:"stopping"`
	// Revision is the revision of the contracts in force on this node.
	Revision uint64 `json:"revision"`
	// ProofAge is the age of the last proof that the node's state is current.
	ProofAge contract.Duration `json:"proofAge"`
	// Leader is the name of the node that leads the control group; empty if unknown.
	Leader string `json:"leader"`
	// Member is this node's member id in the control group; 0 if it has none.
	Member uint64 `json:"member,omitempty"`
	// Applied is the index of the last log entry applied on this node.
	Applied uint64 `json:"applied"`
	// Running is the number of callers' requests in progress on this node.
	Running int `json:"running"`
	// Grants lists the placement grants in force.
	Grants    []placement.Grant `json:"grants"`
	Upstreams []UpstreamStatus  `json:"upstreams"`
	// Uptime is the time since the process started.
	Uptime contract.Duration `json:"uptime"`
}

// ErrorBody is the JSON body of an answer with an error status.
type ErrorBody struct {
	Error string `json:"error"`
	// Problems lists the faults of an invalid contract.
	Problems yamlcheck.Problems `json:"problems,omitempty"`
	// Change is the outcome of a contract change that was decided and not accepted.
	Change *control.ChangeResult `json:"change,omitempty"`
}

// Backend is the node behind the server.
type Backend interface {
	// ApplyContract creates or replaces a contract.
	ApplyContract(ctx context.Context, ch Change, c contract.Contract) (control.ChangeResult, error)
	// RemoveContract ends a customer's contract.
	RemoveContract(ctx context.Context, ch Change, customer string) (control.ChangeResult, error)
	// AuditRefusal records a refused change in the audit trail.
	AuditRefusal(ctx context.Context, actor, action, subject, detail string)
	// ConfirmCurrent waits until the node has applied every change that was accepted
	// before the call. Its errors are marked with ErrUnavailable.
	ConfirmCurrent(ctx context.Context) error
	// ProofAge returns the age of the last proof that the node's state is current;
	// proved is false if there was none.
	ProofAge() (age time.Duration, proved bool)
	// Contracts lists the contracts in force on this node.
	Contracts() []control.VersionedContract
	// Audit returns at most limit audit entries whose sequence number is above since.
	Audit(since uint64, limit int) []control.AuditEntry
	// Status returns the node's view of the system.
	Status() Status
	// Members lists the members of the control group.
	Members(ctx context.Context) (Members, error)
	// ChangeMembers adds, removes or replaces a member of the control group.
	ChangeMembers(ctx context.Context, actor string, ch MemberChange) error
	// UpstreamGone ends the grants of an upstream's incarnation that, according to an
	// operator, has ended for good.
	UpstreamGone(ctx context.Context, actor string, g Gone) error
	// Drain begins a planned stop.
	Drain()
}
