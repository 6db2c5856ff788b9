package storage

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// loadedLog is the durable state read from a folder.
type loadedLog struct {
	state raft.DurableState
	// nextSeq is the sequence number of the next record to write.
	nextSeq uint64
	// checkpointSeq is the sequence number of the checkpoint record from which the
	// replay began; it also names that record's segment.
	checkpointSeq uint64
	// lastSegment is the sequence number of the first record of the segment to
	// append to, and lastSegmentData is the segment's contents without a torn end.
	lastSegment     uint64
	lastSegmentData []byte
}

// load reads the durable state by replaying the log from its newest checkpoint.
func (f folder) load() (loadedLog, error) {
	numbers, err := f.listNumbers(segmentPrefix)
	if err != nil {
		return loadedLog{}, err
	}
	if len(numbers) == 0 {
		return loadedLog{}, &DamagedError{File: f.path(segmentPrefix), Reason: "no segment found"}
	}
	segments, err := f.scanFromCheckpoint(numbers)
	if err != nil {
		return loadedLog{}, err
	}
	return f.replay(segments)
}

// scanFromCheckpoint reads segments from the newest backwards until one starts with
// a checkpoint, and returns them oldest first. It ignores older segments, which an
// interrupted compaction left behind.
func (f folder) scanFromCheckpoint(numbers []uint64) ([]segment, error) {
	var segments []segment
	for i := len(numbers) - 1; i >= 0; i-- {
		s, err := f.scanSegment(numbers[i], i == len(numbers)-1)
		if err != nil {
			return nil, err
		}
		if err := checkContiguous(s, segments); err != nil {
			return nil, err
		}
		segments = append([]segment{s}, segments...)
		if s.records[0].Checkpoint {
			return segments, nil
		}
	}
	return nil, segments[0].missingPredecessor()
}

// checkContiguous returns a DamagedError unless the record after the end of s is the
// first one in later, which holds the segments after s, oldest first.
func checkContiguous(s segment, later []segment) error {
	if len(later) == 0 {
		return nil
	}
	end := s.records[0].Seq + uint64(len(s.records))
	if later[0].records[0].Seq == end {
		return nil
	}
	return later[0].missingPredecessor()
}

// missingPredecessor returns the DamagedError for records missing before s.
func (s *segment) missingPredecessor() error {
	return &DamagedError{File: s.file, Reason: "the records before this segment are missing"}
}

// replay builds the durable state from the segments' records and the snapshot that
// the first record, a checkpoint, refers to.
func (f folder) replay(segments []segment) (loadedLog, error) {
	var l loadedLog
	first := segments[0].records[0]
	if first.Base == nil {
		return l, &DamagedError{File: segments[0].file, Reason: "checkpoint without a snapshot"}
	}
	l.state.Snapshot = raft.Snapshot{Index: first.Base.Index, Term: first.Base.Term}
	for _, s := range segments {
		for _, r := range s.records {
			if err := l.applyRecord(r); err != nil {
				return l, &DamagedError{File: s.file, Reason: err.Error()}
			}
		}
	}
	l.checkpointSeq = first.Seq
	last := segments[len(segments)-1]
	l.lastSegment = last.records[0].Seq
	l.lastSegmentData = last.data[:last.intactBytes]
	return l, f.loadSnapshot(&l)
}

// applyRecord updates the state with the hard state and entries of a record.
func (l *loadedLog) applyRecord(r record) error {
	l.nextSeq = r.Seq + 1
	if r.Hard != nil {
		l.state.Hard = *r.Hard
	}
	entries, err := appendEntries(l.state.Snapshot.Index, l.state.Entries, r.Entries)
	l.state.Entries = entries
	return err
}

// loadSnapshot reads the snapshot whose index and term are in l's state, and stores
// it there.
func (f folder) loadSnapshot(l *loadedLog) error {
	want := l.state.Snapshot
	name := snapshotName(want.Index)
	var snapshot raft.Snapshot
	err := f.readValue(name, &snapshot)
	if errors.Is(err, fs.ErrNotExist) {
		return &DamagedError{File: f.path(name), Reason: "snapshot that the log starts from is missing"}
	}
	if err != nil {
		return err
	}
	if snapshot.Index != want.Index || snapshot.Term != want.Term {
		return &DamagedError{File: f.path(name), Reason: "snapshot's index or term does not match the log"}
	}
	l.state.Snapshot = snapshot
	return nil
}

// appendEntries drops the log's entries from the first new entry's index on and
// appends the new entries. base is the index of the snapshot that the log follows.
// It returns an error if the new entries would leave a gap or start at or before
// base.
func appendEntries(base uint64, log, entries []raft.Entry) ([]raft.Entry, error) {
	if len(entries) == 0 {
		return log, nil
	}
	first := entries[0].Index
	end := base + uint64(len(log)) + 1
	if first <= base || first > end {
		return log, errors.Newf("entry %d does not follow a log of entries %d to %d", first, base+1, end-1)
	}
	keptCount := first - base - 1
	return append(log[:keptCount], entries...), nil
}
