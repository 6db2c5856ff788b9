package storage_test

import (
	"encoding/binary"
	"slices"
	"strings"
	"testing"
	"time"

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

// newLog returns a file system with the log of a member that crashed. The log has
// several segments, and its last record contains the entry lastEntry.
func newLog(t *testing.T) *faultfs.FS {
	is := is.New(t)
	fs := faultfs.New()
	s, err := storage.Create(options(fs), initialState())
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

// segmentNames returns the paths of the log segments, oldest first.
func segmentNames(fs *faultfs.FS) []string {
	return slices.DeleteFunc(fs.Names(), func(name string) bool { return !strings.Contains(name, "/wal-") })
}

// recordOffsets returns the offsets at which the records of a segment start.
func recordOffsets(data []byte) []int {
	var starts []int
	for at := 0; at < len(data); {
		starts = append(starts, at)
		at += frameHeader + int(binary.LittleEndian.Uint32(data[at:]))
	}
	return starts
}

// newLogWithFile returns a new log in which one file's contents are replaced with
// data.
func newLogWithFile(t *testing.T, name string, data []byte) *faultfs.FS {
	fs := newLog(t)
	fs.Put(name, data)
	return fs
}

func readFile(t *testing.T, fs *faultfs.FS, name string) []byte {
	data, err := fs.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// reopenAndAppend opens the folder and returns the index of its last entry. It checks
// that one more entry can be saved and is there after another Open.
func reopenAndAppend(t *testing.T, fs *faultfs.FS) uint64 {
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

// TestOpenTruncatesTornRecord tears the last record at every byte, with the rest of it
// missing, zero or garbage. Open must drop this record only.
func TestOpenTruncatesTornRecord(t *testing.T) {
	is := is.New(t)
	fs := newLog(t)
	is.Equal(reopenAndAppend(t, fs), uint64(lastEntry))
	fs = newLog(t)
	last := segmentNames(fs)[len(segmentNames(fs))-1]
	data := readFile(t, fs, last)
	starts := recordOffsets(data)
	lastStart := starts[len(starts)-1]
	for at := lastStart; at < len(data); at++ {
		missing := data[:at]
		zero := append(slices.Clone(missing), make([]byte, len(data)-at)...)
		garbage := slices.Clone(data)
		for i := at; i < len(garbage); i++ {
			garbage[i] ^= 0xA5
		}
		for _, torn := range [][]byte{missing, zero, garbage} {
			is.Equal(reopenAndAppend(t, newLogWithFile(t, last, torn)), uint64(lastEntry-1))
		}
	}
}

// TestTornRecordIsScannedInTime tears a record of 4 MiB of small numbers, each of which reads as the length of a possible record.
func TestTornRecordIsScannedInTime(t *testing.T) {
	is := is.New(t)
	fs := newLog(t)
	s, _, err := storage.Open(options(fs))
	is.NoErr(err)
	numbers := make([]byte, 4<<20)
	for i := 0; i < len(numbers); i += 4 {
		binary.LittleEndian.PutUint32(numbers[i:], uint32(i/4))
	}
	is.NoErr(s.Save(raft.Output{Entries: []raft.Entry{{Index: lastEntry + 1, Term: 1, Data: numbers}}}))
	names := segmentNames(fs)
	data := readFile(t, fs, names[len(names)-1])
	fs.Crash(nil)
	fs.Put(names[len(names)-1], data[:len(data)-1])
	start := time.Now()
	is.Equal(reopenAndAppend(t, fs), uint64(lastEntry))
	is.True(time.Since(start) < 2*time.Second)
}

// TestOpenRejectsDamagedRecord flips a bit in each record but the last: in the length,
// the checksum, and the first and last byte of the payload. Open must not take such
// damage for a torn write, which would lose the records after it.
func TestOpenRejectsDamagedRecord(t *testing.T) {
	is := is.New(t)
	fs := newLog(t)
	names := segmentNames(fs)
	is.True(len(names) > 2)
	for i, name := range names {
		data := readFile(t, fs, name)
		starts := recordOffsets(data)
		if i == len(names)-1 {
			starts = starts[:len(starts)-1]
		}
		is.True(len(starts) > 0)
		for _, start := range starts {
			end := start + frameHeader + int(binary.LittleEndian.Uint32(data[start:]))
			for _, at := range []int{start, start + 3, start + 4, start + frameHeader, end - 1} {
				flipped := slices.Clone(data)
				flipped[at] ^= 0x10
				expectDamage(t, newLogWithFile(t, name, flipped), name, int64(start))
			}
		}
	}
}

// TestOpenRejectsDamageAfterClose flips a bit in the last entry's record of a closed
// log. The empty record that Close appends must show that the entry's record is not
// torn.
func TestOpenRejectsDamageAfterClose(t *testing.T) {
	is := is.New(t)
	fs := newLog(t)
	s, _, err := storage.Open(options(fs))
	is.NoErr(err)
	is.NoErr(save(s, 1, lastEntry+1, lastEntry+1))
	is.NoErr(s.Close())
	last := segmentNames(fs)[len(segmentNames(fs))-1]
	data := readFile(t, fs, last)
	starts := recordOffsets(data)
	start := starts[len(starts)-2]
	data[start+frameHeader] ^= 0x10
	fs.Put(last, data)
	expectDamage(t, fs, last, int64(start))
}

// TestOpenRejectsMissingFile removes each durable file in turn, except the last segment.
func TestOpenRejectsMissingFile(t *testing.T) {
	is := is.New(t)
	names := newLog(t).Names()
	for i, name := range names {
		lastSegment := i == len(names)-1
		if strings.HasSuffix(name, "LOCK") || lastSegment {
			continue // without its last segment, a log looks like a shorter valid log
		}
		fs := newLog(t)
		is.NoErr(fs.Remove(name))
		_, _, err := storage.Open(options(fs))
		var damaged *storage.DamagedError
		is.True(errors.As(err, &damaged)) // the missing file is reported
	}
}

// TestOpenRejectsDamagedIdentityOrSnapshot flips a bit in each byte of the identity and
// snapshot files.
func TestOpenRejectsDamagedIdentityOrSnapshot(t *testing.T) {
	for _, name := range newLog(t).Names() {
		if strings.Contains(name, "/wal-") {
			continue
		}
		data := readFile(t, newLog(t), name)
		for at := range data {
			flipped := slices.Clone(data)
			flipped[at] ^= 0x10
			expectDamage(t, newLogWithFile(t, name, flipped), name, 0)
		}
	}
}

// expectDamage checks that Open reports damage in the named file at this offset.
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
