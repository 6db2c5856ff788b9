package replica

import (
	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// maxCompactionDelay is how many entries the core keeps before a snapshot for
// members that are a little behind; those further behind get the snapshot.
const maxCompactionDelay = SnapshotInterval / 2

// compact writes a snapshot when one is due, and drops the core's log before
// it once the other members hold it, or after maxCompactionDelay.
func (r *Replica) compact(status raft.Status) error {
	if r.applied >= r.snapshotAt+SnapshotInterval {
		if err := r.snapshot(); err != nil {
			return err
		}
	}
	if r.compaction == nil || !r.mayCompact(status) {
		return nil
	}
	s := *r.compaction
	r.compaction = nil
	var err error
	r.withCore(func(core *raft.Core, _ raft.Instant) { err = core.Compact(s) })
	return errors.Wrapf(err, "compact the log at %d", s.Index)
}

// snapshot makes the applied state durable.
func (r *Replica) snapshot() error {
	data, err := r.cfg.Machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "take snapshot at %d", r.applied)
	}
	var s raft.Snapshot
	r.withCore(func(core *raft.Core, _ raft.Instant) { s, err = core.SnapshotAt(r.applied, data) })
	if err != nil {
		return errors.Wrapf(err, "take snapshot at %d", r.applied)
	}
	if err := r.cfg.Store.Compact(s); err != nil {
		return errors.Wrap(err, "save snapshot")
	}
	r.snapshotAt = s.Index
	r.compaction = &s
	r.feed.setSnapshot(s)
	return nil
}

// mayCompact reports whether no member needs the log before the snapshot.
func (r *Replica) mayCompact(status raft.Status) bool {
	if status.Role != raft.Leader || r.applied >= r.compaction.Index+maxCompactionDelay {
		return true
	}
	for _, match := range status.Match {
		if match < r.compaction.Index {
			return false
		}
	}
	return true
}
