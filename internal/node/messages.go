package node

import (
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/raft"
)

// Methods of calls and notifications between nodes.
const (
	// methodPropose sends an encoded command to the leader.
	methodPropose = "control.propose"
	// methodEntries asks a voter for the entries after an index.
	methodEntries = "control.entries"
	// methodTail asks a voter for the last index of its log.
	methodTail = "control.tail"
	// methodMembers asks the leader to list or change the members of the control group.
	methodMembers = "control.members"
	// methodBarrier asks the leader for an index that covers every accepted change.
	methodBarrier = "control.barrier"
	// methodSync sends a node's report to the leader.
	methodSync = "node.sync"
	// methodLearned notifies the other voters of the patterns that the leader's planner
	// learned.
	methodLearned = "placement.learned"
	// methodLease notifies a node of an admission.Grant that does not answer a report
	// of its own.
	methodLease = "node.lease"
	// methodPush notifies a peer of announcements.
	methodPush = "directory.push"
	// methodCacheEvents notifies a peer of an upstream's cache events.
	methodCacheEvents = "cache.push"
	// methodPull asks a peer for announcements that are newer than those in a digest.
	methodPull = "directory.pull"
)

// syncRequest is a node's periodic report to the leader.
type syncRequest struct {
	Node string `json:"node"`
	// Boot identifies the node's process; it differs after each start.
	Boot string `json:"boot"`
	// Member is the node's member ID in the control group; 0 if it has none.
	Member uint64           `json:"member,omitempty"`
	Report admission.Report `json:"report"`
	// Demand holds the calls waiting and running on the node and the arrivals since the
	// last report.
	Demand []placement.Demand `json:"demand,omitempty"`
	// Crashes is what the node knows of calls that crash upstreams.
	Crashes *crashReport `json:"crashes,omitempty"`
}

// syncReply answers a syncRequest.
type syncReply struct {
	// Leads reports whether the answering node leads under a valid lease. If not, only
	// Leader is set.
	Leads bool `json:"leads"`
	// Leader is the node that leads as far as the answering node knows.
	Leader string `json:"leader,omitempty"`
	Term   uint64 `json:"term,omitempty"`
	// Commit is a log index that covers every accepted change.
	Commit uint64          `json:"commit,omitempty"`
	Grant  admission.Grant `json:"grant"`
	// Forecasts holds the forecasts for the models in the report's demand.
	Forecasts []placement.Forecast `json:"forecasts,omitempty"`
	// Crashes answers the report's Crashes.
	Crashes *crashReply `json:"crashes,omitempty"`
}

// proposeRequest carries an encoded control.Command.
type proposeRequest struct {
	Data []byte `json:"data"`
}

// proposeReply holds the result of a committed command, or names the leader if the
// answering node does not lead.
type proposeReply struct {
	Committed bool           `json:"committed"`
	Leader    string         `json:"leader,omitempty"`
	Result    control.Result `json:"result"`
}

// barrierReply holds an index that covers every change accepted before the request, or
// names the leader if the answering node does not lead.
type barrierReply struct {
	Leads  bool   `json:"leads"`
	Leader string `json:"leader,omitempty"`
	Index  uint64 `json:"index,omitempty"`
}

// entriesRequest asks for the entries after an index.
type entriesRequest struct {
	After uint64 `json:"after"`
	// Wait is how long the voter may wait for a new entry.
	Wait time.Duration `json:"wait"`
}

// tailReply is the last index of a voter's log. Member is 0 if the node has no log or
// did not answer.
type tailReply struct {
	Member raft.MemberID `json:"member"`
	Last   uint64        `json:"last"`
}

// announcementPush carries the announcements that upstreams made to the sender.
type announcementPush struct {
	Relayed []directory.Relayed `json:"relayed,omitempty"`
	// Renewals stand for announcements that were pushed before and changed in sequence
	// number and load only.
	Renewals []renewal `json:"renewals,omitempty"`
	// Node, Boot and Member identify the sender's process.
	Node   string `json:"node"`
	Boot   string `json:"boot"`
	Member uint64 `json:"member,omitempty"`
}

// pullRequest lists the announcements that the asking node holds.
type pullRequest struct {
	Digest []directory.Summary `json:"digest"`
}

// pullReply holds the announcements that the asking node lacks.
type pullReply struct {
	Relayed []directory.Relayed `json:"relayed"`
}
