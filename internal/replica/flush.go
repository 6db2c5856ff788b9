package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// flush carries out the core's outputs. State is written in the background, one write at a
// time; meanwhile messages that don't depend on it are sent, and committed entries are
// applied. flush then publishes the status.
func (r *Replica) flush() error {
	for {
		out := r.takeUnblocked()
		if err := r.process(out); err != nil {
			return err
		}
		if r.current != nil {
			if len(out.Messages)+len(out.Committed)+len(out.Reads) == 0 {
				break
			}
			continue
		}
		more, err := r.takeOutput()
		if err != nil {
			return err
		}
		if !more {
			break
		}
	}
	status := r.coreStatus()
	if status.Role != raft.Leader {
		r.failPending("leadership was lost")
	}
	r.publishStatus(status)
	r.observer.observe(status, r.writingFor(), r.now())
	return r.compactCore(status)
}

// takeUnblocked returns what the core asks for that needs no write.
func (r *Replica) takeUnblocked() (out raft.Output) {
	r.withCore(func(core *raft.Core, now raft.Instant) { out = core.TakeUnblocked(now, r.current != nil) })
	return out
}

// coreStatus returns the core's current status.
func (r *Replica) coreStatus() (status raft.Status) {
	r.withCore(func(core *raft.Core, _ raft.Instant) { status = core.Status() })
	return status
}

// process restores a received snapshot, sends messages, applies committed entries and completes
// reads. The messages must not depend on state that is not durable.
func (r *Replica) process(out raft.Output) error {
	if len(out.Messages) > 0 {
		r.cfg.Transport.Send(out.Messages)
	}
	if out.Snapshot != nil {
		if err := r.restoreSnapshot(*out.Snapshot); err != nil {
			return err
		}
	}
	r.applyCommitted(out.Committed)
	r.completeReadBarriers(out.Reads)
	return nil
}

// restoreSnapshot replaces the state machine's state with a snapshot from the
// leader. Pending proposals fail with ErrOutcomeUnknown, because this
// replica cannot tell whether the snapshot includes their entries.
func (r *Replica) restoreSnapshot(s raft.Snapshot) error {
	if err := r.cfg.Machine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "restore snapshot at index %d", s.Index)
	}
	r.snapshotIndex = s.Index
	r.pendingCompaction = nil
	r.feed.reset(s)
	r.failPending("a snapshot took the place of the log")
	r.setApplied(s.Index)
	return nil
}

// applyCommitted applies committed entries, adds them to the feed, and then
// delivers the results to their proposers. They are durable on a majority of the
// members, but not necessarily on this one.
func (r *Replica) applyCommitted(entries []raft.Entry) {
	if len(entries) == 0 {
		return
	}
	start := r.clock()
	results := make([]any, len(entries))
	for i, e := range entries {
		results[i] = r.cfg.Machine.Apply(e)
	}
	r.logSlowApply(len(entries), r.clock()-start)
	r.feed.add(entries)
	for i, e := range entries {
		r.finishProposal(e, results[i])
	}
	r.setApplied(entries[len(entries)-1].Index)
}

// logSlowApply logs a batch of entries whose application held up the heartbeats.
func (r *Replica) logSlowApply(entries int, took time.Duration) {
	if took < r.cfg.Raft.Heartbeat {
		return
	}
	r.cfg.Log.WithField("entries", entries).WithField("millis", took.Milliseconds()).
		Info("slow application of entries")
}

// setApplied records the index of the last applied entry, tells the core, and
// releases the callers that wait for it.
func (r *Replica) setApplied(index uint64) {
	r.applied = index
	r.counters.appliedIndex.Store(index)
	r.withCore(func(core *raft.Core, _ raft.Instant) { core.Applied(index) })
	r.releaseWaiters()
}
