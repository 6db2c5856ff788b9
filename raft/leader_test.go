package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// newTestCore returns the Core of member 1. The test sends the messages of the other
// members.
func newTestCore(t *testing.T, from DurableState) *Core {
	t.Helper()
	c, err := New(testConfig(), from, 0)
	is.New(t).NoErr(err)
	return c
}

// elect makes c the leader with the vote of member 2 and returns the time of the
// election.
func elect(t *testing.T, c *Core) Instant {
	t.Helper()
	now := 2 * testElection
	c.Tick(now)
	c.Step(Message{Kind: MsgPreVoteReply, From: 2, To: 1, Term: c.term + 1}, now)
	c.Step(Message{Kind: MsgVoteReply, From: 2, To: 1, Term: c.term}, now)
	is.New(t).Equal(c.role, Leader)
	return now
}

// takeAndPersist takes the output of c, reports it as durable and returns it.
func takeAndPersist(c *Core, now Instant) Output {
	out := c.Take(now)
	c.Persisted(c.log.lastIndex(), now)
	return out
}

// acceptAppend lets a member reply that it holds everything up to index durably, in
// answer to a heartbeat round.
func acceptAppend(c *Core, from MemberID, index, round uint64, now Instant) {
	c.Step(Message{Kind: MsgAppendReply, From: from, To: 1, Term: c.term, Hint: index, Round: round}, now)
}

// TestLeaseCountsFromSend guards against a lease that counts from the arrival of the
// replies. Replies that a frozen process finds in its queue would then renew a lease that
// ended long ago.
func TestLeaseCountsFromSend(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	sent := elect(t, c)
	takeAndPersist(c, sent)
	late := sent + testLease - time.Millisecond
	acceptAppend(c, 2, 2, 1, late)
	is.True(c.LeaseValid(late))
	is.True(!c.LeaseValid(sent + testLease))
	// The process was frozen for an hour: the reply found in its queue grants no lease.
	acceptAppend(c, 3, 2, 1, sent+time.Hour)
	is.True(!c.LeaseValid(sent + time.Hour))
	c.Tick(sent) // time never moves back
	is.True(!c.LeaseValid(sent))
}

// TestLeaseRequiresOwnTermCommit checks that a leader has no lease before an entry of its
// own term is committed.
func TestLeaseRequiresOwnTermCommit(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	now := elect(t, c)
	takeAndPersist(c, now)
	acceptAppend(c, 2, 1, 1, now)
	is.True(!c.LeaseValid(now))
	acceptAppend(c, 2, 2, 1, now)
	is.True(c.LeaseValid(now))
}

// TestLeaderCountsItselfOnceDurable guards against committing an entry that the leader
// has not yet written itself.
func TestLeaderCountsItselfOnceDurable(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	now := elect(t, c)
	c.Take(now)
	acceptAppend(c, 2, 2, 1, now)
	is.Equal(c.log.commit, uint64(1))
	c.Persisted(2, now)
	is.Equal(c.log.commit, uint64(2))
}

// TestEarlierTermsCommitWithOwnEntry guards against committing an entry of an earlier
// term by its copies alone; a later leader could still replace it.
func TestEarlierTermsCommitWithOwnEntry(t *testing.T) {
	is := is.New(t)
	from := founding(3)
	from.Hard = HardState{Term: 3}
	from.Entries = []Entry{{Index: 2, Term: 2}}
	c := newTestCore(t, from)
	now := elect(t, c)
	takeAndPersist(c, now)
	acceptAppend(c, 2, 2, 1, now)
	is.Equal(c.log.commit, uint64(1))
	acceptAppend(c, 2, 3, 1, now)
	is.Equal(c.log.commit, uint64(3))
}

// TestCutOffLeaderStepsDown checks that a leader without a responsive majority steps
// down, and follows its successor without a new election when it returns.
func TestCutOffLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	n.run(2 * time.Second)
	old := n.leader()
	n.isolate(old.id)
	n.run(testElection + testHeartbeat)
	is.True(old.core.role != Leader)
	n.run(time.Minute)
	successor, term := n.leader(), n.leader().core.term
	is.True(successor != old)
	n.heal()
	n.run(2 * time.Second)
	is.Equal(n.leader(), successor)
	is.Equal(successor.core.term, term)
	is.Equal(old.core.leader, successor.id)
}

// TestReturningFollowerKeepsTerm guards against a follower that disrupts the leader after
// it was cut off, by campaigning in ever newer terms.
func TestReturningFollowerKeepsTerm(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	n.run(2 * time.Second)
	leader, term := n.leader(), n.leader().core.term
	cut := n.hosts[leader.id%3]
	n.isolate(cut.id)
	n.run(time.Minute)
	n.heal()
	n.run(2 * time.Second)
	is.Equal(n.leader(), leader)
	// Only the link from the leader is cut: the follower still reaches the member that
	// hears the leader.
	n.cutLinks[[2]MemberID{leader.id, cut.id}] = true
	n.run(time.Minute)
	n.heal()
	n.run(2 * time.Second)
	is.Equal(n.leader(), leader)
	is.Equal(leader.core.term, term)
	is.Equal(cut.core.term, term)
}

// TestTransfer checks that a leadership transfer succeeds, ends the lease, and refuses
// proposals and invalid targets.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	n.run(2 * time.Second)
	old := n.leader()
	target := n.hosts[old.id%3]
	is.True(errors.Is(target.core.TransferLeadership(old.id, n.clock(target)), ErrNotLeader))
	is.True(errors.Is(old.core.TransferLeadership(old.id, n.clock(old)), ErrInvalidTransferTarget))
	is.NoErr(old.core.TransferLeadership(target.id, n.clock(old)))
	is.True(!old.core.LeaseValid(n.clock(old)))
	_, _, err := old.core.Propose(nil, n.clock(old))
	is.True(errors.Is(err, ErrNotLeader))
	n.drainOutput(old)
	n.run(testHeartbeat)
	is.Equal(n.leader(), target)
}

// TestAbandonedTransferStartsNewTerm checks that a leader whose transfer target cannot be
// reached leads on in a new term with a lease, and that the target's late MsgTimeoutNow
// does not end that term.
func TestAbandonedTransferStartsNewTerm(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	n.run(2 * time.Second)
	leader, term := n.leader(), n.leader().core.term
	target := n.hosts[leader.id%3]
	n.isolate(target.id)
	is.NoErr(leader.core.TransferLeadership(target.id, n.clock(leader)))
	n.drainOutput(leader)
	n.run(testElection + testHeartbeat)
	is.Equal(n.leader(), leader)
	is.Equal(leader.core.term, term+1)
	is.True(leader.core.LeaseValid(n.clock(leader)))
	target.core.Step(Message{Kind: MsgTimeoutNow, From: leader.id, To: target.id, Term: term}, n.clock(target))
	n.heal()
	n.run(time.Second)
	is.Equal(leader.core.term, term+1)
}

// TestMembershipChangeRefusals checks which membership changes the leader accepts.
func TestMembershipChangeRefusals(t *testing.T) {
	// Voter 3 does not respond. Learner 4 holds the whole log, learner 5 does not.
	voters := []MemberID{1, 2, 3}
	for name, tt := range map[string]struct {
		next Members
		want error
	}{
		"promote":               {Members{Voters: []MemberID{1, 2, 3, 4}, Learners: []MemberID{5}}, nil},
		"promote lagging":       {Members{Voters: []MemberID{1, 2, 3, 5}, Learners: []MemberID{4}}, ErrNotCaughtUp},
		"voter from nowhere":    {Members{Voters: []MemberID{1, 2, 3, 6}, Learners: []MemberID{4, 5}}, ErrUnsafeChange},
		"replace at once":       {Members{Voters: []MemberID{1, 2, 4}, Learners: []MemberID{5}}, ErrUnsafeChange},
		"remove silent":         {Members{Voters: []MemberID{1, 2}, Learners: []MemberID{4, 5}}, nil},
		"remove responsive":     {Members{Voters: []MemberID{1, 3}, Learners: []MemberID{4, 5}}, ErrUnsafeChange},
		"remove two":            {Members{Voters: []MemberID{1}, Learners: []MemberID{4, 5}}, ErrUnsafeChange},
		"demote":                {Members{Voters: []MemberID{1, 2}, Learners: []MemberID{3, 4, 5}}, ErrUnsafeChange},
		"two learners":          {Members{Voters: voters, Learners: []MemberID{4, 5, 6, 7}}, nil},
		"remove, add learners":  {Members{Voters: []MemberID{1, 2}, Learners: []MemberID{4, 6, 7}}, nil},
		"responsive, learner":   {Members{Voters: []MemberID{1, 3}, Learners: []MemberID{4, 5, 6}}, ErrUnsafeChange},
		"nowhere, learner":      {Members{Voters: []MemberID{1, 2, 3, 6}, Learners: []MemberID{4, 5, 7}}, ErrUnsafeChange},
		"lagging, learner":      {Members{Voters: []MemberID{1, 2, 3, 5}, Learners: []MemberID{4, 6}}, ErrNotCaughtUp},
		"promote two":           {Members{Voters: []MemberID{1, 2, 3, 4, 5}}, ErrUnsafeChange},
		"one learner":           {Members{Voters: voters, Learners: []MemberID{4, 5, 6}}, nil},
		"no change":             {Members{Voters: voters, Learners: []MemberID{4, 5}}, ErrUnsafeChange},
		"nobody":                {Members{}, ErrUnsafeChange},
		"named twice":           {Members{Voters: voters, Learners: []MemberID{3, 4, 5}}, ErrUnsafeChange},
		"zero":                  {Members{Voters: voters, Learners: []MemberID{0, 4, 5}}, ErrUnsafeChange},
		"same in another order": {Members{Voters: []MemberID{3, 2, 1}, Learners: []MemberID{4, 5}}, ErrUnsafeChange},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			from := founding(3)
			from.Snapshot.Members.Learners = []MemberID{4, 5}
			c := newTestCore(t, from)
			now := elect(t, c)
			takeAndPersist(c, now)
			_, _, err := c.ProposeMembers(tt.next, now)
			is.True(errors.Is(err, ErrChangePending)) // the first entry of the term is not committed
			now += testElection - time.Millisecond
			acceptAppend(c, 2, 2, 1, now)
			acceptAppend(c, 4, 2, 1, now)
			acceptAppend(c, 5, 1, 1, now)
			now += 2 * time.Millisecond
			_, _, err = c.ProposeMembers(tt.next, now)
			is.True(errors.Is(err, tt.want))
			if tt.want != nil {
				return
			}
			_, _, err = c.ProposeMembers(Members{Voters: voters}, now)
			is.True(errors.Is(err, ErrChangePending))
		})
	}
}

// TestEmptyLearnerIsNotPromoted guards against a voter without a log where the whole log is shorter than
// CatchUpMargin.
func TestEmptyLearnerIsNotPromoted(t *testing.T) {
	is := is.New(t)
	from := founding(3)
	from.Snapshot.Members.Learners = []MemberID{4}
	c := newTestCore(t, from)
	c.cfg.CatchUpMargin = 16
	now := elect(t, c)
	takeAndPersist(c, now)
	acceptAppend(c, 2, 2, 1, now)
	acceptAppend(c, 4, 0, 1, now)
	next := Members{Voters: []MemberID{1, 2, 3, 4}}
	_, _, err := c.ProposeMembers(next, now)
	is.True(errors.Is(err, ErrNotCaughtUp))
	acceptAppend(c, 4, 1, 1, now)
	_, _, err = c.ProposeMembers(next, now)
	is.NoErr(err)
}

// commitMembers proposes a membership on the leader until it is committed.
func (n *network) commitMembers(next Members) {
	for i := 0; ; i++ {
		h := n.leader()
		index, _, err := h.core.ProposeMembers(next, n.clock(h))
		n.drainOutput(h)
		n.run(200 * time.Millisecond)
		if err == nil && (n.maxCommitted >= index) {
			return
		}
		if i > 20 {
			failInvariant("membership %v is not committed: %v", next, err)
		}
	}
}

// TestVoterLossAfterReplacement checks that the group tolerates the loss of a voter after
// a lost voter was replaced by a new member, which starts from a snapshot.
func TestVoterLossAfterReplacement(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	n.run(2 * time.Second)
	n.proposeOneByOne(100)
	leader := n.leader()
	n.compact(leader)
	lost, second := leader.id%3+1, (leader.id+1)%3+1
	n.host(lost).down = true
	kept := []MemberID{leader.id, second}
	n.addHost(4, DurableState{})
	n.commitMembers(Members{Voters: append(slices.Clone(kept), lost), Learners: []MemberID{4}})
	n.commitMembers(Members{Voters: append(slices.Clone(kept), lost, 4)})
	n.commitMembers(Members{Voters: append(slices.Clone(kept), 4)})
	n.proposeOneByOne(10)
	committed := n.maxCommitted
	n.crash(n.leader())
	n.run(3 * time.Second)
	n.proposeOneByOne(1)
	is.True(n.maxCommitted > committed)
	n.checkConverged(n)
}

// proposeOneByOne proposes commands on the leader, each after two steps of the network.
func (n *network) proposeOneByOne(commands int) {
	for range commands {
		h := n.leader()
		_, _, _ = h.core.Propose([]byte("x"), n.clock(h))
		n.drainOutput(h)
		n.run(2 * testStep)
	}
	n.run(testHeartbeat * 2)
}

// TestRemovedMemberDoesNotDisrupt checks, for a follower and for the leader, that a
// removed voter neither leads nor forces an election later.
func TestRemovedMemberDoesNotDisrupt(t *testing.T) {
	const follower, leading = 0, 2
	for _, offset := range []MemberID{follower, leading} {
		is := is.New(t)
		n := newNetwork(3, 1)
		n.run(2 * time.Second)
		leader := n.leader()
		removed := n.hosts[(leader.id+offset)%3]
		n.commitMembers(Members{Voters: without([]MemberID{1, 2, 3}, []MemberID{removed.id})})
		is.True(n.leader() != nil) // elected without waiting for an election timeout
		is.True(!removed.core.mayCampaign())
		n.run(2 * time.Second)
		is.True(removed.core.role != Leader)
		successor, term := n.leader(), n.leader().core.term
		n.run(time.Minute)
		n.proposeOneByOne(1)
		is.Equal(n.leader(), successor)
		is.Equal(successor.core.term, term)
		n.checkConverged(n)
	}
}

// TestRemovedMemberLacksUncommittedRemoval guards against an election that nobody can
// win: a removed voter that holds its own uncommitted removal could refuse its vote to
// the other one without being able to win itself. Here the link from the leader to the
// voter that stays is cut, and the leader crashes.
func TestRemovedMemberLacksUncommittedRemoval(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	n.run(2 * time.Second)
	leader := n.leader()
	removed, other := n.hosts[leader.id%3], n.hosts[(leader.id+1)%3]
	n.cutLinks[[2]MemberID{leader.id, other.id}] = true
	_, _, err := leader.core.ProposeMembers(Members{Voters: []MemberID{leader.id, other.id}}, n.clock(leader))
	is.NoErr(err)
	n.drainOutput(leader)
	n.run(testHeartbeat)
	n.crash(leader)
	n.run(5 * time.Second)
	is.True(n.leader() != nil)
	is.Equal(removed.core.leader, n.leader().id)
}

// TestUncommittedSelfRemovalAllowsElection guards against a group of two that cannot
// elect a leader: the uncommitted removal of the crashed leader makes its log the longer
// one, so it must still campaign.
func TestUncommittedSelfRemovalAllowsElection(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2, 1)
	n.run(2 * time.Second)
	leader := n.leader()
	other := n.hosts[leader.id%2]
	n.isolate(leader.id)
	_, _, err := leader.core.ProposeMembers(Members{Voters: []MemberID{other.id}}, n.clock(leader))
	is.NoErr(err)
	n.drainOutput(leader)
	n.crash(leader)
	n.heal()
	n.run(8 * time.Second)
	is.Equal(n.leader(), other)
	is.Equal(other.core.members.latest().Voters, []MemberID{other.id})
}

// TestReadBarrier checks that a read is confirmed only by a heartbeat round that starts
// after the request, at an index that covers all earlier terms, and fails when the
// leadership is lost.
func TestReadBarrier(t *testing.T) {
	is := is.New(t)
	from := founding(3)
	from.Hard = HardState{Term: 3}
	from.Entries = []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 3}}
	c := newTestCore(t, from)
	is.True(errors.Is(c.ReadBarrier(1, 0), ErrNotLeader))
	now := elect(t, c)
	takeAndPersist(c, now)
	is.NoErr(c.ReadBarrier(7, now))
	acceptAppend(c, 2, 3, 1, now) // answers a round that was sent before the request
	takeAndPersist(c, now)
	is.Equal(len(takeAndPersist(c, now).Reads), 0)
	acceptAppend(c, 3, 3, 2, now)
	is.Equal(takeAndPersist(c, now).Reads, []ReadResult{{Request: 7, Index: 4, OK: true}})
	is.NoErr(c.ReadBarrier(8, now))
	c.Step(appendMessage(2, 9), now)
	is.Equal(takeAndPersist(c, now).Reads, []ReadResult{{Request: 8}})
}

// TestLeader checks how an elected leader reacts to single messages and requests.
func TestLeader(t *testing.T) {
	reject := Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 2, LogIndex: 1, Reject: true, Hint: 1, LogTerm: 1}
	for name, tt := range map[string]struct {
		do   func(c *Core, now Instant)
		want func(c *Core, out Output) bool
	}{
		"a stranger's newer term is ignored": {
			func(c *Core, now Instant) {
				c.Step(Message{Kind: MsgAppendReply, From: 9, To: 1, Term: 9, Reject: true}, now)
			},
			func(c *Core, _ Output) bool { return c.role == Leader }},
		"a member's newer term ends the lead": {
			func(c *Core, now Instant) {
				c.Step(Message{Kind: MsgAppendReply, From: 3, To: 1, Term: 9, Reject: true}, now)
			},
			func(c *Core, _ Output) bool { return c.role == Follower && c.term == 9 }},
		"a transfer waits for the target": {
			func(c *Core, now Instant) { _ = c.TransferLeadership(3, now) },
			func(_ *Core, out Output) bool { return !hasKind(out, MsgTimeoutNow) }},
		"a transfer starts once the target holds all": {
			func(c *Core, now Instant) { _ = c.TransferLeadership(3, now); acceptAppend(c, 3, 2, 1, now) },
			func(_ *Core, out Output) bool { return hasKind(out, MsgTimeoutNow) }},
		"a leader that removes itself does not count": {
			func(c *Core, now Instant) {
				_, _, _ = c.ProposeMembers(Members{Voters: []MemberID{2, 3}}, now)
				takeAndPersist(c, now)
				acceptAppend(c, 2, 3, 1, now)
			},
			func(c *Core, _ Output) bool { return c.log.lastIndex() == 3 && c.log.commit == 2 }},
		"a stale rejection sends nothing": {
			func(c *Core, now Instant) { c.Step(reject, now) },
			func(_ *Core, out Output) bool { return !hasMessageTo(out, 2) }},
		"a late rejection of a probe sends nothing": {
			func(c *Core, now Instant) {
				late := reject
				late.From, late.LogIndex = 3, 7
				c.Step(late, now)
			},
			func(_ *Core, out Output) bool { return !hasMessageTo(out, 3) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t, founding(3))
			now := elect(t, c)
			takeAndPersist(c, now)
			acceptAppend(c, 2, 2, 1, now)
			takeAndPersist(c, now)
			tt.do(c, now)
			is.New(t).True(tt.want(c, c.Take(now)))
		})
	}
}

// hasKind reports whether out contains a message of the given kind.
func hasKind(out Output, kind MessageKind) bool {
	return slices.ContainsFunc(out.Messages, func(m Message) bool { return m.Kind == kind })
}

// hasMessageTo reports whether out contains a message to the given member.
func hasMessageTo(out Output, to MemberID) bool {
	return slices.ContainsFunc(out.Messages, func(m Message) bool { return m.To == to })
}

// TestUnresponsiveVotersAreListed checks that a leader lists the voters that have not replied within the
// election timeout, and that no other member lists any.
func TestUnresponsiveVotersAreListed(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	is.Equal(len(c.Status().Unresponsive), 0)
	elected := elect(t, c)
	takeAndPersist(c, elected)
	is.Equal(len(c.Status().Unresponsive), 0)
	acceptAppend(c, 2, 2, 1, elected+testElection-time.Millisecond)
	c.Tick(elected + testElection)
	is.Equal(c.Status().Unresponsive, []MemberID{3})
	is.Equal(c.Status().Role, Leader)
}
