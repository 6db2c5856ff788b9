package storage

import (
	"io"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// DefaultSegmentBytes is the default for Options.SegmentBytes.
const DefaultSegmentBytes = 4 << 20

// Options configure a Store.
type Options struct {
	// Dir is the data folder.
	Dir string
	// Identity identifies the member to which the folder must belong.
	Identity Identity
	// FS is the file system; nil means OS.
	FS FS
	// SegmentBytes is the size in bytes from which on the next record goes into a
	// new segment; zero means DefaultSegmentBytes.
	SegmentBytes int
}

// Stats holds a Store's counters since it was opened.
type Stats struct {
	// Syncs counts syncs of files and of the folder.
	Syncs uint64 `json:"syncs"`
	// Records counts log records written.
	Records uint64 `json:"records"`
	// Entries counts the log entries passed to Save.
	Entries uint64 `json:"entries"`
	// Bytes counts the bytes of the log records written.
	Bytes uint64 `json:"bytes"`
	// Snapshots counts snapshots written.
	Snapshots uint64 `json:"snapshots"`
}

// counter is a counter that Stats may read from any goroutine.
type counter struct{ n atomic.Uint64 }

func (c *counter) add(n uint64) { c.n.Add(n) }

// Store holds the durable state of one member. It is used by one goroutine, except
// that Stats may be called from any.
type Store struct {
	folder
	segmentBytes int
	lock         io.Closer
	// state mirrors the durable state, without the snapshot's Data.
	state raft.DurableState
	// nextSeq is the sequence number of the next record.
	nextSeq uint64
	// tailSegment is the segment that records are appended to, and tailBytes its
	// size.
	tailSegment File
	tailBytes   int
	// failed is the error that all further writes return: the first failure,
	// marked as ErrFailed, or ErrClosed.
	failed error

	records, entries, bytes, snapshots counter
}

// Create creates the data folder of a new member that starts from the given state,
// and opens it. The error matches ErrExists if the folder already holds a member,
// and ErrLocked if another process uses it.
func Create(opts Options, initial raft.DurableState) (*Store, error) {
	s, err := lockFolder(opts)
	if err != nil {
		return nil, err
	}
	if err := s.create(opts.Identity, initial); err != nil {
		return nil, errors.CombineErrors(err, s.closeFiles())
	}
	return s, nil
}

// Open opens the data folder of an existing member and returns its durable state.
// The error matches ErrNotCreated if the folder holds no member and ErrLocked if
// another process uses it. It is an IdentityError if the folder belongs to another
// member, and a DamagedError if entries could be missing.
func Open(opts Options) (*Store, raft.DurableState, error) {
	s, err := lockFolder(opts)
	if err != nil {
		return nil, raft.DurableState{}, err
	}
	state, err := s.open(opts.Identity)
	if err != nil {
		return nil, raft.DurableState{}, errors.CombineErrors(err, s.closeFiles())
	}
	return s, state, nil
}

// Discard removes a member's state from a folder, so that Open fails from then on. It may be called while the folder is
// open, and again after it was interrupted. A nil files means OS.
func Discard(files FS, dir string) error {
	if files == nil {
		files = OS{}
	}
	return folder{fs: files, dir: dir, syncs: &counter{}}.discard()
}

// lockFolder creates the folder if needed, locks it and returns a Store that has
// loaded no state.
func lockFolder(opts Options) (*Store, error) {
	if opts.FS == nil {
		opts.FS = OS{}
	}
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	s := &Store{
		folder:       folder{fs: opts.FS, dir: opts.Dir, syncs: &counter{}},
		segmentBytes: opts.SegmentBytes,
	}
	if err := opts.FS.MkdirAll(opts.Dir); err != nil {
		return nil, errors.Wrapf(err, "create %s", opts.Dir)
	}
	lock, err := opts.FS.Lock(s.path(lockName))
	if err != nil {
		return nil, err
	}
	s.lock = lock
	return s, nil
}

// create writes the identity with Complete unset, then the state, then the identity
// with Complete set. An interrupted creation can therefore be repeated; what it left
// behind is removed first.
func (s *Store) create(id Identity, initial raft.DurableState) error {
	_, exists, err := s.readIdentity()
	if err != nil {
		return err
	}
	if exists {
		return errors.Wrapf(ErrExists, "%s", s.dir)
	}
	if err := s.replaceValue(identityName, identityRecord{Identity: id}); err != nil {
		return err
	}
	if err := s.removeState(); err != nil {
		return err
	}
	s.nextSeq = 1
	s.state = initial
	s.state.Entries = slices.Clone(initial.Entries)
	if err := s.writeCheckpoint(initial.Snapshot); err != nil {
		return err
	}
	return s.replaceValue(identityName, identityRecord{Identity: id, Complete: true})
}

// open checks the folder's identity, loads its state and prepares the log for
// appending.
func (s *Store) open(want Identity) (raft.DurableState, error) {
	got, exists, err := s.readIdentity()
	if err != nil {
		return raft.DurableState{}, err
	}
	if !exists {
		return raft.DurableState{}, errors.Wrapf(ErrNotCreated, "%s", s.dir)
	}
	if got != want {
		return raft.DurableState{}, &IdentityError{Want: want, Got: got}
	}
	l, err := s.load()
	if err != nil {
		return raft.DurableState{}, err
	}
	state := l.state
	state.Entries = slices.Clone(l.state.Entries)
	return state, s.resumeLog(l)
}

// resumeLog prepares the loaded log for appending. It rewrites the whole last
// segment, without a torn end, instead of only syncing it: if a sync failed before
// the restart, the kernel may have marked the unwritten pages as clean, and a new
// sync would succeed without writing them to the disk. What a failed write left is removed
// first, because it may take the room that the segment needs.
func (s *Store) resumeLog(l loadedLog) error {
	s.state = l.state
	s.nextSeq = l.nextSeq
	if err := s.removeTempFiles(); err != nil {
		return err
	}
	// A snapshot without a checkpoint that refers to it was never acknowledged.
	if err := s.removeAbove(snapshotPrefix, l.state.Snapshot.Index); err != nil {
		return err
	}
	if err := s.replaceFile(segmentName(l.lastSegment), l.lastSegmentData); err != nil {
		return err
	}
	s.tailBytes = len(l.lastSegmentData)
	if err := s.openTail(l.lastSegment); err != nil {
		return err
	}
	s.state.Snapshot.Data = nil
	return s.removeOld(l.checkpointSeq)
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	return Stats{
		Syncs:     s.syncs.n.Load(),
		Records:   s.records.n.Load(),
		Entries:   s.entries.n.Load(),
		Bytes:     s.bytes.n.Load(),
		Snapshots: s.snapshots.n.Load(),
	}
}

// Close closes the store and unlocks the folder. It first appends an empty record:
// damage to the record before it is then not mistaken for a torn write. A second
// call does nothing.
func (s *Store) Close() error {
	if errors.Is(s.failed, ErrClosed) {
		return nil
	}
	err := s.failed
	if err == nil {
		err = s.appendRecord(record{})
	}
	s.failed = errors.Mark(ErrClosed, ErrFailed)
	return errors.CombineErrors(err, s.closeFiles())
}

// closeFiles closes the last segment and unlocks the folder.
func (s *Store) closeFiles() error {
	if s.tailSegment != nil {
		s.tailSegment.Close()
	}
	return s.lock.Close()
}
