package storage

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	lockName       = "LOCK"
	identityName   = "IDENTITY"
	segmentPrefix  = "wal-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

// segmentName names the segment whose first record has this sequence number.
func segmentName(seq uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, seq) }

// snapshotName names the snapshot of the state after this entry.
func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// numberOf returns the number in a file name with this prefix.
func numberOf(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// folder is one data folder with its file system, and counts the syncs.
type folder struct {
	fs    FS
	dir   string
	syncs *counter
}

func (f folder) path(name string) string { return filepath.Join(f.dir, name) }

// writeFile replaces a file as a whole: temporary file, sync, rename, sync of
// the folder.
func (f folder) writeFile(name string, data []byte) error {
	temp := f.path(name + tempSuffix)
	if err := f.writeTemp(temp, data); err != nil {
		return errors.Wrapf(err, "write %s", temp)
	}
	if err := f.fs.Rename(temp, f.path(name)); err != nil {
		return errors.Wrapf(err, "rename %s", temp)
	}
	f.syncs.add(1)
	return errors.Wrapf(f.fs.SyncDir(f.dir), "sync %s", f.dir)
}

func (f folder) writeTemp(temp string, data []byte) error {
	file, err := f.fs.Create(temp)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		file.Close()
		return err
	}
	f.syncs.add(1)
	if err := file.Sync(); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// writeValue replaces a file by one framed value.
func (f folder) writeValue(name string, v any) error {
	data, err := encodeFramed(v)
	if err != nil {
		return err
	}
	return f.writeFile(name, data)
}

// readValue reads a file that writeValue wrote.
func (f folder) readValue(name string, v any) error {
	data, err := f.fs.ReadFile(f.path(name))
	if err != nil {
		return err
	}
	payload, size, ok := unframe(data)
	if !ok || size != len(data) {
		return &DamagedError{File: f.path(name), Reason: "checksum mismatch"}
	}
	if err := cbor.Unmarshal(payload, v); err != nil {
		return &DamagedError{File: f.path(name), Reason: err.Error()}
	}
	return nil
}

// numbered lists the numbers of the files with this prefix, ascending.
func (f folder) numbered(prefix string) ([]uint64, error) {
	names, err := f.fs.ReadDir(f.dir)
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", f.dir)
	}
	var numbers []uint64
	for _, name := range names {
		if n, ok := numberOf(name, prefix); ok {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// removeBelow deletes the files with this prefix and a lower number, oldest
// first.
func (f folder) removeBelow(prefix string, keep uint64) error {
	numbers, err := f.numbered(prefix)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= keep {
			break
		}
		name := fmt.Sprintf("%s%020d", prefix, n)
		if err := f.fs.Remove(f.path(name)); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}

// removeTemps deletes the temporary files of interrupted writes.
func (f folder) removeTemps() error {
	names, err := f.fs.ReadDir(f.dir)
	if err != nil {
		return errors.Wrapf(err, "list %s", f.dir)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := f.fs.Remove(f.path(name)); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}
