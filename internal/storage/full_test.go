package storage_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/faultfs"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

var fullErrors = []error{syscall.ENOSPC, syscall.EDQUOT}

// restart opens the folder as a new process does, or creates it if that was interrupted.
func restart(fs *faultfs.FS) (*storage.Store, raft.DurableState, error) {
	fs.EndProcess()
	s, got, err := storage.Open(options(fs))
	if errors.Is(err, storage.ErrNotCreated) {
		got = initialState()
		s, err = storage.Create(options(fs), got)
	}
	return s, got, err
}

// expectRecovery fills the disk as given, ends the process at the first failed write, or the
// machine if crash is not nil, and restarts the process with no room, too little room and
// enough room. It checks that the folder is never taken for damaged, that what was
// acknowledged is there, and that nothing is left over.
func expectRecovery(t *testing.T, fs *faultfs.FS, cause error, crash *rand.Rand) {
	t.Helper()
	acked, err := workload(fs, cause)
	if !errors.Is(err, cause) {
		t.Fatalf("workload returned %v", err)
	}
	if crash != nil {
		fs.Crash(crash)
	}
	for _, room := range []int{0, 0, 50, 250, 0} {
		fs.Free()
		fs.Fill(room, cause)
		if _, _, err := restart(fs); err != nil && !errors.Is(err, cause) {
			t.Fatalf("opened with room for %d bytes: %v", room, err)
		}
	}
	fs.Free()
	fs.EndProcess()
	if acked.created {
		acked.last = max(acked.last, initialState().Snapshot.Index)
	}
	checkAcknowledged(t, fs, acked, fs.Ops())
	checkTidy(t, fs)
}

// checkTidy checks that an opened and compacted folder contains no temporary file, one
// snapshot and one segment.
func checkTidy(t *testing.T, fs *faultfs.FS) {
	t.Helper()
	is := is.New(t)
	s, got, err := restart(fs)
	is.NoErr(err)
	last := got.Entries[len(got.Entries)-1]
	is.NoErr(s.Compact(raft.Snapshot{Index: last.Index, Term: last.Term, Data: []byte("last")}))
	count := func(part string) int {
		return len(slices.DeleteFunc(fs.Names(), func(name string) bool { return !strings.Contains(name, part) }))
	}
	is.Equal(count(".tmp"), 0)
	is.Equal(count("/snapshot-"), 1)
	is.Equal(count("/wal-"), 1)
	is.NoErr(s.Close())
}

// TestFullDiskLosesNothing gives a workload less room than its files need at their end, by
// each number of bytes.
func TestFullDiskLosesNothing(t *testing.T) {
	is := is.New(t)
	const plenty = 1 << 20
	reference := faultfs.New()
	reference.Fill(plenty, syscall.ENOSPC)
	_, err := workload(reference, nil)
	is.NoErr(err)
	for room := range plenty - reference.Room() {
		cause := fullErrors[room%len(fullErrors)]
		for _, crash := range []*rand.Rand{nil, rand.New(rand.NewPCG(uint64(room), 1))} {
			fs := faultfs.New()
			fs.Fill(room, cause)
			expectRecovery(t, fs, cause, crash)
		}
	}
}

// TestDiskThatRefusesWritesLosesNothing refuses every change, renames and removals too, from
// each operation of a workload on.
func TestDiskThatRefusesWritesLosesNothing(t *testing.T) {
	is := is.New(t)
	reference := faultfs.New()
	_, err := workload(reference, nil)
	is.NoErr(err)
	for op := range reference.Ops() {
		for _, cause := range append(fullErrors, syscall.EIO) {
			for _, crash := range []*rand.Rand{nil, rand.New(rand.NewPCG(uint64(op), 2))} {
				fs := faultfs.New()
				fs.FailFrom(op, cause)
				expectRecovery(t, fs, cause, crash)
			}
		}
	}
}

// TestOpenedLogIsDurableAfterFailures fails one operation of a workload and one of the Open after
// it. What the next Open returns must outlast a loss of power: it may be acknowledged.
func TestOpenedLogIsDurableAfterFailures(t *testing.T) {
	is := is.New(t)
	reference := faultfs.New()
	_, err := workload(reference, nil)
	is.NoErr(err)
	const openOps = 12 // more than any Open of the workload's folder takes
	for op := range reference.Ops() {
		for opened := range openOps {
			fs := faultfs.New()
			fs.FailAt(op, syscall.ENOSPC)
			_, err := workload(fs, syscall.ENOSPC)
			is.True(errors.Is(err, syscall.ENOSPC))
			fs.FailAt(fs.Ops()+opened, syscall.EDQUOT)
			if _, _, err := restart(fs); err != nil {
				is.True(errors.Is(err, syscall.EDQUOT))
			}
			fs.Free()
			_, found, err := restart(fs)
			is.NoErr(err)
			fs.Crash(rand.New(rand.NewPCG(uint64(op), uint64(opened))))
			_, again, err := restart(fs)
			is.NoErr(err)
			if !equalState(found, again) {
				t.Fatalf("operations %d and %d failed: opened %+v, after the loss of power %+v", op, opened, found, again)
			}
		}
	}
}

// TestLogOpensWithoutRoomForLeftovers fills the disk while a snapshot is written, and opens the log with room
// only for its last segment beside the files that are in use. Files that the failed snapshot left must not take it.
func TestLogOpensWithoutRoomForLeftovers(t *testing.T) {
	is := is.New(t)
	const snapshotBytes = 2000
	for room := range snapshotBytes + 1000 {
		fs := newLog(t)
		s, got, err := storage.Open(options(fs))
		is.NoErr(err)
		names := segmentNames(fs)
		free := len(readFile(t, fs, names[len(names)-1]))
		last := got.Entries[len(got.Entries)-1]
		fs.Fill(free+room, syscall.ENOSPC)
		err = s.Compact(raft.Snapshot{Index: last.Index, Term: last.Term, Data: make([]byte, snapshotBytes)})
		if err == nil {
			is.True(free+room > snapshotBytes)
			continue
		}
		is.True(errors.Is(err, syscall.ENOSPC))
		_, again, err := restart(fs)
		if err != nil {
			t.Fatalf("room for %d bytes beside the last segment: %v", room, err)
		}
		is.True(equalState(got, again))
	}
}

// TestFailedOpenClosesItsFiles fails each operation of Create and Open. A node tries again and again while its disk
// has no room; files that it removes but keeps open would hold the room, and use up its descriptors.
func TestFailedOpenClosesItsFiles(t *testing.T) {
	attempts := map[string]func(fs *faultfs.FS) (*storage.Store, error){
		"create": func(fs *faultfs.FS) (*storage.Store, error) { return storage.Create(options(fs), initialState()) },
		"open": func(fs *faultfs.FS) (*storage.Store, error) {
			s, _, err := storage.Open(options(fs))
			return s, err
		},
	}
	for name, attempt := range attempts {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			failures := 0
			for op := 0; ; op++ {
				fs := faultfs.New()
				if name == "open" {
					fs = newLog(t)
					fs.Put(dir+"/wal-00000000000000000001", nil) // left by a compaction
				}
				fs.FailAt(fs.Ops()+op, syscall.ENOSPC)
				s, err := attempt(fs)
				if err == nil {
					fs.Free()
					is.NoErr(s.Close())
					is.Equal(fs.OpenFiles(), 0)
					break
				}
				failures++
				if fs.OpenFiles() != 0 {
					t.Fatalf("operation %d: %d files are open after %v", op, fs.OpenFiles(), err)
				}
			}
			is.True(failures > 5)
		})
	}
}
