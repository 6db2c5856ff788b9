package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// flush processes the core's outputs until it has none left, then publishes the
// status and writes a snapshot when one is due.
func (r *Replica) flush() error {
	for {
		out, ok := r.takeOutput()
		if !ok {
			break
		}
		if err := r.processOutput(out); err != nil {
			return err
		}
	}
	status := r.coreStatus()
	if status.Role != raft.Leader {
		r.failPending("leadership was lost")
	}
	r.publishStatus(status)
	r.observer.observe(status, 0, r.now())
	return r.snapshotAndCompact(status)
}

// takeOutput returns the core's next output; ok is false if there is none.
func (r *Replica) takeOutput() (out raft.Output, ok bool) {
	r.withCore(func(core *raft.Core, now raft.Instant) {
		if ok = core.HasOutput(); ok {
			out = core.Take(now)
		}
	})
	return out, ok
}

// coreStatus returns the core's current status.
func (r *Replica) coreStatus() (status raft.Status) {
	r.withCore(func(core *raft.Core, _ raft.Instant) { status = core.Status() })
	return status
}

// processOutput makes an output durable before it sends its messages, applies its
// committed entries and completes its reads.
func (r *Replica) processOutput(out raft.Output) error {
	start := r.now()
	if err := r.cfg.Store.Save(out); err != nil {
		return errors.Wrap(err, "save log")
	}
	r.observer.flushed(r.now()-start, r.now())
	if n := len(out.Entries); n > 0 {
		r.counters.entriesWritten.Add(uint64(n))
		r.withCore(func(core *raft.Core, now raft.Instant) {
			core.Persisted(out.Entries[n-1].Index, now)
		})
	}
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
// delivers the results to their proposers.
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
