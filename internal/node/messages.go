package node

import (
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/raft"
)

// Methods between nodes.
const (
	// methodPropose carries a proposal to the leader.
	methodPropose = "control.propose"
	// methodEntries asks for entries after an index.
	methodEntries = "control.entries"
	// methodTail asks a voter for the end of its log.
	methodTail = "control.tail"
	// methodMembers asks the leader for, or to change, the members.
	methodMembers = "control.members"
	// methodBarrier asks the leader for an index that covers every accepted change.
	methodBarrier = "control.barrier"
	// methodSync carries a node's report to the leader.
	methodSync = "node.sync"
	// methodLearned carries the planner's experience as a notification.
	methodLearned = "placement.learned"
	// methodLease carries an unasked admission.Grant as a notification.
	methodLease = "node.lease"
	// methodPush carries announcements as a notification.
	methodPush = "directory.push"
	// methodCache carries cache events as a notification.
	methodCache = "cache.push"
	// methodPull asks for announcements newer than a digest.
	methodPull = "directory.pull"
)

// syncRequest is a node's regular report to the leader.
type syncRequest struct {
	Node string `json:"node"`
	// Boot identifies the node's process.
	Boot string `json:"boot"`
	// Member is the node's member id in the control group; 0 if it has none.
	Member uint64           `json:"member,omitempty"`
	Report admission.Report `json:"report"`
	// Demand is what waits on and runs through the node, with the arrivals since
	// the last report.
	Demand []placement.Demand `json:"demand,omitempty"`
}

// syncReply answers a syncRequest.
type syncReply struct {
	// Leads says that the answering node leads under a valid lease. Nothing else
	// but Leader is set where it does not.
	Leads bool `json:"leads"`
	// Leader is the node that leads as far as the answering node knows.
	Leader string `json:"leader,omitempty"`
	Term   uint64 `json:"term,omitempty"`
	// Commit is an index that covers every accepted change.
	Commit uint64          `json:"commit,omitempty"`
	Grant  admission.Grant `json:"grant"`
	// Forecasts are those of the models in the report's demand.
	Forecasts []placement.Forecast `json:"forecasts,omitempty"`
}

// proposeRequest carries an encoded control.Command.
type proposeRequest struct {
	Data []byte `json:"data"`
}

// proposeReply answers a proposal that was committed, or names the leader.
type proposeReply struct {
	Committed bool           `json:"committed"`
	Leader    string         `json:"leader,omitempty"`
	Result    control.Result `json:"result"`
}

// barrierReply is an index that covers every change accepted before the question,
// or names the leader.
type barrierReply struct {
	Leads  bool   `json:"leads"`
	Leader string `json:"leader,omitempty"`
	Index  uint64 `json:"index,omitempty"`
}

// entriesRequest asks for the entries after an index, waiting for some.
type entriesRequest struct {
	After uint64 `json:"after"`
	// Wait bounds the wait for entries.
	Wait time.Duration `json:"wait"`
}

// tailReply is the end of a voter's log.
type tailReply struct {
	Member raft.MemberID `json:"member"`
	Last   uint64        `json:"last"`
}

// pushNote carries announcements that the sender heard.
type pushNote struct {
	Relayed []directory.Relayed `json:"relayed,omitempty"`
	// Renewals are of upstreams whose announcement was passed on before.
	Renewals []renewal `json:"renewals,omitempty"`
	// Node, Boot and Member identify the sender's process.
	Node   string `json:"node"`
	Boot   string `json:"boot"`
	Member uint64 `json:"member,omitempty"`
}

// pullRequest names what the asker holds.
type pullRequest struct {
	Digest []directory.Summary `json:"digest"`
}

// pullReply holds what the asker lacks.
type pullReply struct {
	Relayed []directory.Relayed `json:"relayed"`
}
