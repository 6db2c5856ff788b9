package storage

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

var (
	// ErrLocked means that another process has locked the data folder.
	ErrLocked = errors.New("data folder is locked by another process")
	// ErrNotCreated means that the folder holds no member's state: the disk is
	// new or was wiped, or an earlier Create was interrupted. A wiped member must
	// join the group again under a new member ID.
	ErrNotCreated = errors.New("data folder holds no member")
	// ErrExists means that Create found a member's state in the folder.
	ErrExists = errors.New("data folder already holds a member")
	// ErrFailed means that a write or sync failed, so that it is unknown what is
	// durable. The store accepts no more writes, and the process must stop.
	ErrFailed = errors.New("storage failed and accepts no more writes")
	// ErrClosed means that the store was closed.
	ErrClosed = errors.New("storage is closed")
)

// IdentityError means that the folder belongs to another member or group.
type IdentityError struct {
	// Want is the identity that the caller expected, Got the folder's.
	Want, Got Identity
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("data folder belongs to member %d of group %q, expected member %d of group %q",
		e.Got.Member, e.Got.Group, e.Want.Member, e.Want.Group)
}

// DamagedError means that durable state is missing or unreadable, and that starting
// without it could lose accepted entries.
type DamagedError struct {
	// File is the path of the damaged or missing file.
	File string
	// Offset is the offset in bytes of the first damaged record in the file.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// markDead wraps a cause and marks the result as ErrFailed.
func markDead(cause error) error {
	return errors.Mark(errors.Wrap(cause, "storage failed"), ErrFailed)
}
