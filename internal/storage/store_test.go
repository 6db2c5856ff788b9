package storage_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/faultfs"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

const dir = "/data"

var self = storage.Identity{Group: "g", Member: 1}

// initialState returns the state of a founding member before any entry.
func initialState() raft.DurableState {
	return raft.DurableState{Snapshot: raft.Snapshot{
		Index: 1, Term: 1, Members: raft.Members{Voters: []raft.MemberID{1, 2, 3}}, Data: []byte("zero"),
	}}
}

func options(fs storage.FS) storage.Options {
	return storage.Options{Dir: dir, Identity: self, FS: fs, SegmentBytes: 300}
}

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

// save saves the entries first to last of the given term with one call.
func save(s *storage.Store, term, first, last uint64) error {
	out := raft.Output{Hard: &raft.HardState{Term: term, Vote: 1}}
	for i := first; i <= last; i++ {
		out.Entries = append(out.Entries, entry(i, term))
	}
	return s.Save(out)
}

// TestReopen checks that Open returns saved, overwritten and compacted entries.
func TestReopen(t *testing.T) {
	is := is.New(t)
	opts := storage.Options{Dir: t.TempDir(), Identity: self, SegmentBytes: 300}
	s, err := storage.Create(opts, initialState())
	is.NoErr(err)
	for i := uint64(2); i <= 30; i += 2 {
		is.NoErr(save(s, 1, i, i+1))
	}
	is.NoErr(save(s, 2, 20, 21)) // replaces entries 20 to 31
	_, _, err = storage.Open(opts)
	is.True(errors.Is(err, storage.ErrLocked))
	is.NoErr(s.Close())

	s, got, err := storage.Open(opts)
	is.NoErr(err)
	is.Equal(got.Hard, raft.HardState{Term: 2, Vote: 1})
	is.Equal(got.Snapshot, initialState().Snapshot)
	is.Equal(len(got.Entries), 20)
	is.Equal(got.Entries[18], entry(20, 2))
	is.NoErr(s.Compact(raft.Snapshot{Index: 15, Term: 1, Data: []byte("fifteen")}))
	is.NoErr(save(s, 2, 22, 22))
	is.NoErr(s.Close())

	s, got, err = storage.Open(opts)
	is.NoErr(err)
	is.Equal(string(got.Snapshot.Data), "fifteen")
	is.Equal(len(got.Entries), 7)
	is.Equal(got.Entries[0], entry(16, 1))
	is.NoErr(s.Close())
}

// TestSaveSnapshotReplacesLog saves a received snapshot together with a later entry.
// It must replace the whole log.
func TestSaveSnapshotReplacesLog(t *testing.T) {
	is := is.New(t)
	fs := faultfs.New()
	s, err := storage.Create(options(fs), initialState())
	is.NoErr(err)
	is.NoErr(save(s, 1, 2, 9))
	snapshot := raft.Snapshot{Index: 50, Term: 3, Data: []byte("fifty")}
	is.NoErr(s.Save(raft.Output{
		Hard: &raft.HardState{Term: 4}, Snapshot: &snapshot, Entries: []raft.Entry{entry(51, 4)},
	}))
	fs.Crash(nil)
	_, got, err := storage.Open(options(fs))
	is.NoErr(err)
	is.Equal(got.Snapshot, snapshot)
	is.Equal(got.Hard.Term, uint64(4))
	is.Equal(got.Entries, []raft.Entry{entry(51, 4)})
}

func TestIdentityIsChecked(t *testing.T) {
	is := is.New(t)
	fs := faultfs.New()
	_, _, err := storage.Open(options(fs))
	is.True(errors.Is(err, storage.ErrNotCreated)) // Open never creates a member on an empty disk

	s, err := storage.Create(options(fs), initialState())
	is.NoErr(err)
	is.NoErr(s.Close())
	_, err = storage.Create(options(fs), initialState())
	is.True(errors.Is(err, storage.ErrExists))

	other := options(fs)
	other.Identity.Member = 2
	_, _, err = storage.Open(other)
	var mismatch *storage.IdentityError
	is.True(errors.As(err, &mismatch))
	is.Equal(mismatch.Got, self)

	is.NoErr(fs.Remove(filepath.Join(dir, "IDENTITY")))
	_, err = storage.Create(options(fs), initialState())
	var damaged *storage.DamagedError
	is.True(errors.As(err, &damaged)) // Create does not overwrite a log without identity
}

// TestStoreIsDeadAfterFailure makes each file operation of a workload fail in turn. The
// store must accept no write after that, although the disk works again, and keep
// everything that it acknowledged before.
func TestStoreIsDeadAfterFailure(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		testFailureAtEachOperation(t, func(fs *faultfs.FS, op int) { fs.FailAt(op, cause) }, cause)
	}
}

// TestCrashKeepsAcknowledgedEntries kills the process at each file operation of a
// workload. A random part of the unsynced data survives.
func TestCrashKeepsAcknowledgedEntries(t *testing.T) {
	testFailureAtEachOperation(t, func(fs *faultfs.FS, op int) { fs.DieAt(op) }, nil)
}

// testFailureAtEachOperation runs the workload once per file operation and seed, with a
// fault injected at that operation, then crashes and checks the reopened store. cause
// is the error that the store must report; nil if any.
func testFailureAtEachOperation(t *testing.T, inject func(*faultfs.FS, int), cause error) {
	t.Helper()
	is := is.New(t)
	reference := faultfs.New()
	_, err := workload(reference, nil)
	is.NoErr(err)
	for op := range reference.Ops() {
		for seed := range uint64(4) {
			fs := faultfs.New()
			inject(fs, op)
			acked, err := workload(fs, cause)
			is.True(err != nil) // the failed operation is reported
			fs.Crash(rand.New(rand.NewPCG(seed, uint64(op))))
			checkAcknowledged(t, fs, acked, op)
		}
	}
}

// acknowledged holds what the store acknowledged during a workload.
type acknowledged struct {
	created bool
	// last is the index of the last saved entry.
	last uint64
}

// workload creates a store, saves entries, compacts and reopens it. It stops at the
// first error, and checks that the store is dead if that came from a save or compact.
func workload(fs *faultfs.FS, cause error) (acknowledged, error) {
	var acked acknowledged
	s, err := storage.Create(options(fs), initialState())
	if err != nil {
		return acked, err
	}
	acked.created = true
	for i := uint64(2); i <= 40; i++ {
		if err := saveAndCompact(s, i); err != nil {
			return acked, checkDead(s, err, cause)
		}
		acked.last = i
		if i%15 != 0 {
			continue
		}
		if err := s.Close(); err != nil {
			return acked, err
		}
		if s, _, err = storage.Open(options(fs)); err != nil {
			return acked, err
		}
	}
	return acked, s.Close()
}

// saveAndCompact saves the entry at index i, and compacts the log at every eighth.
func saveAndCompact(s *storage.Store, i uint64) error {
	if err := save(s, 1, i, i); err != nil {
		return err
	}
	if i%8 != 0 {
		return nil
	}
	return s.Compact(raft.Snapshot{Index: i - 2, Term: 1, Data: fmt.Appendf(nil, "%d", i-2)})
}

// checkDead panics unless err matches ErrFailed and the store rejects further writes. It
// returns err, or an assertion error if err does not match cause.
func checkDead(s *storage.Store, err, cause error) error {
	if cause != nil && !errors.Is(err, cause) {
		return errors.AssertionFailedf("cause is lost: %v", err)
	}
	again := save(s, 1, 41, 41)
	if !errors.Is(err, storage.ErrFailed) || !errors.Is(again, storage.ErrFailed) {
		panic("a failed store accepted a write")
	}
	return err
}

// checkAcknowledged reopens the store after a crash at operation op and checks that it
// holds all acknowledged entries, at most one more, and accepts writes.
func checkAcknowledged(t *testing.T, fs *faultfs.FS, acked acknowledged, op int) {
	t.Helper()
	is := is.New(t)
	s, got, err := storage.Open(options(fs))
	if !acked.created && errors.Is(err, storage.ErrNotCreated) {
		s, err = storage.Create(options(fs), initialState()) // an interrupted Create can be repeated
		got = initialState()
	}
	if err != nil {
		t.Fatalf("operation %d: %v", op, err)
	}
	end := got.Snapshot.Index + uint64(len(got.Entries))
	if end < acked.last || end > acked.last+1 {
		t.Fatalf("operation %d: log ends at %d, acknowledged up to %d", op, end, acked.last)
	}
	for i, e := range got.Entries {
		is.Equal(e, entry(got.Snapshot.Index+1+uint64(i), 1))
	}
	is.NoErr(save(s, 1, end+1, end+1))
}
