// Package raft is a replicated-log state machine after Ongaro's dissertation
// "Consensus: Bridging Theory and Practice" (2014): elections with pre-vote and
// check-quorum, log replication with flow control, snapshots, learners,
// single-step membership change, leadership transfer, and a leader lease on
// monotonic time.
//
// The machine is pure. Ticks, messages, proposals and acknowledgements of
// durable writes go in, each with the caller's monotonic time; messages, state
// to persist and entries to apply come out. It has no clock, goroutine, I/O or
// randomness beyond its seed.
//
// # Driving a Core
//
// One goroutine owns a [Core]. It calls Tick at a fraction of the heartbeat
// interval, Step for each message that arrived, and Propose for each command.
// While HasOutput reports true it calls Take and does what the [Output] says, in
// order: it makes Hard, Snapshot and Entries durable with one sync, calls
// Persisted, sends Messages, restores Snapshot or applies Committed, answers
// Reads, and calls Applied. Proposals that come in before a Take share its sync
// and its messages.
//
// Messages may be lost, repeated, delayed and reordered. Writes may not: a write
// that fails ends the member, and one whose disk was lost or restored from an
// older copy comes back under a new [MemberID], as a learner.
//
// # Reads and leases
//
// A read that must see everything committed before it asks for a ReadBarrier and
// waits until the index in its [ReadResult] is applied. An action that only one
// leader may take at a time is preceded by LeaseValid. The lease rests on the
// monotonic clocks of the members advancing at the same rate, within the share
// by which Lease is shorter than ElectionTimeout; their origins do not matter.
//
// # Membership
//
// ProposeMembers changes one member at a time. A new voter joins as a learner
// from an empty Restored, receives a snapshot and the log, and is promoted once
// it has caught up. A voter that is lost is removed, and its replacement added
// under a new identity.
package raft

import "time"

// MemberID identifies one member for good. A member that lost its disk comes
// back under a new ID. Zero means none.
type MemberID uint64

// Instant is the caller's monotonic time since an arbitrary start.
type Instant = time.Duration

// Role is what a member is at present.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Members is the membership of the group. Learners receive the log and do not
// vote.
type Members struct {
	Voters   []MemberID `json:"voters"`
	Learners []MemberID `json:"learners,omitempty"`
}

// EntryKind tells command entries from the machine's own.
type EntryKind uint8

// Entry kinds.
const (
	// EntryCommand carries a command of the application.
	EntryCommand EntryKind = iota
	// EntryNoop is appended by a new leader to commit earlier terms.
	EntryNoop
	// EntryMembers carries the whole new membership.
	EntryMembers
)

// Entry is one log entry.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	// Data is the application's command.
	Data []byte `json:"d,omitempty"`
	// Members is set for EntryMembers only.
	Members *Members `json:"m,omitempty"`
}

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64   `json:"term"`
	Vote MemberID `json:"vote"`
}

// Snapshot is the application's state after applying Index.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

// MessageKind tells messages apart.
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

// Message is what one member sends another. Fields not used by a kind are zero.
type Message struct {
	Kind MessageKind `json:"kind"`
	From MemberID    `json:"from"`
	To   MemberID    `json:"to"`
	Term uint64      `json:"term"`
	// LogIndex and LogTerm describe the entry before Entries (append), or the
	// last entry of the sender's log (votes).
	LogIndex uint64  `json:"li,omitempty"`
	LogTerm  uint64  `json:"lt,omitempty"`
	Entries  []Entry `json:"es,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `json:"c,omitempty"`
	// Reject says that a vote was not granted or an append did not match.
	Reject bool `json:"r,omitempty"`
	// Hint is, on a rejected append, the index to try next; on an accepted one,
	// the last index known to match and durable.
	Hint uint64 `json:"h,omitempty"`
	// Round numbers the leader's heartbeat rounds; a reply returns it. The
	// leader extends its lease from the time at which it sent that round.
	Round    uint64    `json:"rd,omitempty"`
	Snapshot *Snapshot `json:"sn,omitempty"`
	// Transfer marks a vote request that follows MsgTimeoutNow, which a
	// follower answers although it hears a leader.
	Transfer bool `json:"tr,omitempty"`
}

// Config is the fixed configuration of one member.
type Config struct {
	// ID is this member.
	ID MemberID
	// Heartbeat is the interval between the leader's rounds.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest silence after which an election starts;
	// each wait is drawn between one and two of it.
	ElectionTimeout time.Duration
	// Lease is how long after sending a round that a majority answered the
	// leader may act alone. It must be shorter than ElectionTimeout.
	Lease time.Duration
	// MaxBatchBytes bounds the entries of one append message.
	MaxBatchBytes int
	// MaxInflight bounds the unanswered append messages to one member.
	MaxInflight int
	// CatchUpMargin is how many entries a learner may be behind the commit index
	// and still be made a voter.
	CatchUpMargin uint64
	// Seed seeds the election timeouts.
	Seed uint64
}

// Restored is the durable state a member starts from. A new group starts from a
// snapshot at index 1, term 1 whose Members are the founding voters. A member
// that joins a group starts from the zero value.
type Restored struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries are the log entries after the snapshot.
	Entries []Entry
}

// ReadResult answers a ReadBarrier request.
type ReadResult struct {
	// Request is the caller's number for the request.
	Request uint64
	// Index is the index that must be applied before reading.
	Index uint64
	// OK is false when leadership was lost before the barrier was confirmed.
	OK bool
}

// Output is everything the caller must do next, in this order: make Hard,
// Snapshot and Entries durable (one sync suffices), call Persisted, send
// Messages, restore Snapshot, apply Committed, call Applied.
type Output struct {
	// Hard is non-nil when term or vote changed.
	Hard *HardState
	// Snapshot is non-nil when a received snapshot replaces the log. Entries and
	// Committed, if any, come after it.
	Snapshot *Snapshot
	// Entries are to be written after truncating the durable log from
	// Entries[0].Index.
	Entries []Entry
	// Messages that may be sent only once the above is durable.
	Messages []Message
	// Committed are the entries to apply now, in order.
	Committed []Entry
	// Reads are answers to ReadBarrier requests.
	Reads []ReadResult
}

// Status is a snapshot of a member for observers.
type Status struct {
	ID        MemberID `json:"id"`
	Role      Role     `json:"role"`
	Term      uint64   `json:"term"`
	Leader    MemberID `json:"leader"`
	Commit    uint64   `json:"commit"`
	Applied   uint64   `json:"applied"`
	LastIndex uint64   `json:"lastIndex"`
	Members   Members  `json:"members"`
	// Match is, on the leader, the durable index of each member.
	Match map[MemberID]uint64 `json:"match,omitempty"`
}
