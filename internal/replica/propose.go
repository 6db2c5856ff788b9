package replica

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// proposal is an entry to append, together with its waiting caller.
type proposal struct {
	// appendEntry appends the entry to the core's log and returns its position. It
	// runs on the owner goroutine.
	appendEntry func(core *raft.Core, now raft.Instant) (index, term uint64, err error)
	// term is the term in which the entry was appended.
	term uint64
	// claimed is set once: by the owner before it appends the entry, or by the
	// caller if it gives up first.
	claimed atomic.Bool
	// outcomeCh receives the only outcome. It has room for one, so that the owner
	// never blocks on a caller that gave up.
	outcomeCh chan proposalOutcome
}

// proposalOutcome is the state machine's result for an entry, or an error.
type proposalOutcome struct {
	result any
	err    error
}

// finish delivers the outcome to the caller. It is called once per proposal.
func (p *proposal) finish(result any, err error) {
	p.outcomeCh <- proposalOutcome{result: result, err: err}
}

// Propose appends a command to the log, waits until it is committed and applied,
// and returns the state machine's result. The error matches ErrNotProposed if the
// command will not be committed, and is then a NotLeaderError if this replica does
// not lead; it matches ErrOutcomeUnknown if the command may still be committed.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.submit(ctx, func(core *raft.Core, now raft.Instant) (uint64, uint64, error) {
		return core.Propose(data, now)
	})
}

// submit queues a proposal for the owner goroutine and waits for its outcome.
func (r *Replica) submit(ctx context.Context, appendEntry func(*raft.Core, raft.Instant) (uint64, uint64, error)) (any, error) {
	p := &proposal{appendEntry: appendEntry, outcomeCh: make(chan proposalOutcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, notProposed(ctx.Err())
	case <-r.stopped:
		return nil, notProposed(ErrStopped)
	}
	select {
	case outcome := <-p.outcomeCh:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return p.abandon(ctx.Err())
	case <-r.stopped:
		return p.abandon(ErrStopped)
	}
}

// abandon ends the wait for a proposal. The error matches ErrNotProposed if the
// owner has not claimed the proposal yet, which it then never appends; otherwise
// abandon returns the outcome if there is one, or an error that matches
// ErrOutcomeUnknown.
func (p *proposal) abandon(cause error) (any, error) {
	if p.claimed.CompareAndSwap(false, true) {
		return nil, notProposed(cause)
	}
	select {
	case outcome := <-p.outcomeCh:
		return outcome.result, outcome.err
	default:
		return nil, errors.Mark(errors.Wrap(cause, "wait for the proposal"), ErrOutcomeUnknown)
	}
}

// appendProposal appends a proposal's entry unless its caller gave up, and adds the
// proposal to pending.
func (r *Replica) appendProposal(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	r.withCore(func(core *raft.Core, now raft.Instant) {
		index, term, err := p.appendEntry(core, now)
		if err != nil {
			p.finish(nil, r.convertCoreError(core, err))
			return
		}
		p.term = term
		r.pending[index] = p
	})
}

// convertCoreError marks an error of the core as ErrNotProposed and turns
// raft.ErrNotLeader into a NotLeaderError.
func (r *Replica) convertCoreError(core *raft.Core, err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return errors.Mark(&NotLeaderError{Leader: core.Status().Leader}, ErrNotProposed)
	}
	return notProposed(err)
}

// finishProposal delivers the result of an applied entry to its proposer, if this
// replica has one at that index. If the applied entry has another term, it replaced
// the proposer's entry, and the proposer gets ErrNotProposed.
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

// failPending fails all proposals whose entries are not applied with ErrOutcomeUnknown:
// this replica cannot tell whether they will be committed.
func (r *Replica) failPending(reason string) {
	for index, p := range r.pending {
		delete(r.pending, index)
		p.finish(nil, unknownOutcome(reason))
	}
}
