package raft

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// appendMessage returns an append to member 1 that follows the founding snapshot.
func appendMessage(leader MemberID, term uint64, entries ...Entry) Message {
	return Message{Kind: MsgAppend, From: leader, To: 1, Term: term, LogIndex: 1, LogTerm: 1, Entries: entries}
}

// voteRequest returns a vote request to member 1.
func voteRequest(from MemberID, term, lastIndex, lastTerm uint64) Message {
	return Message{Kind: MsgVote, From: from, To: 1, Term: term, LogIndex: lastIndex, LogTerm: lastTerm}
}

// snapshotMessage returns a snapshot message from member 2 to member 1.
func snapshotMessage(index uint64, members Members) Message {
	s := &Snapshot{Index: index, Term: 2, Members: members}
	return Message{Kind: MsgSnapshot, From: 2, To: 1, Term: 2, Snapshot: s}
}

// TestFollower checks how member 1 answers appends, snapshots and vote requests. Each
// case gives the messages received before a write and, two election timeouts later, after
// it.
func TestFollower(t *testing.T) {
	four := Members{Voters: []MemberID{1, 2, 3, 4}}
	long := appendMessage(2, 2, Entry{Index: 2, Term: 2}, Entry{Index: 3, Term: 2, Kind: EntryMembers, Members: &four})
	short := appendMessage(2, 2, Entry{Index: 2, Term: 2})
	other := appendMessage(3, 3, Entry{Index: 2, Term: 3})
	gap := Message{Kind: MsgAppend, From: 2, To: 1, Term: 2, LogIndex: 9, LogTerm: 2}
	ahead := appendMessage(2, 2)
	ahead.Commit = 3
	newer := Message{Kind: MsgVoteReply, From: 3, To: 1, Term: 8, Reject: true}
	voters := func(c *Core) int { return len(c.Status().Members.Voters) }
	for name, tt := range map[string]struct {
		before, after []Message
		want          func(c *Core, out Output) bool
	}{
		"a late append keeps entries": {[]Message{long}, []Message{short, appendMessage(2, 2)},
			func(c *Core, _ Output) bool { return c.log.lastIndex() == 3 }},
		"replaced entries are not durable": {[]Message{long}, []Message{other},
			func(c *Core, out Output) bool { return c.log.durable == 1 && len(out.Entries) == 1 }},
		"replaced membership is undone": {[]Message{long}, []Message{other},
			func(c *Core, _ Output) bool { return voters(c) == 3 }},
		"only entries that match are committed": {[]Message{long}, []Message{ahead},
			func(c *Core, _ Output) bool { return c.log.commit == 1 }},
		"an append after a gap is refused": {[]Message{long}, []Message{gap},
			func(_ *Core, out Output) bool { return out.Messages[0].Reject && out.Messages[0].Hint == 4 }},
		"an append of an older term is refused": {[]Message{other}, []Message{short},
			func(_ *Core, out Output) bool { return out.Messages[0].Reject && out.Messages[0].Term == 3 }},
		"a snapshot brings members": {nil, []Message{snapshotMessage(9, four)},
			func(c *Core, out Output) bool { return voters(c) == 4 && out.Snapshot.Index == 9 }},
		"an older snapshot changes nothing": {[]Message{snapshotMessage(9, four)}, []Message{snapshotMessage(5, Members{})},
			func(c *Core, out Output) bool { return voters(c) == 4 && out.Messages[0].Hint == 9 }},
		"a snapshot of held entries keeps the log": {[]Message{long}, []Message{snapshotMessage(2, four)},
			func(c *Core, _ Output) bool { return c.log.lastIndex() == 3 && c.log.commit == 2 }},
		"one vote in a term": {nil, []Message{voteRequest(3, 2, 1, 1), voteRequest(2, 2, 1, 1), voteRequest(3, 2, 1, 1)},
			func(_ *Core, out Output) bool { return slices.Equal(rejections(out), []bool{false, true, false}) }},
		"a vote in a known term is written": {[]Message{newer}, []Message{voteRequest(3, 8, 1, 1)},
			func(_ *Core, out Output) bool { return *out.Hard == HardState{Term: 8, Vote: 3} }},
		"a shorter log gets no vote": {[]Message{long}, []Message{voteRequest(3, 9, 2, 2)},
			func(c *Core, _ Output) bool { return c.vote == 0 }},
		"an older log gets no vote": {[]Message{long}, []Message{voteRequest(3, 9, 9, 1)},
			func(c *Core, _ Output) bool { return c.vote == 0 }},
		"no vote beside a known leader": {[]Message{appendMessage(2, 9)}, []Message{voteRequest(3, 9, 9, 9)},
			func(c *Core, _ Output) bool { return c.vote == 0 }},
		"a learner does not campaign": {[]Message{snapshotMessage(9, Members{Voters: []MemberID{2}, Learners: []MemberID{1}})},
			[]Message{{Kind: MsgTimeoutNow, From: 2, To: 1, Term: 2}},
			func(c *Core, _ Output) bool { return c.role == Follower && c.term == 2 }},
		"messages to others are ignored": {nil, []Message{{Kind: MsgAppend, From: 2, To: 3, Term: 9}},
			func(c *Core, _ Output) bool { return c.term == 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t, founding(3))
			for _, m := range tt.before {
				c.Step(m, 0)
			}
			takeAndPersist(c, 0)
			for _, m := range tt.after {
				c.Step(m, 2*testElection)
			}
			is.New(t).True(tt.want(c, c.Take(2*testElection)))
		})
	}
}

// rejections returns the Reject field of each message in out.
func rejections(out Output) []bool {
	var rejected []bool
	for _, m := range out.Messages {
		rejected = append(rejected, m.Reject)
	}
	return rejected
}

// TestPersistedIgnoresReplacedEntries guards against counting an entry as durable if
// another leader's entry replaced it before its write was reported.
func TestPersistedIgnoresReplacedEntries(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	c.Step(appendMessage(2, 2, Entry{Index: 2, Term: 2}, Entry{Index: 3, Term: 2}), 0)
	c.Take(0)
	c.Step(appendMessage(3, 3, Entry{Index: 2, Term: 3}), 0)
	c.Persisted(3, 0)
	is.Equal(c.log.durable, uint64(1))
	takeAndPersist(c, 0)
	is.Equal(c.log.durable, uint64(2))
}

// TestLeaderStickiness checks that a member refuses its vote within ElectionTimeout after
// it accepted a leader, or restarted with a HardState, except in a leadership transfer. A
// vote within that time could elect a second leader while the first still holds a lease.
func TestLeaderStickiness(t *testing.T) {
	vote := voteRequest(3, 9, 9, 8)
	transfer := vote
	transfer.Transfer = true
	heard := []Message{appendMessage(2, 2)}
	newer := Message{Kind: MsgVoteReply, From: 3, To: 1, Term: 8, Reject: true}
	for name, tt := range map[string]struct {
		hard   HardState
		before []Message
		vote   Message
		after  Instant
		grants bool
	}{
		"within the timeout":     {HardState{}, heard, vote, testElection - 1, false},
		"after the timeout":      {HardState{}, heard, vote, testElection, true},
		"on transfer":            {HardState{}, heard, transfer, 0, true},
		"after a newer term":     {HardState{}, append(heard, newer), vote, testElection - 1, false},
		"restarted":              {HardState{Term: 2}, nil, vote, testElection - 1, false},
		"restarted long ago":     {HardState{Term: 2}, nil, vote, testElection, true},
		"founding, never voting": {HardState{}, nil, vote, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			from := founding(3)
			from.Hard = tt.hard
			c := newTestCore(t, from)
			for _, m := range tt.before {
				c.Step(m, 0)
			}
			c.Step(tt.vote, tt.after)
			is.New(t).Equal(c.vote == 3, tt.grants)
			is.New(t).Equal(c.term == 9, tt.grants)
		})
	}
}

// TestRestartKeepsVote guards against a member that votes twice in a term because it
// restarted.
func TestRestartKeepsVote(t *testing.T) {
	is := is.New(t)
	from := founding(3)
	from.Hard = HardState{Term: 2, Vote: 3}
	c := newTestCore(t, from)
	c.Step(voteRequest(2, 2, 9, 2), testElection)
	c.Step(voteRequest(3, 2, 9, 2), testElection)
	is.Equal(rejections(c.Take(testElection)), []bool{true, false})
}

// TestCompact checks that only snapshots of the applied state that match the log are
// accepted, that repeating one is harmless, and that later entries are kept.
func TestCompact(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	m := appendMessage(2, 2, Entry{Index: 2, Term: 2}, Entry{Index: 3, Term: 2})
	m.Commit = 3
	c.Step(m, 0)
	takeAndPersist(c, 0)
	c.Applied(2)
	_, err := c.SnapshotAt(3, nil)
	is.True(err != nil) // not applied
	s, err := c.SnapshotAt(2, []byte("state"))
	is.NoErr(err)
	forged := s
	forged.Members = Members{Voters: []MemberID{1}}
	is.True(c.Compact(forged) != nil)
	is.NoErr(c.Compact(s))
	is.NoErr(c.Compact(s))
	is.Equal(c.log.slice(3, 3)[0].Index, uint64(3))
	is.Equal(c.log.lastIndex(), uint64(3))
}
