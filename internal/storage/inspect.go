package storage

import (
	"io/fs"

	"github.com/cockroachdb/errors"
)

// ReadIdentity returns the identity of a data folder without opening it. It
// returns ErrNotCreated where the folder holds no member.
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
