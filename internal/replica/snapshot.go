package replica

import (
	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// maxCompactionDelay is the number of entries that are applied after a snapshot
// before the core drops the log that the snapshot covers. Until then a member that
// is slightly behind still gets entries; a member further behind gets the snapshot.
const maxCompactionDelay = SnapshotInterval / 2

// compactCore drops the core's log up to the latest durable snapshot as soon as
// mayCompact allows it.
func (r *Replica) compactCore(status raft.Status) error {
	if r.pendingCompaction == nil || !r.mayCompact(status) {
		return nil
	}
	s := *r.pendingCompaction
	r.pendingCompaction = nil
	var err error
	r.withCore(func(core *raft.Core, _ raft.Instant) { err = core.Compact(s) })
	return errors.Wrapf(err, "compact the log at index %d", s.Index)
}

// takeSnapshot returns a snapshot of the applied state.
func (r *Replica) takeSnapshot() (*raft.Snapshot, error) {
	data, err := r.cfg.Machine.Snapshot()
	if err != nil {
		return nil, errors.Wrapf(err, "take snapshot at index %d", r.applied)
	}
	var s raft.Snapshot
	r.withCore(func(core *raft.Core, _ raft.Instant) { s, err = core.SnapshotAt(r.applied, data) })
	if err != nil {
		return nil, errors.Wrapf(err, "take snapshot at index %d", r.applied)
	}
	return &s, nil
}

// onSnapshotWritten schedules the compaction of the core's log after the store has written a
// snapshot and dropped its log before that. A snapshot that was received meanwhile replaces s.
func (r *Replica) onSnapshotWritten(s raft.Snapshot) {
	if s.Index <= r.snapshotIndex {
		return
	}
	r.snapshotIndex = s.Index
	r.pendingCompaction = &s
	r.feed.setSnapshot(s)
}

// mayCompact reports whether the core may drop the log that pendingCompaction
// covers: this replica does not lead, every other member already holds that part
// of the log, or maxCompactionDelay entries were applied since the snapshot.
func (r *Replica) mayCompact(status raft.Status) bool {
	if status.Role != raft.Leader || r.applied >= r.pendingCompaction.Index+maxCompactionDelay {
		return true
	}
	for _, match := range status.Match {
		if match < r.pendingCompaction.Index {
			return false
		}
	}
	return true
}
