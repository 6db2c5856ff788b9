package raft

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// proposalsPerBatch is the number of proposals in one Take in these tests.
const proposalsPerBatch = 64

// commandBytes is the size of each proposed command in these tests.
const commandBytes = 100

// TestMessagesPerCommittedEntry limits the messages and bytes that a group of three
// voters and six learners sends for each committed entry, heartbeats included.
func TestMessagesPerCommittedEntry(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	n.cfg.MaxBatchBytes, n.cfg.MaxInflight = 1<<20, 16
	for _, h := range n.hosts {
		n.start(h)
	}
	n.run(3 * time.Second)
	next := founding(3).Snapshot.Members
	for id := MemberID(4); id <= 9; id++ {
		n.addHost(id, DurableState{})
		next.Learners = append(next.Learners, id)
		n.commitMembers(next)
	}
	const rounds = 50
	const peers = 8
	n.messages, n.entryBytes = 0, 0
	appends := 0
	n.onSend = func(m Message) {
		if len(m.Entries) > 0 {
			appends++
		}
	}
	start := n.maxCommitted
	for range rounds {
		n.proposeBatch(proposalsPerBatch)
		n.run(testHeartbeat)
	}
	entries := float64(n.maxCommitted - start)
	is.Equal(entries, float64(rounds*proposalsPerBatch))
	perEntry := float64(n.messages) / entries
	bytesPerPeer := float64(n.entryBytes) / entries / peers
	t.Logf("%.3f messages and %.1f bytes per entry and peer", perEntry/peers, bytesPerPeer)
	is.Equal(appends, rounds*peers) // one for each batch and peer
	// Each batch and peer costs at most an append, a commit notice, a heartbeat, and
	// their replies.
	is.True(perEntry <= 6.0*peers/proposalsPerBatch)
	is.True(bytesPerPeer <= commandBytes+entryOverheadBytes)
}

// proposeBatch proposes commands on the leader before it takes any output.
func (n *network) proposeBatch(commands int) {
	h := n.leader()
	for range commands {
		if _, _, err := h.core.Propose(make([]byte, commandBytes), n.clock(h)); err != nil {
			panic(err)
		}
	}
	n.drainOutput(h)
}

// TestFlowControl checks the limits on uncommitted bytes, on the bytes of an append and
// on unanswered appends, and that a heartbeat is sent despite full flow control.
func TestFlowControl(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, founding(3))
	now := elect(t, c)
	takeAndPersist(c, now)
	acceptAppend(c, 2, 2, 1, now)
	for c.leaderState.uncommittedBytes+commandBytes+entryOverheadBytes <= c.cfg.MaxBatchBytes*c.cfg.MaxInflight {
		_, _, err := c.Propose(make([]byte, commandBytes), now)
		is.NoErr(err)
	}
	_, _, err := c.Propose(make([]byte, commandBytes), now)
	is.True(errors.Is(err, ErrOverloaded))
	// With the limit at two, the proposed entries need more appends than may be
	// unanswered.
	c.cfg.MaxInflight = 2
	sent := map[MemberID]int{}
	for _, m := range takeAndPersist(c, now).Messages {
		sent[m.To]++
		size := 0
		for i := range m.Entries {
			size += entrySize(&m.Entries[i])
		}
		is.True(size > 0 && size <= c.cfg.MaxBatchBytes)
	}
	is.Equal(sent, map[MemberID]int{2: 2})
	// A heartbeat is sent even to a member that has MaxInflight unanswered appends.
	c.Tick(now + testHeartbeat)
	is.Equal(len(c.Take(now+testHeartbeat).Messages), 2)
}

// TestConflictsAreSkippedByTerm limits the rejected appends for a long diverged log to
// two for each term in it. Probing entry by entry would take hundreds.
func TestConflictsAreSkippedByTerm(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	const terms, perTerm = 4, 100
	diverged := founding(3)
	kept := founding(3)
	for i := range terms * perTerm {
		index, term := uint64(i+2), uint64(2+2*(i/perTerm))
		diverged.Entries = append(diverged.Entries, Entry{Index: index, Term: term})
		kept.Entries = append(kept.Entries, Entry{Index: index, Term: term + 1})
	}
	diverged.Hard.Term, kept.Hard.Term = 20, 20
	for _, h := range n.hosts {
		h.disk = kept
		if h.id == 3 {
			h.disk = diverged
		}
		n.start(h)
	}
	n.cfg.MaxBatchBytes = 1 << 20
	rejected := 0
	n.onSend = func(m Message) {
		if m.Kind == MsgAppendReply && m.Reject {
			rejected++
		}
	}
	n.run(5 * time.Second)
	is.Equal(n.host(3).core.log.commit, n.maxCommitted)
	is.True(n.maxCommitted > terms*perTerm)
	is.True(rejected <= 2*terms)
}

// TestAllocationsPerBatch limits the allocations on the leader for one batch of
// proposals, from Propose to commitment.
func TestAllocationsPerBatch(t *testing.T) {
	c := newTestCore(t, founding(3))
	now := elect(t, c)
	takeAndPersist(c, now)
	acceptAppend(c, 2, 2, 1, now)
	data := make([]byte, commandBytes)
	c.cfg.MaxBatchBytes = 1 << 20
	got := testing.AllocsPerRun(100, func() {
		for range proposalsPerBatch {
			_, _, _ = c.Propose(data, now)
		}
		takeAndPersist(c, now)
		acceptAppend(c, 2, c.log.lastIndex(), 1, now)
		takeAndPersist(c, now)
		c.Applied(c.log.lastIndex())
	})
	t.Logf("%.0f allocations per %d entries", got, proposalsPerBatch)
	is.New(t).True(got <= proposalsPerBatch/4)
}
