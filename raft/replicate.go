package raft

// Propose appends a command. The Core keeps data, so the caller must not change it
// afterwards. Propose returns ErrNotLeader, or ErrOverloaded if the uncommitted entries
// would exceed MaxBatchBytes times MaxInflight bytes; a command is never too large while
// nothing is uncommitted. The outcome is known once the entry at the returned index is
// committed: the command was accepted if that entry has the returned term, and lost if it
// has another.
func (c *Core) Propose(data []byte, now Instant) (index, term uint64, err error) {
	c.advanceTime(now)
	if c.role != Leader || c.leaderState.transfer.target != 0 {
		return 0, 0, ErrNotLeader
	}
	entry := Entry{Kind: EntryCommand, Data: data}
	limit := c.cfg.MaxBatchBytes * c.cfg.MaxInflight
	if c.leaderState.uncommittedBytes > 0 && c.leaderState.uncommittedBytes+entrySize(&entry) > limit {
		return 0, 0, ErrOverloaded
	}
	return c.appendEntry(entry), c.term, nil
}

// appendEntry appends an entry of the leader's term and returns its index.
func (c *Core) appendEntry(e Entry) uint64 {
	e.Index = c.log.lastIndex() + 1
	e.Term = c.term
	c.log.extend(e)
	c.members.extend([]Entry{e})
	c.leaderState.uncommittedBytes += entrySize(&e)
	c.leaderState.flushDue = true
	return e.Index
}

// flush generates the messages that are due: a new heartbeat round if one is needed, and
// what each peer may be sent.
func (c *Core) flush() {
	if c.leaderState.roundDue || len(c.leaderState.queuedBarriers) > 0 {
		c.startRound()
	}
	for _, p := range c.leaderState.peers {
		c.sendTo(p)
	}
	c.leaderState.flushDue = false
}

// sendTo sends a member what its flow state allows.
func (c *Core) sendTo(p *progress) {
	switch {
	case p.state == restoring:
		c.sendBareHeartbeat(p)
	case p.next <= c.log.snapshot.Index:
		c.sendSnapshot(p)
	case p.state == probing:
		c.sendProbe(p)
	case p.state == replicating:
		c.sendPipelined(p)
	}
	p.heartbeatDue = false
}

// sendBareHeartbeat sends a due heartbeat as an append at index zero, which matches any
// log. The member replies with its commit index.
func (c *Core) sendBareHeartbeat(p *progress) {
	if p.heartbeatDue {
		c.sendAppend(p, 0, nil)
	}
}

// sendProbe sends one batch. Until the member replies, each further heartbeat round sends
// an empty append at the same position.
func (c *Core) sendProbe(p *progress) {
	switch {
	case !p.probeSent:
		p.probeSent = true
		c.sendAppend(p, p.next-1, c.nextBatch(p))
	case p.heartbeatDue:
		c.sendAppend(p, p.next-1, nil)
	}
}

// sendPipelined sends batches until MaxInflight appends are unanswered. They also carry a
// due heartbeat and the commit index. If there is no batch to send, an empty append
// carries a due heartbeat, or a new commit index while fewer than MaxInflight appends are
// unanswered.
func (c *Core) sendPipelined(p *progress) {
	sent := false
	for len(p.inflight) < c.cfg.MaxInflight {
		batch := c.nextBatch(p)
		if len(batch) == 0 {
			break
		}
		c.sendAppend(p, p.next-1, batch)
		p.next = batch[len(batch)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
		sent = true
	}
	full := len(p.inflight) >= c.cfg.MaxInflight
	updateDue := p.heartbeatDue || !full && p.commitSent < c.log.commit
	if !sent && updateDue {
		c.sendAppend(p, p.next-1, nil)
	}
}

// nextBatch returns the next entries for a member, up to MaxBatchBytes.
func (c *Core) nextBatch(p *progress) []Entry {
	last := c.log.lastIndex()
	if p.sendLimit > 0 {
		last = min(last, p.sendLimit)
	}
	return c.log.batch(p.next, last, c.cfg.MaxBatchBytes)
}

// sendAppend sends entries that follow the entry at index prev. Zero is the start of
// every log.
func (c *Core) sendAppend(p *progress, prev uint64, entries []Entry) {
	p.commitSent = c.log.commit
	prevTerm, _ := c.log.termAt(prev)
	c.send(Message{
		Kind:     MsgAppend,
		To:       p.id,
		LogIndex: prev,
		LogTerm:  prevTerm,
		Entries:  entries,
		Commit:   c.log.commit,
		Round:    c.leaderState.latestRound,
	})
}

// onAppendReply handles the reply to an append or to a snapshot.
func (c *Core) onAppendReply(m Message) {
	if c.role != Leader {
		return
	}
	p := c.leaderState.peer(m.From)
	if p == nil {
		return
	}
	p.lastReplyAt, p.stalled = c.now, m.Stalled
	p.answeredRound = max(p.answeredRound, min(m.Round, c.leaderState.latestRound))
	c.confirmRounds()
	if m.Installing {
		p.snapshotSentAt = c.now // it has arrived and is not to be sent again
		return
	}
	if m.Reject {
		c.onRejected(p, m)
		return
	}
	c.onAccepted(p, m)
}

// onRejected restarts probing at the last entry where the two logs may match.
func (c *Core) onRejected(p *progress, m Message) {
	if p.rejectionIsStale(m.LogIndex) {
		return
	}
	// Before Hint the member holds no entry of a newer term than LogTerm, so entries of
	// this log with a newer term cannot match.
	prev := min(m.Hint, m.LogIndex) - min(1, m.Hint)
	for prev > p.match {
		term, ok := c.log.termAt(prev)
		if !ok || term <= m.LogTerm {
			break
		}
		prev--
	}
	p.startProbing(max(prev, p.match) + 1)
	c.leaderState.flushDue = true
}

// onAccepted records which entries are durable on a member.
func (c *Core) onAccepted(p *progress, m Message) {
	if p.state == restoring {
		c.onRestoringReply(p, m)
	}
	before := *p
	p.recordAccepted(min(m.Hint, c.log.lastIndex()))
	if p.match == before.match && p.state == before.state && len(p.inflight) == len(before.inflight) {
		return
	}
	c.leaderState.flushDue = true
	c.maybeCommit()
	c.continueTransfer()
}

// maybeCommit commits the entries that a majority of the voters hold durably. Entries of
// earlier terms are committed only together with an entry of the leader's own term
// (Ongaro, section 3.6.2).
func (c *Core) maybeCommit() {
	index := c.quorumValue(c.log.durable, func(p *progress) uint64 { return p.match })
	if index <= c.log.commit {
		return
	}
	if term, _ := c.log.termAt(index); term != c.term {
		return
	}
	c.leaderState.uncommittedBytes -= c.log.sizeBytes(c.log.commit+1, index)
	c.log.commit = index
	c.leaderState.flushDue = true
	c.finishMembershipChange()
}
