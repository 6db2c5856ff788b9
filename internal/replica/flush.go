package replica

import (
	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// flush carries out the core's outputs until it has none.
func (r *Replica) flush() error {
	for {
		out, ok := r.take()
		if !ok {
			break
		}
		if err := r.carryOut(out); err != nil {
			return err
		}
	}
	status := r.coreStatus()
	if status.Role != raft.Leader {
		r.failPending("leadership was lost")
	}
	r.publish(status)
	return r.compact(status)
}

func (r *Replica) take() (out raft.Output, ok bool) {
	r.withCore(func(core *raft.Core, now raft.Instant) {
		if ok = core.HasOutput(); ok {
			out = core.Take(now)
		}
	})
	return out, ok
}

func (r *Replica) coreStatus() (status raft.Status) {
	r.withCore(func(core *raft.Core, _ raft.Instant) { status = core.Status() })
	return status
}

// carryOut makes one output durable before anything that depends on it leaves.
func (r *Replica) carryOut(out raft.Output) error {
	if err := r.cfg.Store.Save(out); err != nil {
		return errors.Wrap(err, "save log")
	}
	if n := len(out.Entries); n > 0 {
		r.counters.entries.Add(uint64(n))
		r.withCore(func(core *raft.Core, now raft.Instant) {
			core.Persisted(out.Entries[n-1].Index, now)
		})
	}
	if len(out.Messages) > 0 {
		r.cfg.Transport.Send(out.Messages)
	}
	if out.Snapshot != nil {
		if err := r.restore(*out.Snapshot); err != nil {
			return err
		}
	}
	r.apply(out.Committed)
	r.answerReads(out.Reads)
	return nil
}

// restore replaces the state machine's state by a snapshot from the leader.
func (r *Replica) restore(s raft.Snapshot) error {
	if err := r.cfg.Machine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "restore snapshot at %d", s.Index)
	}
	r.snapshotAt = s.Index
	r.compaction = nil
	r.feed.reset(s)
	r.failPending("a snapshot took the place of the log")
	r.setApplied(s.Index)
	return nil
}

// apply applies committed entries and answers their proposers.
func (r *Replica) apply(entries []raft.Entry) {
	if len(entries) == 0 {
		return
	}
	results := make([]any, len(entries))
	for i, e := range entries {
		results[i] = r.cfg.Machine.Apply(e)
	}
	r.feed.add(entries)
	for i, e := range entries {
		r.finishProposal(e, results[i])
	}
	r.setApplied(entries[len(entries)-1].Index)
}

func (r *Replica) setApplied(index uint64) {
	r.applied = index
	r.counters.applied.Store(index)
	r.withCore(func(core *raft.Core, _ raft.Instant) { core.Applied(index) })
	r.wakeWaiters()
}
