package raft

import "github.com/cockroachdb/errors"

// Errors of Core's methods. They are compared with errors.Is.
var (
	// ErrNotLeader refuses what only a leader that is not handing over can do.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrOverloaded refuses a proposal while too many bytes wait to be committed.
	ErrOverloaded = errors.New("raft: too many uncommitted bytes")
	// ErrChangePending refuses a change while an earlier one, or the first entry
	// of the leader's term, is not committed.
	ErrChangePending = errors.New("raft: an earlier change is not committed")
	// ErrNotCaughtUp refuses to promote a learner that lags or is silent.
	ErrNotCaughtUp = errors.New("raft: learner has not caught up")
	// ErrUnsafeChange refuses a membership that is malformed, is not one step
	// from the present one, or has no responsive majority.
	ErrUnsafeChange = errors.New("raft: unsafe membership change")
	// ErrInvalidTransferTarget refuses a transfer to a member that is no other voter.
	ErrInvalidTransferTarget = errors.New("raft: transfer target is not another voter")
	// ErrConfig reports an unusable Config.
	ErrConfig = errors.New("raft: invalid configuration")
	// ErrCorrupt reports a Restored state that no member can have written.
	ErrCorrupt = errors.New("raft: inconsistent durable state")
	// ErrSnapshotMismatch refuses a snapshot that does not describe the log.
	ErrSnapshotMismatch = errors.New("raft: snapshot does not match the log")
)
