package replica

import (
	"context"

	"github.com/agateslip/agateslip/raft"
)

// appliedWaiter is a caller of WaitApplied. It waits until the entry at index is
// applied or ctx ends.
type appliedWaiter struct {
	index uint64
	ctx   context.Context
	// done is closed once the entry is applied.
	done chan struct{}
}

// ReadBarrier makes a following read of the state machine linearizable. It has a
// majority confirm that this replica still leads, waits until every entry that was
// committed at the time of the call is applied here, and returns the index of the
// last of these. It returns a NotLeaderError if this replica does not lead or
// loses leadership before the confirmation.
func (r *Replica) ReadBarrier(ctx context.Context) (uint64, error) {
	resultCh := make(chan raft.ReadResult, 1)
	var startErr error
	err := r.runOnOwner(ctx, func() { startErr = r.startReadBarrier(resultCh) })
	if err == nil {
		err = startErr
	}
	if err != nil {
		return 0, err
	}
	select {
	case result := <-resultCh:
		if !result.OK {
			return 0, &NotLeaderError{Leader: r.Status().Leader}
		}
		return result.Index, r.WaitApplied(ctx, result.Index)
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.stopped:
		return 0, ErrStopped
	}
}

// startReadBarrier asks the core for a read barrier, whose result is sent to
// resultCh. It runs on the owner goroutine.
func (r *Replica) startReadBarrier(resultCh chan raft.ReadResult) error {
	r.lastBarrierID++
	requestID := r.lastBarrierID
	var err error
	r.withCore(func(core *raft.Core, now raft.Instant) {
		if err = core.ReadBarrier(requestID, now); err != nil {
			err = r.convertCoreError(core, err)
		}
	})
	if err == nil {
		r.readBarriers[requestID] = resultCh
	}
	return err
}

// completeReadBarriers sends each result to the ReadBarrier call that waits for it.
func (r *Replica) completeReadBarriers(results []raft.ReadResult) {
	for _, result := range results {
		r.readBarriers[result.Request] <- result
		delete(r.readBarriers, result.Request)
	}
}

// WaitApplied waits until this replica has applied the entry at index.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	w := appliedWaiter{index: index, ctx: ctx, done: make(chan struct{})}
	err := r.runOnOwner(ctx, func() {
		r.appliedWaiters = append(r.appliedWaiters, w)
		r.releaseWaiters()
	})
	if err != nil {
		return err
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return ErrStopped
	}
}

// releaseWaiters wakes the waiters whose entry is applied and drops those whose
// context has ended.
func (r *Replica) releaseWaiters() {
	remaining := r.appliedWaiters[:0]
	for _, w := range r.appliedWaiters {
		switch {
		case w.index <= r.applied:
			close(w.done)
		case w.ctx.Err() == nil:
			remaining = append(remaining, w)
		}
	}
	clear(r.appliedWaiters[len(remaining):])
	r.appliedWaiters = remaining
}

// LeaseValid reports whether this replica currently leads under a valid lease, so
// that it may act as the leader without asking a majority. It does not wait for
// the owner goroutine.
func (r *Replica) LeaseValid() bool {
	valid := false
	r.withCore(func(core *raft.Core, now raft.Instant) { valid = core.LeaseValid(now) })
	return valid
}
