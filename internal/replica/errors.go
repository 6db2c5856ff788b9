package replica

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

var (
	// ErrOutcomeUnknown means that a proposal was appended to the log but that the
	// caller cannot learn whether it was or will be committed.
	ErrOutcomeUnknown = errors.New("outcome of the proposal is unknown")
	// ErrNotProposed means that a proposal will not be committed: it was not
	// appended, or another leader's entry replaced it.
	ErrNotProposed = errors.New("proposal was not made")
	// ErrStopped means that the replica has stopped.
	ErrStopped = errors.New("replica has stopped")
	// ErrNoOtherVoter means that no other voter replies, so that leadership cannot
	// be transferred.
	ErrNoOtherVoter = errors.New("no other voter can lead")
)

// NotLeaderError means that this replica does not lead the group. Nothing was
// appended to the log.
type NotLeaderError struct {
	// Leader is the leader that this replica knows of; zero if it knows none.
	Leader raft.MemberID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; member %d leads", e.Leader)
}

// notProposed wraps a cause and marks the result as ErrNotProposed.
func notProposed(cause error) error {
	return errors.Mark(errors.Wrap(cause, "proposal was not made"), ErrNotProposed)
}

// unknownOutcome returns ErrOutcomeUnknown, wrapped with a reason.
func unknownOutcome(reason string) error { return errors.Wrapf(ErrOutcomeUnknown, "%s", reason) }
