package storage

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// Identity identifies the member to which a data folder belongs.
type Identity struct {
	// Group is the name of the consensus group.
	Group string `cbor:"1,keyasint"`
	// Member is the member's ID in the group. After a member lost its disk, its ID
	// is never used again.
	Member raft.MemberID `cbor:"2,keyasint"`
}

// identityRecord is the content of the identity file. Create writes it with Complete
// unset before any other file and sets Complete after the last one. An interrupted
// Create can thus be distinguished from a member that lost its log.
type identityRecord struct {
	Identity Identity `cbor:"1,keyasint"`
	Complete bool     `cbor:"2,keyasint"`
}

// readIdentity returns the identity of a folder. It returns false if the folder has
// none or its creation was interrupted, and a DamagedError if the identity file is
// invalid, or is missing while there is a log.
func (f folder) readIdentity() (Identity, bool, error) {
	var file identityRecord
	err := f.readValue(identityName, &file)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, f.checkNoSegments()
	}
	if err != nil {
		return Identity{}, false, err
	}
	return file.Identity, file.Complete, nil
}

// checkNoSegments returns a DamagedError if the folder, which has no identity file,
// contains log segments.
func (f folder) checkNoSegments() error {
	segments, err := f.listNumbers(segmentPrefix)
	if err != nil {
		return err
	}
	if len(segments) == 0 {
		return nil
	}
	return &DamagedError{File: f.path(identityName), Reason: "identity file is missing but the folder contains a log"}
}
