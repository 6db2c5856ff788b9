package replica

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/raft"
)

// TestReplacedEntryIsNotAnswered applies another leader's entry at the index of
// a proposal.
func TestReplacedEntryIsNotAnswered(t *testing.T) {
	is := is.New(t)
	p := &proposal{term: 1, outcomeCh: make(chan proposalOutcome, 1)}
	r := &Replica{pending: map[uint64]*proposal{5: p}}
	r.finishProposal(raft.Entry{Index: 5, Term: 2}, "other")
	got := <-p.outcomeCh
	is.True(got.result == nil && errors.Is(got.err, ErrNotProposed))
}

// TestWaitersThatGaveUpAreForgotten checks that retries do not pile up.
func TestWaitersThatGaveUpAreForgotten(t *testing.T) {
	is := is.New(t)
	over, cancel := context.WithCancel(t.Context())
	cancel()
	r := &Replica{applied: 4}
	for _, ctx := range []context.Context{over, t.Context(), over} {
		r.appliedWaiters = append(r.appliedWaiters, appliedWaiter{index: 5, ctx: ctx})
	}
	r.releaseWaiters()
	is.Equal(len(r.appliedWaiters), 1)
}
