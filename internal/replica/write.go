package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// write is what one goroutine makes durable while the owner goes on: the state of an output and
// then, if one is due, a snapshot.
type write struct {
	out       raft.Output
	snapshot  *raft.Snapshot
	startedAt time.Duration
	// saved is set once the output's state is durable.
	saved bool
}

// writeResult reports that a step of the current write has ended.
type writeResult struct {
	// last is set if no further step follows.
	last bool
	took time.Duration
	err  error
}

// takeOutput takes the core's next output and starts a write if that has state, or if a snapshot is
// due. It reports false if there is nothing to do. No other write may be running.
func (r *Replica) takeOutput() (taken bool, err error) {
	var out raft.Output
	hasState := false
	r.withCore(func(core *raft.Core, now raft.Instant) {
		if taken = core.HasOutput(); taken {
			hasState = core.NeedsWrite()
			out = core.Take(now)
		}
	})
	w := &write{startedAt: r.now()}
	if hasState {
		// The messages are sent once the state is durable.
		w.out, out.Messages = out, nil
	}
	if err := r.process(out); err != nil {
		return false, err
	}
	if r.applied >= r.snapshotIndex+SnapshotInterval {
		// What is applied is part of this write or durable already.
		if w.snapshot, err = r.takeSnapshot(); err != nil {
			return false, err
		}
	}
	if hasState || w.snapshot != nil {
		r.current = w
		go r.runWrite(w.out, w.snapshot)
		taken = true
	}
	return taken, nil
}

// runWrite carries out the steps of a write and reports the end of each.
func (r *Replica) runWrite(out raft.Output, snapshot *raft.Snapshot) {
	start := r.now()
	err := r.cfg.Store.Save(out)
	last := err != nil || snapshot == nil
	r.written <- writeResult{last: last, took: r.now() - start, err: errors.Wrap(err, "save log")}
	if last {
		return
	}
	start = r.now()
	err = r.cfg.Store.Compact(*snapshot)
	r.written <- writeResult{last: true, took: r.now() - start, err: errors.Wrap(err, "save snapshot")}
}

// onWritten handles the end of a step of the current write. It returns the error of the store, after
// which no write follows.
func (r *Replica) onWritten(result writeResult) error {
	w := r.current
	if result.last {
		r.current = nil
	}
	if result.err != nil {
		return result.err
	}
	r.observer.flushed(result.took, r.now())
	if !w.saved {
		w.saved = true
		r.onSaved(w.out)
	}
	if result.last && w.snapshot != nil {
		r.onSnapshotWritten(*w.snapshot)
	}
	return nil
}

// onSaved tells the core that the state of an output is durable and sends the messages that waited
// for it.
func (r *Replica) onSaved(out raft.Output) {
	durable := uint64(0)
	if n := len(out.Entries); n > 0 {
		r.counters.entriesWritten.Add(uint64(n))
		durable = out.Entries[n-1].Index
	}
	r.withCore(func(core *raft.Core, now raft.Instant) { core.Persisted(durable, now) })
	if len(out.Messages) > 0 {
		r.cfg.Transport.Send(out.Messages)
	}
}

// writingFor returns how long the current write has taken, or zero if there is none.
func (r *Replica) writingFor() time.Duration {
	if r.current == nil {
		return 0
	}
	return r.now() - r.current.startedAt
}

// awaitWrite waits for the current write to end: the store must not be closed before.
func (r *Replica) awaitWrite() {
	for r.current != nil && !(<-r.written).last {
	}
}
