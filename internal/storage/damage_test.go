package storage_test

import (
	"encoding/binary"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/faultfs"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

const (
	frameHeader = 8
	lastEntry   = 30
)

// written returns a file system with a log of several segments that was not
// closed; its last record holds lastEntry.
func written(t *testing.T) *faultfs.FS {
	is := is.New(t)
	fs := faultfs.New()
	s, err := storage.Create(options(fs), founding())
	is.NoErr(err)
	for i := uint64(2); i <= lastEntry; i++ {
		is.NoErr(save(s, 1, i, i))
		if i == 10 {
			is.NoErr(s.Compact(raft.Snapshot{Index: 8, Term: 1, Data: []byte("eight")}))
		}
	}
	fs.Crash(nil)
	return fs
}

// segments lists the log files, oldest first.
func segments(fs *faultfs.FS) []string {
	return slices.DeleteFunc(fs.Names(), func(name string) bool { return !strings.Contains(name, "/wal-") })
}

// offsets returns where the records of a file begin.
func offsets(data []byte) []int {
	var starts []int
	for at := 0; at < len(data); {
		starts = append(starts, at)
		at += frameHeader + int(binary.LittleEndian.Uint32(data[at:]))
	}
	return starts
}

// with returns a fresh log in which one file has other contents.
func with(t *testing.T, name string, data []byte) *faultfs.FS {
	fs := written(t)
	fs.Put(name, data)
	return fs
}

func read(t *testing.T, fs *faultfs.FS, name string) []byte {
	data, err := fs.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// endOf opens the folder, returns the last entry and checks that the log can
// be continued.
func endOf(t *testing.T, fs *faultfs.FS) uint64 {
	t.Helper()
	is := is.New(t)
	s, got, err := storage.Open(options(fs))
	is.NoErr(err)
	end := got.Snapshot.Index + uint64(len(got.Entries))
	is.NoErr(save(s, 1, end+1, end+1))
	is.NoErr(s.Close())
	_, again, err := storage.Open(options(fs))
	is.NoErr(err)
	is.Equal(len(again.Entries), len(got.Entries)+1)
	return end
}

// TestTornLastRecordIsCut tears the last record at every byte, with the rest
// missing, zero or garbage.
func TestTornLastRecordIsCut(t *testing.T) {
	is := is.New(t)
	fs := written(t)
	is.Equal(endOf(t, fs), uint64(lastEntry))
	fs = written(t)
	last := segments(fs)[len(segments(fs))-1]
	data := read(t, fs, last)
	starts := offsets(data)
	begin := starts[len(starts)-1]
	for at := begin; at < len(data); at++ {
		missing := data[:at]
		zero := append(slices.Clone(missing), make([]byte, len(data)-at)...)
		garbage := slices.Clone(data)
		for i := at; i < len(garbage); i++ {
			garbage[i] ^= 0xA5
		}
		for _, torn := range [][]byte{missing, zero, garbage} {
			is.Equal(endOf(t, with(t, last, torn)), uint64(lastEntry-1))
		}
	}
}

// TestDamageIsRefused flips a bit in each record that is not the last, at the
// length, the checksum, the first and the last byte of the payload.
func TestDamageIsRefused(t *testing.T) {
	is := is.New(t)
	fs := written(t)
	names := segments(fs)
	is.True(len(names) > 2)
	for i, name := range names {
		data := read(t, fs, name)
		starts := offsets(data)
		if i == len(names)-1 {
			starts = starts[:len(starts)-1]
		}
		is.True(len(starts) > 0)
		for _, start := range starts {
			end := start + frameHeader + int(binary.LittleEndian.Uint32(data[start:]))
			for _, at := range []int{start, start + 3, start + 4, start + frameHeader, end - 1} {
				flipped := slices.Clone(data)
				flipped[at] ^= 0x10
				expectDamage(t, with(t, name, flipped), name, int64(start))
			}
		}
	}
}

// TestDamageAfterCloseIsRefused flips bits of the last entry of a log that was
// closed in order.
func TestDamageAfterCloseIsRefused(t *testing.T) {
	is := is.New(t)
	fs := written(t)
	s, _, err := storage.Open(options(fs))
	is.NoErr(err)
	is.NoErr(save(s, 1, lastEntry+1, lastEntry+1))
	is.NoErr(s.Close())
	last := segments(fs)[len(segments(fs))-1]
	data := read(t, fs, last)
	starts := offsets(data)
	start := starts[len(starts)-2]
	data[start+frameHeader] ^= 0x10
	fs.Put(last, data)
	expectDamage(t, fs, last, int64(start))
}

// TestMissingFilesAreRefused removes each durable file in turn.
func TestMissingFilesAreRefused(t *testing.T) {
	is := is.New(t)
	names := written(t).Names()
	for i, name := range names {
		lastSegment := i == len(names)-1
		if strings.HasSuffix(name, "LOCK") || lastSegment {
			continue // the end of a log cannot be told from a shorter log
		}
		fs := written(t)
		is.NoErr(fs.Remove(name))
		_, _, err := storage.Open(options(fs))
		var damaged *storage.DamagedError
		is.True(errors.As(err, &damaged)) // a file is missing
	}
}

// TestDamagedWholeFilesAreRefused flips a bit of the identity and the snapshot.
func TestDamagedWholeFilesAreRefused(t *testing.T) {
	for _, name := range written(t).Names() {
		if strings.Contains(name, "/wal-") {
			continue
		}
		data := read(t, written(t), name)
		for at := range data {
			flipped := slices.Clone(data)
			flipped[at] ^= 0x10
			expectDamage(t, with(t, name, flipped), name, 0)
		}
	}
}

func expectDamage(t *testing.T, fs *faultfs.FS, name string, offset int64) {
	t.Helper()
	_, _, err := storage.Open(options(fs))
	var damaged *storage.DamagedError
	if !errors.As(err, &damaged) {
		t.Fatalf("%s at %d: opened with error %v", name, offset, err)
	}
	if damaged.File != name || damaged.Offset != offset {
		t.Fatalf("damage in %s at %d was reported as %v", name, offset, damaged)
	}
}
