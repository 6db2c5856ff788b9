package storage

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// loaded is the durable state as read from a folder.
type loaded struct {
	state   raft.Restored
	nextSeq uint64
	// checkpoint is the segment from which the replay began.
	checkpoint uint64
	// lastSeg is the segment to append to, lastData its intact contents.
	lastSeg  uint64
	lastData []byte
}

// load replays the log from its newest checkpoint.
func (f folder) load() (loaded, error) {
	numbers, err := f.numbered(segmentPrefix)
	if err != nil {
		return loaded{}, err
	}
	if len(numbers) == 0 {
		return loaded{}, &DamagedError{File: f.path(segmentPrefix), Reason: "no segment found"}
	}
	segments, err := f.scanFromCheckpoint(numbers)
	if err != nil {
		return loaded{}, err
	}
	return f.replay(segments)
}

// scanFromCheckpoint reads segments backwards until one starts with a
// checkpoint; older ones are leftovers of an interrupted compaction. They are
// returned oldest first.
func (f folder) scanFromCheckpoint(numbers []uint64) ([]segment, error) {
	var segments []segment
	for i := len(numbers) - 1; i >= 0; i-- {
		s, err := f.scanSegment(numbers[i], i == len(numbers)-1)
		if err != nil {
			return nil, err
		}
		if err := checkFollows(s, segments); err != nil {
			return nil, err
		}
		segments = append([]segment{s}, segments...)
		if s.records[0].Checkpoint {
			return segments, nil
		}
	}
	return nil, segments[0].missing()
}

// checkFollows checks that the segment ends where the next one starts.
func checkFollows(s segment, later []segment) error {
	if len(later) == 0 {
		return nil
	}
	end := s.records[0].Seq + uint64(len(s.records))
	if later[0].records[0].Seq == end {
		return nil
	}
	return later[0].missing()
}

func (s *segment) missing() error {
	return &DamagedError{File: s.file, Reason: "the records before this segment are missing"}
}

// replay applies the records to the snapshot that their checkpoint names.
func (f folder) replay(segments []segment) (loaded, error) {
	var l loaded
	first := segments[0].records[0]
	if first.Base == nil {
		return l, &DamagedError{File: segments[0].file, Reason: "checkpoint without a snapshot"}
	}
	l.state.Snapshot = raft.Snapshot{Index: first.Base.Index, Term: first.Base.Term}
	for _, s := range segments {
		for _, r := range s.records {
			if err := l.apply(r); err != nil {
				return l, &DamagedError{File: s.file, Reason: err.Error()}
			}
		}
	}
	l.checkpoint = first.Seq
	last := segments[len(segments)-1]
	l.lastSeg = last.records[0].Seq
	l.lastData = last.data[:last.intact]
	return l, f.loadSnapshot(&l)
}

// apply applies one record to the state.
func (l *loaded) apply(r record) error {
	l.nextSeq = r.Seq + 1
	if r.Hard != nil {
		l.state.Hard = *r.Hard
	}
	entries, err := appendEntries(l.state.Snapshot.Index, l.state.Entries, r.Entries)
	l.state.Entries = entries
	return err
}

// loadSnapshot reads the snapshot that the log follows.
func (f folder) loadSnapshot(l *loaded) error {
	want := l.state.Snapshot
	name := snapshotName(want.Index)
	var snapshot raft.Snapshot
	err := f.readValue(name, &snapshot)
	if errors.Is(err, fs.ErrNotExist) {
		return &DamagedError{File: f.path(name), Reason: "the snapshot before the log is missing"}
	}
	if err != nil {
		return err
	}
	if snapshot.Index != want.Index || snapshot.Term != want.Term {
		return &DamagedError{File: f.path(name), Reason: "snapshot does not match the log"}
	}
	l.state.Snapshot = snapshot
	return nil
}

// appendEntries cuts the log from the first new entry on and appends the new
// ones. base is the index of the snapshot before the log.
func appendEntries(base uint64, log, entries []raft.Entry) ([]raft.Entry, error) {
	if len(entries) == 0 {
		return log, nil
	}
	first := entries[0].Index
	end := base + uint64(len(log)) + 1
	if first <= base || first > end {
		return log, errors.Newf("entry %d does not follow a log of entries %d to %d", first, base+1, end-1)
	}
	keep := first - base - 1
	return append(log[:keep], entries...), nil
}
