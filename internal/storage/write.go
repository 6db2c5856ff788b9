package storage

import (
	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// Save makes the hard state, snapshot and entries of an output durable. Entries
// and hard state take one write and one sync together. On any error the store
// is dead and nothing in the output may be acknowledged.
func (s *Store) Save(out raft.Output) error {
	if s.failed != nil {
		return s.failed
	}
	if out.Hard == nil && out.Snapshot == nil && len(out.Entries) == 0 {
		return nil
	}
	return s.fail(s.save(out))
}

func (s *Store) save(out raft.Output) error {
	if out.Hard != nil {
		s.state.Hard = *out.Hard
	}
	if out.Snapshot != nil {
		s.state.Entries = nil
		s.state.Snapshot.Index = out.Snapshot.Index
	}
	entries, err := appendEntries(s.state.Snapshot.Index, s.state.Entries, out.Entries)
	if err != nil {
		return err
	}
	s.state.Entries = entries
	s.entries.add(uint64(len(out.Entries)))
	if out.Snapshot != nil {
		return s.checkpoint(*out.Snapshot)
	}
	return s.appendRecord(record{Hard: out.Hard, Entries: out.Entries})
}

// Compact makes a snapshot of the applied state durable and drops the log
// before it.
func (s *Store) Compact(snapshot raft.Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	base := s.state.Snapshot.Index
	if snapshot.Index <= base {
		return nil
	}
	if snapshot.Index > base+uint64(len(s.state.Entries)) {
		return errors.AssertionFailedf("snapshot at %d is past the end of the log", snapshot.Index)
	}
	kept := s.state.Entries[snapshot.Index-base:]
	s.state.Entries = append([]raft.Entry(nil), kept...)
	return s.fail(s.checkpoint(snapshot))
}

// checkpoint writes the snapshot, then a segment that starts from it with the
// present hard state and entries, then removes what came before.
func (s *Store) checkpoint(snapshot raft.Snapshot) error {
	if err := s.writeValue(snapshotName(snapshot.Index), snapshot); err != nil {
		return err
	}
	s.snapshots.add(1)
	snapshot.Data = nil
	s.state.Snapshot = snapshot
	hard := s.state.Hard
	err := s.startSegment(record{
		Checkpoint: true,
		Base:       &position{Index: snapshot.Index, Term: snapshot.Term},
		Hard:       &hard,
		Entries:    s.state.Entries,
	})
	if err != nil {
		return err
	}
	return s.removeOld(s.nextSeq - 1)
}

// startSegment writes a new segment with its first record and appends to it
// from then on.
func (s *Store) startSegment(r record) error {
	r.Seq = s.nextSeq
	data, err := encodeFramed(r)
	if err != nil {
		return err
	}
	if err := s.writeFile(segmentName(r.Seq), data); err != nil {
		return err
	}
	s.countRecord(len(data))
	s.size = len(data)
	return s.openTail(r.Seq)
}

func (s *Store) openTail(number uint64) error {
	tail, err := s.fs.Append(s.path(segmentName(number)))
	if err != nil {
		return errors.Wrapf(err, "open %s", segmentName(number))
	}
	if s.tail != nil {
		s.tail.Close()
	}
	s.tail = tail
	return nil
}

// appendRecord writes one record and syncs it.
func (s *Store) appendRecord(r record) error {
	if s.size >= s.segmentBytes {
		return s.startSegment(r)
	}
	r.Seq = s.nextSeq
	data, err := encodeFramed(r)
	if err != nil {
		return err
	}
	if _, err := s.tail.Write(data); err != nil {
		return errors.Wrap(err, "append to the log")
	}
	s.syncs.add(1)
	if err := s.tail.Sync(); err != nil {
		return errors.Wrap(err, "sync the log")
	}
	s.size += len(data)
	s.countRecord(len(data))
	return nil
}

func (s *Store) countRecord(size int) {
	s.nextSeq++
	s.records.add(1)
	s.bytes.add(uint64(size))
}

// removeOld removes the segments before the checkpoint with this sequence
// number, and all snapshots but the one it names.
func (s *Store) removeOld(checkpoint uint64) error {
	if err := s.removeBelow(segmentPrefix, checkpoint); err != nil {
		return err
	}
	return s.removeBelow(snapshotPrefix, s.state.Snapshot.Index)
}

// fail makes the first error final.
func (s *Store) fail(err error) error {
	if err != nil {
		s.failed = deadError(err)
	}
	return s.failed
}
