package raft

import "github.com/cockroachdb/errors"

// acceptLeader accepts the sender as the leader of the present term.
func (c *Core) acceptLeader(from MemberID) {
	if c.role == Leader {
		panic(errors.AssertionFailedf("raft: members %d and %d both lead term %d", c.cfg.ID, from, c.term))
	}
	c.becomeFollower(c.term, from)
	c.lastLeaderContact = c.now
}

// onAppend writes the leader's entries if they join on to the log.
func (c *Core) onAppend(m Message) {
	c.acceptLeader(m.From)
	reply := Message{Kind: MsgAppendReply, To: m.From, Round: m.Round, LogIndex: m.LogIndex}
	prev, entries := c.skipCommitted(m)
	if prev > c.log.commit && !c.log.matches(prev, m.LogTerm) {
		reply.Reject = true
		reply.Hint, reply.LogTerm = c.conflictHint(prev, m.LogTerm)
		c.send(reply)
		return
	}
	c.mergeEntries(entries)
	last := prev + uint64(len(entries))
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	reply.Hint = last
	c.send(reply)
}

// skipCommitted leaves out the part of an append that the log holds for sure.
// It returns the index before the rest.
func (c *Core) skipCommitted(m Message) (prev uint64, entries []Entry) {
	commit := c.log.commit
	if m.LogIndex >= commit {
		return m.LogIndex, m.Entries
	}
	skip := min(commit-m.LogIndex, uint64(len(m.Entries)))
	return commit, m.Entries[skip:]
}

// conflictHint is the index from which the leader should send after an append that
// did not match, and the term of the entry before it. Entries newer than the
// term of the leader's own entry cannot match, and are passed over at once.
func (c *Core) conflictHint(prev, prevTerm uint64) (next, term uint64) {
	index := min(prev-1, c.log.lastIndex())
	for index > c.log.commit {
		if ownTerm, _ := c.log.termAt(index); ownTerm <= prevTerm {
			break
		}
		index--
	}
	term, _ = c.log.termAt(index)
	return index + 1, term
}

// mergeEntries appends the entries that the log lacks, and truncates it only where it
// differs: an append that comes late must not shorten it.
func (c *Core) mergeEntries(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.lastIndex() {
			c.log.truncate(e.Index)
			c.members.truncate(e.Index)
		}
		c.log.extend(entries[i:]...)
		c.members.extend(entries[i:])
		return
	}
}
