package replica

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// proposal is one entry on its way through the log.
type proposal struct {
	// propose appends the entry; it runs on the owner.
	propose func(core *raft.Core, now raft.Instant) (index, term uint64, err error)
	term    uint64
	// claimed is set once, by the owner that appends the entry or the caller
	// that gives up before.
	claimed atomic.Bool
	done    chan outcome
}

type outcome struct {
	result any
	err    error
}

func (p *proposal) finish(result any, err error) { p.done <- outcome{result: result, err: err} }

// Propose appends a command, waits until it is committed and applied, and
// returns the state machine's result. The error is a NotLeaderError, is marked
// ErrNotProposed where the command was certainly not appended, or ErrUnknown
// where it may still be committed.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.submit(ctx, func(core *raft.Core, now raft.Instant) (uint64, uint64, error) {
		return core.Propose(data, now)
	})
}

// submit queues a proposal and waits for its outcome.
func (r *Replica) submit(ctx context.Context, propose func(*raft.Core, raft.Instant) (uint64, uint64, error)) (any, error) {
	p := &proposal{propose: propose, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, notProposed(ctx.Err())
	case <-r.stopped:
		return nil, notProposed(ErrStopped)
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return p.abandon(ctx.Err())
	case <-r.stopped:
		return p.abandon(ErrStopped)
	}
}

// abandon gives up on a proposal.
func (p *proposal) abandon(cause error) (any, error) {
	if p.claimed.CompareAndSwap(false, true) {
		return nil, notProposed(cause)
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, errors.Mark(errors.Wrap(cause, "wait for the proposal"), ErrUnknown)
	}
}

// propose appends a proposal's entry unless its caller gave up.
func (r *Replica) propose(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	r.withCore(func(core *raft.Core, now raft.Instant) {
		index, term, err := p.propose(core, now)
		if err != nil {
			p.finish(nil, r.refusal(core, err))
			return
		}
		p.term = term
		r.pending[index] = p
	})
}

// refusal converts an error of the core for a caller.
func (r *Replica) refusal(core *raft.Core, err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return errors.Mark(&NotLeaderError{Leader: core.Status().Leader}, ErrNotProposed)
	}
	return notProposed(err)
}

// finishProposal answers the proposer of an applied entry.
func (r *Replica) finishProposal(e raft.Entry, result any) {
	p, ok := r.pending[e.Index]
	if !ok {
		return
	}
	delete(r.pending, e.Index)
	if p.term != e.Term {
		p.finish(nil, notProposed(errors.New("another leader's entry took its place")))
		return
	}
	p.finish(result, nil)
}

// failPending tells the proposers of entries that are not applied that they
// will not learn the outcome.
func (r *Replica) failPending(reason string) {
	for index, p := range r.pending {
		delete(r.pending, index)
		p.finish(nil, unknown(reason))
	}
}
