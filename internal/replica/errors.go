package replica

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

var (
	// ErrUnknown says that a proposal was appended and that this replica will
	// not learn whether it was committed.
	ErrUnknown = errors.New("outcome of the proposal is unknown")
	// ErrNotProposed says that a proposal was not appended, so that it will not
	// be committed.
	ErrNotProposed = errors.New("proposal was not made")
	// ErrStopped says that the replica has stopped.
	ErrStopped = errors.New("replica has stopped")
	// ErrNoTarget says that there is no other voter to lead.
	ErrNoTarget = errors.New("no other voter can lead")
)

// NotLeaderError says that this replica does not lead the group. Nothing was
// appended.
type NotLeaderError struct {
	// Leader is the member that leads as far as this one knows; zero if unknown.
	Leader raft.MemberID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; member %d leads", e.Leader)
}

// notProposed marks a cause as one that left no trace.
func notProposed(cause error) error {
	return errors.Mark(errors.Wrap(cause, "proposal was not made"), ErrNotProposed)
}

func unknown(reason string) error { return errors.Wrapf(ErrUnknown, "%s", reason) }
