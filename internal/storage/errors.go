package storage

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

var (
	// ErrLocked says that another process holds the data folder.
	ErrLocked = errors.New("data folder is locked by another process")
	// ErrNotCreated says that the folder holds no member: the disk is new, or
	// it was wiped. A wiped member must join again under a new member ID.
	ErrNotCreated = errors.New("data folder holds no member")
	// ErrExists says that Create found a member in the folder.
	ErrExists = errors.New("data folder already holds a member")
	// ErrDead says that an earlier write or sync failed, so that what is durable
	// is not known. The process must stop.
	ErrDead = errors.New("storage failed and accepts no more writes")
	// ErrClosed says that the store was closed.
	ErrClosed = errors.New("storage is closed")
)

// IdentityError says that the folder belongs to another member or group.
type IdentityError struct {
	// Want is what the caller expected, Got what the folder holds.
	Want, Got Identity
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("data folder belongs to member %d of group %q, expected member %d of group %q",
		e.Got.Member, e.Got.Group, e.Want.Member, e.Want.Group)
}

// DamagedError says that durable state cannot be read and that starting
// without it would lose accepted entries.
type DamagedError struct {
	// File is the path of the damaged file.
	File string
	// Offset is the position in bytes of the first damaged record.
	Offset int64
	// Reason says what was found there.
	Reason string
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// deadError keeps the cause beside ErrDead.
func deadError(cause error) error {
	return errors.Mark(errors.Wrap(cause, "storage failed"), ErrDead)
}
