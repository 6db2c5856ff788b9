package storage

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// Identity says to whom a data folder belongs.
type Identity struct {
	// Group is the name of the consensus group.
	Group string `cbor:"1,keyasint"`
	// Member is the member of the group. A wiped member never uses it again.
	Member raft.MemberID `cbor:"2,keyasint"`
}

// identityFile is written before the first log file and marked complete after
// the last, so that an interrupted Create can be told from a wiped log.
type identityFile struct {
	Identity Identity `cbor:"1,keyasint"`
	Complete bool     `cbor:"2,keyasint"`
}

// readIdentity returns the identity of a folder; false when there is none, or
// when its creation was interrupted.
func (f folder) readIdentity() (Identity, bool, error) {
	var file identityFile
	err := f.readValue(identityName, &file)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, f.checkNoLog()
	}
	if err != nil {
		return Identity{}, false, err
	}
	return file.Identity, file.Complete, nil
}

// checkNoLog refuses a folder that has a log but no identity.
func (f folder) checkNoLog() error {
	segments, err := f.numbered(segmentPrefix)
	if err != nil {
		return err
	}
	if len(segments) == 0 {
		return nil
	}
	return &DamagedError{File: f.path(identityName), Reason: "file is missing beside a log"}
}
