package replica

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/raft"
)

// TestReplacedEntryFailsProposal applies another leader's entry at the index of a
// proposal. The proposer must not receive the other entry's result.
func TestReplacedEntryFailsProposal(t *testing.T) {
	is := is.New(t)
	p := &proposal{term: 1, outcomeCh: make(chan proposalOutcome, 1)}
	r := &Replica{pending: map[uint64]*proposal{5: p}}
	r.finishProposal(raft.Entry{Index: 5, Term: 2}, "other")
	got := <-p.outcomeCh
	is.True(got.result == nil && errors.Is(got.err, ErrNotProposed))
}

// TestReleaseWaitersDropsCanceled guards against waiters that pile up when callers
// retry after their context ended.
func TestReleaseWaitersDropsCanceled(t *testing.T) {
	is := is.New(t)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	r := &Replica{applied: 4}
	for _, ctx := range []context.Context{canceled, t.Context(), canceled} {
		r.appliedWaiters = append(r.appliedWaiters, appliedWaiter{index: 5, ctx: ctx})
	}
	r.releaseWaiters()
	is.Equal(len(r.appliedWaiters), 1)
}

// TestLeadershipIsNotHandedToLostVoter guards against a leader that stops and waits for a voter which was lost
// while both held the same log.
func TestLeadershipIsNotHandedToLostVoter(t *testing.T) {
	is := is.New(t)
	status := raft.Status{
		ID: 1, Members: raft.Members{Voters: []raft.MemberID{1, 2, 3}}, Match: map[raft.MemberID]uint64{1: 9, 2: 9, 3: 8},
	}
	is.Equal(mostUpToDateVoter(status), raft.MemberID(2))
	status.Unresponsive = []raft.MemberID{2}
	is.Equal(mostUpToDateVoter(status), raft.MemberID(3))
	status.Unresponsive = []raft.MemberID{2, 3}
	is.Equal(mostUpToDateVoter(status), raft.MemberID(0))
}
