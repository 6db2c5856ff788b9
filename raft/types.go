// Package raft implements a replicated-log state machine as in Ongaro's dissertation
// "Consensus: Bridging Theory and Practice" (2014): elections with pre-vote and
// check-quorum, log replication with flow control, snapshots, learners, single-step
// membership changes, leadership transfer, and a leader lease on monotonic time.
//
// The state machine is pure. Its inputs are ticks, messages, proposals and
// acknowledgments of durable writes, each with the caller's monotonic time. Its outputs
// are messages, state to persist and entries to apply. It has no clock, goroutine, I/O or
// randomness other than from its seed.
//
// # Driving a Core
//
// One goroutine owns a [Core]. It calls Tick at a fraction of the heartbeat interval,
// Step for each message that arrived, and Propose for each command. While HasOutput
// reports true it calls Take and carries out the [Output] in order: it makes Hard,
// Snapshot and Entries durable with one sync, calls Persisted, sends Messages, restores
// Snapshot or applies Committed, answers Reads, and calls Applied. Proposals made before
// a Take share its sync and its messages.
//
// A caller whose writes may take long carries them out in the background: it calls TakeUnblocked
// before Take and for as long as the write lasts, and sends, applies and answers what that
// returns at once. Of the Output of Take it then sends only the messages after the write.
//
// Messages may be lost, duplicated, delayed and reordered, but writes may not. A member
// whose write fails must stop. A member whose disk was lost, or restored from an older
// copy, returns under a new [MemberID], as a learner.
//
// # Reads and leases
//
// To see everything committed so far, a read first calls ReadBarrier and waits until the
// index in its [ReadResult] is applied. Before an action that only one leader may take at
// a time, the caller checks LeaseValid. The lease relies on the monotonic clocks of the
// members advancing at the same rate, within the fraction by which Lease is shorter than
// ElectionTimeout. The origins of the clocks do not matter.
//
// # Membership
//
// ProposeMembers changes one member at a time. A new voter joins as a learner from an
// empty DurableState, receives a snapshot and the log, and is promoted once it has caught
// up. A voter that is lost is removed, and its replacement is added under a new ID.
package raft

import "time"

// MemberID identifies one member permanently. A member that lost its disk returns under a
// new ID. Zero means no member.
type MemberID uint64

// Instant is the caller's monotonic time since an arbitrary origin.
type Instant = time.Duration

// Role is the current role of a member.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "unknown"
}

// Members is the membership of the group. Learners receive the log and do not vote.
type Members struct {
	Voters   []MemberID `json:"voters"`
	Learners []MemberID `json:"learners,omitempty"`
}

// EntryKind distinguishes the application's commands from Raft's own entries.
type EntryKind uint8

// Entry kinds.
const (
	// EntryCommand carries a command of the application.
	EntryCommand EntryKind = iota
	// EntryNoop is appended by a new leader to commit the entries of earlier terms.
	EntryNoop
	// EntryMembers carries the complete new membership.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	// Data is the application's command.
	Data []byte `json:"d,omitempty"`
	// Members is set for EntryMembers only.
	Members *Members `json:"m,omitempty"`
}

// HardState is a member's term and vote. It must be durable before any message that
// depends on it is sent.
type HardState struct {
	Term uint64   `json:"term"`
	Vote MemberID `json:"vote"`
}

// Snapshot is the application's state after applying the entry at Index, with the term of
// that entry and the membership in force there.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

// MessageKind distinguishes the kinds of messages.
type MessageKind uint8

// Message kinds.
const (
	MsgPreVote MessageKind = iota
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	MsgSnapshotReply
	MsgTimeoutNow
)

// Message is a message from one member to another. Fields that a kind does not use are
// zero.
type Message struct {
	Kind MessageKind `json:"kind"`
	From MemberID    `json:"from"`
	To   MemberID    `json:"to"`
	Term uint64      `json:"term"`
	// LogIndex and LogTerm describe the entry before Entries in an append, and the last
	// entry of the sender's log in a vote request. In the reply to an append, LogIndex is
	// that of the append, and LogTerm, if the append is rejected, is the term of the
	// entry before Hint.
	LogIndex uint64  `json:"li,omitempty"`
	LogTerm  uint64  `json:"lt,omitempty"`
	Entries  []Entry `json:"es,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `json:"c,omitempty"`
	// Reject is set when a vote was not granted, an append did not match, or the message
	// answered was of an older term.
	Reject bool `json:"r,omitempty"`
	// Hint is the index to try next (rejected append), or the last index known to match
	// and to be durable (accepted append or snapshot).
	Hint uint64 `json:"h,omitempty"`
	// Round is the number of the leader's heartbeat round, which a reply returns. The
	// leader extends its lease from the time at which it sent that round.
	Round    uint64    `json:"rd,omitempty"`
	Snapshot *Snapshot `json:"sn,omitempty"`
	// Installing marks the reply to an append by a member that is still writing a snapshot. The
	// reply supports the leader and acknowledges no entries.
	Installing bool `json:"in,omitempty"`
	// Stalled marks the reply to an append by a member whose current write has taken an election
	// timeout: it hears the leader, but may not be able to hold entries.
	Stalled bool `json:"sd,omitempty"`
	// VoteDelay is, in a pre-vote request, how long the candidate expects to write its own vote
	// before it can ask for votes.
	VoteDelay Instant `json:"vd,omitempty"`
	// Transfer marks the vote request of a leadership transfer, which a follower may
	// grant although it still supports a leader.
	Transfer bool `json:"tr,omitempty"`
}

// Config is the fixed configuration of one member.
type Config struct {
	// ID is the ID of this member.
	ID MemberID
	// Heartbeat is the interval between the leader's heartbeat rounds.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest time without a leader after which a member starts
	// an election. The actual time is drawn between one and two ElectionTimeouts.
	ElectionTimeout time.Duration
	// Lease is how long the leader may act alone after sending a heartbeat round that a
	// majority answered. It must be shorter than ElectionTimeout.
	Lease time.Duration
	// MaxBatchBytes limits the size of the entries in one append message. A larger entry
	// is sent alone.
	MaxBatchBytes int
	// MaxInflight limits the number of unanswered append messages to one member.
	MaxInflight int
	// CatchUpMargin is the number of entries by which a learner may lag behind the commit
	// index and still be promoted to voter.
	CatchUpMargin uint64
	// Seed seeds the random election timeouts.
	Seed uint64
}

// DurableState is the durable state from which a member starts. The members of a new
// group start from a snapshot at index 1 and term 1 whose Members are the founding
// voters. A member that joins a group starts from the zero value.
type DurableState struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries are the log entries after the snapshot.
	Entries []Entry
}

// ReadResult is the answer to a ReadBarrier request.
type ReadResult struct {
	// Request is the number that the caller gave the request.
	Request uint64
	// Index is the index that must be applied before reading.
	Index uint64
	// OK is false if leadership was lost before a majority confirmed it.
	OK bool
}

// Output is everything that the caller must do next, in this order: make Hard, Snapshot
// and Entries durable (one sync suffices), call Persisted, send Messages, restore
// Snapshot, apply Committed, answer Reads, call Applied.
type Output struct {
	// Hard is not nil if term or vote changed.
	Hard *HardState
	// Snapshot is not nil if a received snapshot replaces the log. Entries and Committed,
	// if any, follow it.
	Snapshot *Snapshot
	// Entries are to be written after the durable log is truncated from Entries[0].Index
	// on.
	Entries []Entry
	// Messages may be sent only once Hard, Snapshot and Entries are durable.
	Messages []Message
	// Committed are the entries to apply now, in order.
	Committed []Entry
	// Reads are the answers to ReadBarrier requests.
	Reads []ReadResult
}

// Refusal describes a vote or pre-vote that a member refused to a candidate.
type Refusal struct {
	Candidate MemberID `json:"candidate,omitempty"`
	// Term is the term that the candidate asked for.
	Term   uint64        `json:"term,omitempty"`
	Reason RefusalReason `json:"reason,omitempty"`
}

// RefusalReason tells why a vote or pre-vote was refused.
type RefusalReason string

// Reasons for refusals.
const (
	// RefusedStaleTerm: the candidate's term is not newer than that of the member.
	RefusedStaleTerm RefusalReason = "stale term"
	// RefusedLeaderKnown: the member supports a leader.
	RefusedLeaderKnown RefusalReason = "leader known"
	// RefusedOlderLog: the candidate's log lacks entries of the member.
	RefusedOlderLog RefusalReason = "older log"
	// RefusedVoteGiven: the member has voted for another candidate in that term.
	RefusedVoteGiven RefusalReason = "vote given"
	// RefusedElectionPending: the member helps another candidate, or its own term or vote is
	// not durable yet.
	RefusedElectionPending RefusalReason = "election pending"
)

// Status describes the state of a member at one moment.
type Status struct {
	ID        MemberID `json:"id"`
	Role      Role     `json:"role"`
	Term      uint64   `json:"term"`
	Leader    MemberID `json:"leader"`
	Commit    uint64   `json:"commit"`
	Applied   uint64   `json:"applied"`
	LastIndex uint64   `json:"lastIndex"`
	// Durable is the index of the last entry that is durable on this member.
	Durable uint64  `json:"durable"`
	Members Members `json:"members"`
	// Refused is the latest vote or pre-vote that this member refused; zero if none.
	Refused Refusal `json:"refused"`
	// Match is, on the leader, the highest durable index known for each member. It is nil
	// on other members.
	Match map[MemberID]uint64 `json:"match,omitempty"`
	// Unresponsive lists, on the leader, the voters that have not replied within the election
	// timeout. It is nil on other members.
	Unresponsive []MemberID `json:"unresponsive,omitempty"`
}
