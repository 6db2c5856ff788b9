package raft

import "github.com/cockroachdb/errors"

// Errors returned by New and by the methods of Core. Compare them with errors.Is.
var (
	// ErrNotLeader is returned by a member that is not the leader, and for proposals also
	// by a leader with a leadership transfer in progress.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrOverloaded is returned by Propose while too many bytes wait to be committed.
	ErrOverloaded = errors.New("raft: too many uncommitted bytes")
	// ErrChangePending is returned for a membership change while an earlier one, or the
	// first entry of the leader's term, is not committed, and for a leadership transfer
	// while one to another target is in progress.
	ErrChangePending = errors.New("raft: an earlier change is not committed")
	// ErrNotCaughtUp is returned when the learner to be promoted lags too far behind the
	// commit index or does not respond.
	ErrNotCaughtUp = errors.New("raft: learner has not caught up")
	// ErrUnsafeChange is returned for a membership that is malformed, is not exactly one
	// allowed step from the current one, or has no responsive majority of voters.
	ErrUnsafeChange = errors.New("raft: unsafe membership change")
	// ErrInvalidTransferTarget is returned by TransferLeadership if the target is this
	// member or not a voter.
	ErrInvalidTransferTarget = errors.New("raft: transfer target is not another voter")
	// ErrConfig is returned by New for an invalid Config.
	ErrConfig = errors.New("raft: invalid configuration")
	// ErrCorrupt is returned by New for a DurableState that no member can have written.
	ErrCorrupt = errors.New("raft: inconsistent durable state")
	// ErrSnapshotMismatch is returned for a snapshot whose index is not applied or not in
	// the log, or whose term or membership differs from the log's.
	ErrSnapshotMismatch = errors.New("raft: snapshot does not match the log")
)
