package storage

import (
	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// Save makes the hard state, snapshot and entries of an output durable. Without a
// snapshot, entries and hard state take one write and one sync. After an error,
// which matches ErrFailed, the store accepts no more writes and nothing in the output
// may be acknowledged.
func (s *Store) Save(out raft.Output) error {
	if s.failed != nil {
		return s.failed
	}
	if out.Hard == nil && out.Snapshot == nil && len(out.Entries) == 0 {
		return nil
	}
	return s.setFailed(s.saveOutput(out))
}

// saveOutput applies the output to state and writes it to the log, or as a
// checkpoint if it contains a snapshot.
func (s *Store) saveOutput(out raft.Output) error {
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
		return s.writeCheckpoint(*out.Snapshot)
	}
	return s.appendRecord(record{Hard: out.Hard, Entries: out.Entries})
}

// Compact makes a snapshot of the applied state durable and drops the log up to its
// index. It does nothing if the snapshot is not newer than the stored one.
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
	return s.setFailed(s.writeCheckpoint(snapshot))
}

// writeCheckpoint writes the snapshot, then starts a segment with a checkpoint of the
// current hard state and entries, then removes the older segments and snapshots.
func (s *Store) writeCheckpoint(snapshot raft.Snapshot) error {
	if err := s.replaceValue(snapshotName(snapshot.Index), snapshot); err != nil {
		return err
	}
	s.snapshots.add(1)
	snapshot.Data = nil
	s.state.Snapshot = snapshot
	hard := s.state.Hard
	err := s.startSegment(record{
		Checkpoint: true,
		Base:       &snapshotPosition{Index: snapshot.Index, Term: snapshot.Term},
		Hard:       &hard,
		Entries:    s.state.Entries,
	})
	if err != nil {
		return err
	}
	return s.removeOld(s.nextSeq - 1)
}

// startSegment writes a new segment with r as its first record and makes it the
// segment that further records are appended to.
func (s *Store) startSegment(r record) error {
	r.Seq = s.nextSeq
	data, err := encodeFramed(r)
	if err != nil {
		return err
	}
	if err := s.replaceFile(segmentName(r.Seq), data); err != nil {
		return err
	}
	s.countRecord(len(data))
	s.tailBytes = len(data)
	return s.openTail(r.Seq)
}

// openTail opens the segment whose first record has sequence number firstSeq for
// appending, and closes the previous one.
func (s *Store) openTail(firstSeq uint64) error {
	tail, err := s.fs.Append(s.path(segmentName(firstSeq)))
	if err != nil {
		return errors.Wrapf(err, "open %s", segmentName(firstSeq))
	}
	if s.tailSegment != nil {
		s.tailSegment.Close()
	}
	s.tailSegment = tail
	return nil
}

// appendRecord appends a record to the log and syncs it. It starts a new segment if
// the last one has reached segmentBytes.
func (s *Store) appendRecord(r record) error {
	if s.tailBytes >= s.segmentBytes {
		return s.startSegment(r)
	}
	r.Seq = s.nextSeq
	data, err := encodeFramed(r)
	if err != nil {
		return err
	}
	if _, err := s.tailSegment.Write(data); err != nil {
		return errors.Wrap(err, "append to the log")
	}
	s.syncs.add(1)
	if err := s.tailSegment.Sync(); err != nil {
		return errors.Wrap(err, "sync the log")
	}
	s.tailBytes += len(data)
	s.countRecord(len(data))
	return nil
}

// countRecord advances nextSeq and the counters after a record of the given size in
// bytes was written.
func (s *Store) countRecord(size int) {
	s.nextSeq++
	s.records.add(1)
	s.bytes.add(uint64(size))
}

// removeOld removes the segments before the checkpoint with sequence number
// checkpointSeq, and the snapshots older than the current one.
func (s *Store) removeOld(checkpointSeq uint64) error {
	if err := s.removeBelow(segmentPrefix, checkpointSeq); err != nil {
		return err
	}
	return s.removeBelow(snapshotPrefix, s.state.Snapshot.Index)
}

// setFailed makes an error, if any, the result of all further writes and returns it,
// marked as ErrFailed.
func (s *Store) setFailed(err error) error {
	if err != nil {
		s.failed = markDead(err)
	}
	return s.failed
}
