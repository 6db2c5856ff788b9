package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// kinds returns the kinds of the messages in out.
func kinds(out Output) []MessageKind {
	var k []MessageKind
	for _, m := range out.Messages {
		k = append(k, m.Kind)
	}
	return k
}

// TestMessagesWaitForTheStateTheyDependOn guards against acknowledging or using a term, a vote, an entry or a
// snapshot before it is durable, and against holding back what doesn't depend on it.
func TestMessagesWaitForTheStateTheyDependOn(t *testing.T) {
	entries := appendMessage(2, 2, Entry{Index: 2, Term: 2})
	heartbeat := Message{Kind: MsgAppend, From: 2, To: 1, Term: 2, LogIndex: 2, LogTerm: 2, Round: 7}
	preVote := Message{Kind: MsgPreVote, From: 3, To: 1, Term: 9, LogIndex: 9, LogTerm: 8}
	for name, tt := range map[string]struct {
		// settled is handled and made durable first; then before is taken for writing, and after
		// arrives during the write.
		settled, before, after []Message
		// during and done are sent while the state is written and once it is durable.
		during, done []MessageKind
	}{
		"a vote":                        {nil, []Message{voteRequest(3, 2, 9, 1)}, nil, nil, []MessageKind{MsgVoteReply}},
		"a refused vote":                {nil, []Message{voteRequest(3, 2, 9, 1)}, []Message{voteRequest(2, 2, 9, 1)}, []MessageKind{MsgVoteReply}, []MessageKind{MsgVoteReply}},
		"a pre-vote":                    {nil, []Message{voteRequest(3, 2, 9, 1)}, []Message{preVote}, []MessageKind{MsgPreVoteReply}, []MessageKind{MsgVoteReply}},
		"a heartbeat of a new term":     {nil, []Message{appendMessage(2, 2)}, []Message{appendMessage(2, 2)}, nil, []MessageKind{MsgAppendReply, MsgAppendReply}},
		"entries":                       {[]Message{appendMessage(2, 2)}, []Message{entries}, nil, nil, []MessageKind{MsgAppendReply}},
		"a heartbeat beside entries":    {[]Message{appendMessage(2, 2)}, []Message{entries}, []Message{heartbeat}, []MessageKind{MsgAppendReply}, []MessageKind{MsgAppendReply, MsgAppendReply}},
		"a received snapshot":           {[]Message{appendMessage(2, 2)}, []Message{snapshotMessage(9, Members{Voters: []MemberID{1, 2, 3}})}, nil, nil, []MessageKind{MsgSnapshotReply}},
		"a heartbeat beside a snapshot": {[]Message{appendMessage(2, 2)}, []Message{snapshotMessage(9, Members{Voters: []MemberID{1, 2, 3}})}, []Message{{Kind: MsgAppend, From: 2, To: 1, Term: 2, Round: 7}}, []MessageKind{MsgAppendReply}, []MessageKind{MsgSnapshotReply, MsgAppendReply}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(t, founding(3))
			for _, m := range tt.settled {
				c.Step(m, 0)
			}
			takeAndPersist(c, 0)
			for _, m := range tt.before {
				c.Step(m, 0)
			}
			is.Equal(len(c.TakeUnblocked(0, false).Messages), 0)
			taken := c.Take(0)
			for _, m := range tt.after {
				c.Step(m, 0)
			}
			out := c.TakeUnblocked(0, true)
			is.Equal(kinds(out), tt.during)
			for _, m := range out.Messages {
				if m.Kind == MsgAppendReply {
					is.Equal(m.Installing, taken.Snapshot != nil)
					if m.Installing {
						is.Equal(m.Hint, uint64(0)) // no entry is acknowledged
						continue
					}
					is.Equal(m.Hint, uint64(1)) // only what is durable is acknowledged
				}
			}
			is.Equal(len(c.TakeUnblocked(0, true).Messages), 0) // each round is acknowledged once
			c.Persisted(c.log.takenForWrite, 0)
			is.Equal(slices.Concat(kinds(taken), kinds(c.TakeUnblocked(0, false))), tt.done)
		})
	}
}

// TestSnapshotIsNotSentAgainWhileItIsWritten guards against sending a large state to a member over and over while its
// disk is slow, and against giving up on a member that has lost it.
func TestSnapshotIsNotSentAgainWhileItIsWritten(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	n.run(4 * testElection)
	leader := n.leader()
	c, now := leader.core, n.clock(leader)
	p := c.leaderState.peers[0]
	c.sendSnapshot(p)
	sent := func(installing bool) bool {
		now += testElection
		c.leaderState.latestRound++
		c.messages = nil
		c.Step(Message{Kind: MsgAppendReply, From: p.id, To: c.cfg.ID, Term: c.term, Round: c.leaderState.latestRound, Installing: installing}, now)
		return p.state != restoring
	}
	match := p.match
	is.True(!sent(true))
	is.True(!sent(true))
	is.Equal(p.match, match)
	is.True(sent(false))
}

// TestVoteRequestWaitsForItsLog guards against a candidate that claims entries that it could forget.
func TestVoteRequestWaitsForItsLog(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	c.Step(appendMessage(2, 2), 0)
	takeAndPersist(c, 0)
	c.Step(appendMessage(2, 2, Entry{Index: 2, Term: 2}), 0)
	c.campaign(false)
	c.setHardState(c.term, 1)
	c.write, c.hardStateChanged = pendingWrite{}, false // the vote is durable, the entry is not
	is.Equal(len(c.TakeUnblocked(0, true).Messages), 0)
	is.Equal(len(takeAndPersist(c, 0).Messages), 3)
}

// TestLeaderOfOneSendsNothingBeforeItsTermIsDurable guards against two logs of one term: that of a lone voter
// before, and the one after a restart that has lost the term.
func TestLeaderOfOneSendsNothingBeforeItsTermIsDurable(t *testing.T) {
	is := is.New(t)
	from := founding(1)
	from.Snapshot.Members.Learners = []MemberID{2}
	c := newTestCore(t, from)
	c.Tick(2 * testElection)
	is.Equal(len(c.TakeUnblocked(2*testElection, false).Messages), 0)
	c.Take(2 * testElection)
	c.Tick(2*testElection + testHeartbeat)
	is.Equal(len(c.TakeUnblocked(2*testElection+testHeartbeat, true).Messages), 0)
	is.Equal(c.role, Candidate)
	c.Persisted(0, 2*testElection+testHeartbeat)
	is.Equal(c.role, Leader)
	is.True(len(c.TakeUnblocked(2*testElection+testHeartbeat, false).Messages) > 0)
}

// TestLoneVoterLeadsNoTermThatItForgets guards against two leaders in a term: a voter that is alone by an entry which
// it has not written leads, restarts without that entry and term, and votes for another.
func TestLoneVoterLeadsNoTermThatItForgets(*testing.T) {
	for seed := range uint64(2000) {
		n := newNetwork(2, seed)
		n.slowWriteShare, n.background = 0.98, true
		n.run(testElection * 3)
		for i, a := range []action{{Kind: actWait, Wait: 150}, {Kind: actRemove, Wait: 40}, {Kind: actCrash}, {Kind: actCrash, Host: 1}} {
			n.act(a, i)
		}
		n.heal()
		n.run(settleTime)
		n.checkConverged(n)
	}
}

// TestEntriesAreAppliedAfterTheSnapshotBeforeThem guards against applying entries to the state that a received
// snapshot replaces.
func TestEntriesAreAppliedAfterTheSnapshotBeforeThem(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	c.Step(snapshotMessage(9, Members{Voters: []MemberID{1, 2, 3}}), 0)
	m := appendMessage(2, 2, Entry{Index: 10, Term: 2})
	m.LogIndex, m.LogTerm, m.Commit = 9, c.log.snapshot.Term, 10
	c.Step(m, 0)
	is.Equal(c.log.commit, uint64(10))
	is.Equal(len(c.TakeUnblocked(0, false).Committed), 0)
	out := c.Take(0)
	is.True(out.Snapshot != nil)
	is.Equal(len(out.Committed), 1)
}

// TestLateVotesCount guards against elections that feed themselves: a candidate whose voters write for longer
// than its election timeout asks for pre-votes of the next term, which they refuse, and still wins.
func TestLateVotesCount(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	now := 2 * testElection
	c.Tick(now)
	c.Step(Message{Kind: MsgPreVoteReply, From: 2, To: 1, Term: c.term + 1}, now)
	takeAndPersist(c, now)
	c.Tick(now + 2*testElection)
	is.Equal(c.role, PreCandidate)
	term := c.term
	c.Step(Message{Kind: MsgVoteReply, From: 2, To: 1, Term: term}, now+2*testElection)
	is.Equal(c.role, Leader)
	is.Equal(c.term, term)
}

// TestHeldVotersAreFreeAgain checks that a member holds still for one candidate at a time, for a bounded
// time in each term, and that neither asking again nor another candidate extends it.
func TestHeldVotersAreFreeAgain(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	ask := func(from MemberID, term uint64, delay, now Instant) bool {
		c.Step(Message{Kind: MsgPreVote, From: from, To: 1, Term: term, LogIndex: 9, LogTerm: 4, VoteDelay: delay}, now)
		out := c.TakeUnblocked(now, false)
		return !out.Messages[len(out.Messages)-1].Reject
	}
	is.True(ask(2, 5, time.Hour, 0))
	const limit = (1 + maxVoteDelayTimeouts) * testElection
	is.True(!ask(3, 5, 0, limit-1))
	is.True(ask(2, 5, time.Hour, limit-1))
	is.Equal(c.Status().Refused, Refusal{Candidate: 3, Term: 5, Reason: RefusedElectionPending})
	is.True(ask(3, 5, time.Hour, limit))
	is.True(ask(2, 5, time.Hour, limit)) // nobody is held for in that term any more
	is.True(ask(3, 6, 0, limit))
	is.True(!ask(2, 6, 0, limit))
	is.True(ask(2, 6, 0, limit+testElection))
	is.True(!ask(3, 6, 0, limit+testElection)) // what is left of the time in that term
	is.Equal(c.Status().Refused, Refusal{Candidate: 3, Term: 6, Reason: RefusedElectionPending})
}

// TestBetterCandidateIsNotHeldUp guards against refusing the only member that can win for the sake of one with an
// older log.
func TestBetterCandidateIsNotHeldUp(t *testing.T) {
	for name, tt := range map[string]struct {
		index, term uint64
		granted     bool
	}{
		"longer log": {10, 4, true},
		"newer term": {8, 5, true},
		"equal log":  {9, 4, false},
		"older log":  {8, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(t, founding(3))
			c.Step(Message{Kind: MsgPreVote, From: 2, To: 1, Term: 6, LogIndex: 9, LogTerm: 4}, 0)
			c.Step(Message{Kind: MsgPreVote, From: 3, To: 1, Term: 6, LogIndex: tt.index, LogTerm: tt.term}, 0)
			out := c.TakeUnblocked(0, false)
			is.Equal(!out.Messages[1].Reject, tt.granted)
		})
	}
}

// TestLearnerForgetsSilentLeader guards against a member without a vote that names a leader which is long gone.
func TestLearnerForgetsSilentLeader(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, DurableState{})
	c.Step(snapshotMessage(9, Members{Voters: []MemberID{2}, Learners: []MemberID{1}}), 0)
	takeAndPersist(c, 0)
	is.Equal(c.Status().Leader, MemberID(2))
	c.Tick(2 * testElection)
	is.Equal(c.Status().Leader, MemberID(0))
}
