package replica

import (
	"context"

	"github.com/agateslip/agateslip/raft"
)

// appliedWaiter waits until an entry is applied, or its caller's context ends.
type appliedWaiter struct {
	index uint64
	ctx   context.Context
	done  chan struct{}
}

// ReadBarrier waits until the state machine holds everything that was committed
// when it was called, which a majority confirms, and returns the index up to
// which that is so. It returns a NotLeaderError on other members.
func (r *Replica) ReadBarrier(ctx context.Context) (uint64, error) {
	answer := make(chan raft.ReadResult, 1)
	var refused error
	err := r.do(ctx, func() { refused = r.startBarrier(answer) })
	if err == nil {
		err = refused
	}
	if err != nil {
		return 0, err
	}
	select {
	case result := <-answer:
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

func (r *Replica) startBarrier(answer chan raft.ReadResult) error {
	r.nextBarrier++
	request := r.nextBarrier
	var err error
	r.withCore(func(core *raft.Core, now raft.Instant) {
		if err = core.ReadBarrier(request, now); err != nil {
			err = r.refusal(core, err)
		}
	})
	if err == nil {
		r.barriers[request] = answer
	}
	return err
}

func (r *Replica) answerReads(results []raft.ReadResult) {
	for _, result := range results {
		r.barriers[result.Request] <- result
		delete(r.barriers, result.Request)
	}
}

// WaitApplied waits until the entry at index is applied here.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	w := appliedWaiter{index: index, ctx: ctx, done: make(chan struct{})}
	err := r.do(ctx, func() {
		r.waiting = append(r.waiting, w)
		r.wakeWaiters()
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

// wakeWaiters releases those whose entry is applied and forgets those who gave
// up.
func (r *Replica) wakeWaiters() {
	kept := r.waiting[:0]
	for _, w := range r.waiting {
		switch {
		case w.index <= r.applied:
			close(w.done)
		case w.ctx.Err() == nil:
			kept = append(kept, w)
		}
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
}

// LeaseValid reports whether this replica may act alone as the leader at this
// moment. It does not wait for the owner goroutine.
func (r *Replica) LeaseValid() bool {
	valid := false
	r.withCore(func(core *raft.Core, now raft.Instant) { valid = core.LeaseValid(now) })
	return valid
}
