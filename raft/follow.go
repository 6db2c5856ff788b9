package raft

import "github.com/cockroachdb/errors"

// acceptLeader accepts the sender as the leader of the current term. It panics if this
// member leads that term itself.
func (c *Core) acceptLeader(from MemberID) {
	if c.role == Leader {
		panic(errors.AssertionFailedf("raft: members %d and %d both lead term %d", c.cfg.ID, from, c.term))
	}
	c.becomeFollower(c.term, from)
	c.lastLeaderContact = c.now
}

// onAppend appends the leader's entries if the entry before them matches the log, and
// rejects the message otherwise.
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

// skipCommitted drops the entries of an append that are committed here, which therefore
// match. It returns the index before the remaining entries, and those entries.
func (c *Core) skipCommitted(m Message) (prev uint64, entries []Entry) {
	commit := c.log.commit
	if m.LogIndex >= commit {
		return m.LogIndex, m.Entries
	}
	skip := min(commit-m.LogIndex, uint64(len(m.Entries)))
	return commit, m.Entries[skip:]
}

// conflictHint returns the index from which the leader should send after an append that
// did not match at prev, and the term of the entry before that index. Entries of this log
// that are newer than prevTerm, the term of the leader's entry at prev, cannot match and
// are skipped at once.
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

// mergeEntries appends the entries that the log lacks. It truncates the log only where an
// entry differs, because an append that arrives late must not shorten the log.
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
