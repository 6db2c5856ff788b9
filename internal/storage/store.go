package storage

import (
	"io"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// DefaultSegmentBytes is the size at which a log segment is closed.
const DefaultSegmentBytes = 4 << 20

// Options configure a Store.
type Options struct {
	// Dir is the data folder.
	Dir string
	// Identity is the member that the folder must belong to.
	Identity Identity
	// FS is the file system; nil means that of the operating system.
	FS FS
	// SegmentBytes is the size at which a segment is closed; zero means
	// DefaultSegmentBytes.
	SegmentBytes int
}

// Stats counts a Store's work since it was opened.
type Stats struct {
	// Syncs counts syncs of files and of the folder.
	Syncs uint64 `json:"syncs"`
	// Records counts log records, Entries the log entries in them.
	Records uint64 `json:"records"`
	Entries uint64 `json:"entries"`
	// Bytes counts bytes appended to the log.
	Bytes uint64 `json:"bytes"`
	// Snapshots counts snapshots written.
	Snapshots uint64 `json:"snapshots"`
}

type counter struct{ n atomic.Uint64 }

func (c *counter) add(n uint64) { c.n.Add(n) }

// Store is the durable state of one member. One goroutine uses it; Stats may
// be called from any.
type Store struct {
	folder
	segmentBytes int
	lock         io.Closer
	// state mirrors what is durable; its Snapshot has no Data.
	state   raft.Restored
	nextSeq uint64
	tail    File
	size    int
	failed  error

	records, entries, bytes, snapshots counter
}

// Create makes the folder of a new member that starts from the given state and
// opens it. It returns ErrExists when the folder already holds a member.
func Create(opts Options, initial raft.Restored) (*Store, error) {
	s, err := lockFolder(opts)
	if err != nil {
		return nil, err
	}
	if err := s.create(opts.Identity, initial); err != nil {
		s.lock.Close()
		return nil, err
	}
	return s, nil
}

// Open opens the folder of an existing member and returns its durable state.
// It returns ErrNotCreated for an empty folder, an IdentityError for another
// member's and a DamagedError where entries could be missing.
func Open(opts Options) (*Store, raft.Restored, error) {
	s, err := lockFolder(opts)
	if err != nil {
		return nil, raft.Restored{}, err
	}
	state, err := s.open(opts.Identity)
	if err != nil {
		s.lock.Close()
		return nil, raft.Restored{}, err
	}
	return s, state, nil
}

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

// create writes the identity as incomplete, then the state, then completes the
// identity; an interrupted creation can therefore be repeated.
func (s *Store) create(id Identity, initial raft.Restored) error {
	_, exists, err := s.readIdentity()
	if err != nil {
		return err
	}
	if exists {
		return errors.Wrapf(ErrExists, "%s", s.dir)
	}
	if err := s.writeValue(identityName, identityFile{Identity: id}); err != nil {
		return err
	}
	if err := s.removeBelow(segmentPrefix, ^uint64(0)); err != nil {
		return err
	}
	s.nextSeq = 1
	s.state = initial
	s.state.Entries = slices.Clone(initial.Entries)
	if err := s.checkpoint(initial.Snapshot); err != nil {
		return err
	}
	return s.writeValue(identityName, identityFile{Identity: id, Complete: true})
}

func (s *Store) open(want Identity) (raft.Restored, error) {
	got, exists, err := s.readIdentity()
	if err != nil {
		return raft.Restored{}, err
	}
	if !exists {
		return raft.Restored{}, errors.Wrapf(ErrNotCreated, "%s", s.dir)
	}
	if got != want {
		return raft.Restored{}, &IdentityError{Want: want, Got: got}
	}
	l, err := s.load()
	if err != nil {
		return raft.Restored{}, err
	}
	state := l.state
	state.Entries = slices.Clone(l.state.Entries)
	return state, s.resume(l)
}

// resume rewrites the last segment without its torn end before appending to
// it. Its pages may never have reached the disk, even where a sync now
// succeeds: a sync that failed before the restart has marked them clean.
func (s *Store) resume(l loaded) error {
	s.state = l.state
	s.nextSeq = l.nextSeq
	if err := s.writeFile(segmentName(l.lastSeg), l.lastData); err != nil {
		return err
	}
	s.size = len(l.lastData)
	if err := s.openTail(l.lastSeg); err != nil {
		return err
	}
	s.state.Snapshot.Data = nil
	if err := s.removeTemps(); err != nil {
		return err
	}
	return s.removeOld(l.checkpoint)
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

// Close releases the folder. It first appends an empty record, so that damage
// to the last written one can be told from a torn write.
func (s *Store) Close() error {
	if errors.Is(s.failed, ErrClosed) {
		return nil
	}
	err := s.failed
	if err == nil {
		err = s.appendRecord(record{})
	}
	s.failed = errors.Mark(ErrClosed, ErrDead)
	if s.tail != nil {
		s.tail.Close()
	}
	return errors.CombineErrors(err, s.lock.Close())
}
