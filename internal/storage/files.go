package storage

import (
	"fmt"
	"io/fs"
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

// segmentName returns the file name of the segment whose first record has sequence
// number seq.
func segmentName(seq uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, seq) }

// snapshotName returns the file name of the snapshot of the state after the entry
// at index.
func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// parseNumber returns the number that follows prefix in a file name, and false if
// the name does not consist of prefix and a number.
func parseNumber(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// folder is a data folder on a file system. It counts its syncs in syncs.
type folder struct {
	fs    FS
	dir   string
	syncs *counter
}

func (f folder) path(name string) string { return filepath.Join(f.dir, name) }

// replaceFile replaces a file atomically and durably: it writes a temporary file,
// syncs it, renames it and syncs the folder.
func (f folder) replaceFile(name string, data []byte) error {
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

// writeTemp creates a file with the given data and syncs it. If that fails, it removes the
// file, which could otherwise take the last room on the disk.
func (f folder) writeTemp(temp string, data []byte) error {
	file, err := f.fs.Create(temp)
	if err != nil {
		return err
	}
	if err := f.writeAndClose(file, data); err != nil {
		return errors.CombineErrors(err, f.fs.Remove(temp))
	}
	return nil
}

func (f folder) writeAndClose(file File, data []byte) error {
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

// replaceValue replaces a file's contents with the framed CBOR encoding of v.
func (f folder) replaceValue(name string, v any) error {
	data, err := encodeFramed(v)
	if err != nil {
		return err
	}
	return f.replaceFile(name, data)
}

// readValue decodes a file that replaceValue wrote into v. It returns a DamagedError
// if the contents are invalid.
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

// listNumbers returns the numbers of the files with the given prefix, in ascending
// order. File names hold numbers with a fixed width, so they sort by number.
func (f folder) listNumbers(prefix string) ([]uint64, error) {
	names, err := f.fs.ReadDir(f.dir)
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", f.dir)
	}
	var numbers []uint64
	for _, name := range names {
		if n, ok := parseNumber(name, prefix); ok {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// removeBelow deletes the files with the given prefix and a number lower than
// firstKept, in ascending order.
func (f folder) removeBelow(prefix string, firstKept uint64) error {
	return f.removeNumbered(prefix, func(n uint64) bool { return n < firstKept })
}

// removeAbove deletes the files with the given prefix and a number higher than lastKept,
// in ascending order.
func (f folder) removeAbove(prefix string, lastKept uint64) error {
	return f.removeNumbered(prefix, func(n uint64) bool { return n > lastKept })
}

// removeNumbered deletes the files with the given prefix whose number matches, in
// ascending order.
func (f folder) removeNumbered(prefix string, matches func(n uint64) bool) error {
	numbers, err := f.listNumbers(prefix)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if !matches(n) {
			continue
		}
		name := fmt.Sprintf("%s%020d", prefix, n)
		if err := f.fs.Remove(f.path(name)); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}

// removeState deletes all segments, snapshots and temporary files.
func (f folder) removeState() error {
	all := func(uint64) bool { return true }
	if err := f.removeNumbered(segmentPrefix, all); err != nil {
		return err
	}
	if err := f.removeNumbered(snapshotPrefix, all); err != nil {
		return err
	}
	return f.removeTempFiles()
}

// discard removes the identity durably before anything else: beside it, a part of the log could read as an older state.
func (f folder) discard() error {
	err := f.fs.Remove(f.path(identityName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Wrap(err, "remove the identity")
	}
	f.syncs.add(1)
	if err := f.fs.SyncDir(f.dir); err != nil {
		return errors.Wrapf(err, "sync %s", f.dir)
	}
	return f.removeState()
}

// removeTempFiles deletes the temporary files left by interrupted writes.
func (f folder) removeTempFiles() error {
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
