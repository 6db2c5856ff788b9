package storage

import (
	"io/fs"

	"github.com/cockroachdb/errors"
)

// ReadIdentity returns the identity of a data folder without locking it or loading
// its state. A nil files means OS. It returns ErrNotCreated if the folder does not
// exist or holds no member, and a DamagedError if the identity cannot be read.
func ReadIdentity(files FS, dir string) (Identity, error) {
	if files == nil {
		files = OS{}
	}
	id, complete, err := folder{fs: files, dir: dir}.readIdentity()
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, ErrNotCreated
	}
	if err != nil {
		return Identity{}, err
	}
	if !complete {
		return Identity{}, ErrNotCreated
	}
	return id, nil
}
