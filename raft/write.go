package raft

// maxVoteDelayTimeouts limits, in election timeouts, the time for which a member holds still
// for a candidate that writes its own vote.
const maxVoteDelayTimeouts = 4

// writeTimeDecay is the share of writeTime, as a divisor, that each faster write takes off.
const writeTimeDecay = 8

// pendingWrite describes the state that Take returned last and that is not durable yet.
type pendingWrite struct {
	active bool
	// hard and snapshot are set if the state includes a HardState or a received Snapshot.
	hard, snapshot bool
	startedAt      Instant
}

// NeedsWrite reports whether there is state that Take has not returned for writing yet.
func (c *Core) NeedsWrite() bool {
	return c.hardStateChanged || c.receivedSnapshot != nil || c.log.takenForWrite < c.log.lastIndex()
}

// TakeUnblocked returns the messages that depend on no state that is not durable yet, the
// committed entries and the reads. Unlike Take, it may be called while the state of an
// earlier Output is still being written; its own Output has no state to write. A leader
// thereby sends entries and heartbeats before its own write ends.
//
// A caller whose store cannot take the next Output yet sets busy. Appends of the leader whose
// entries have to wait for the store are then acknowledged as far as the log is durable, so
// that the leader knows that this member still hears it.
func (c *Core) TakeUnblocked(now Instant, busy bool) Output {
	c.advanceTime(now)
	if c.role == Leader {
		c.flush()
	}
	out := Output{Reads: c.reads}
	c.reads = nil
	if c.receivedSnapshot == nil {
		out.Committed = c.log.entriesToApply()
		c.log.takenForApply = c.log.commit
	}
	var blocked []Message
	for i := range c.messages {
		m := &c.messages[i]
		if c.unblocked(m) {
			out.Messages = append(out.Messages, *m)
			continue
		}
		if busy && c.mayAcknowledge(m) {
			out.Messages = append(out.Messages, c.acknowledgement(*m))
		}
		blocked = appendBlocked(blocked, m)
	}
	c.messages = blocked
	return out
}

// unblocked reports whether a queued message depends on no state that is not durable yet.
//
// Pre-votes are promises of no kind, and a term may be named before it is durable: others that
// adopt it lose nothing. A vote request also claims the sender's log. A leader's messages need
// its term only, because it sends no other entries in that term after a restart.
func (c *Core) unblocked(m *Message) bool {
	switch m.Kind {
	case MsgPreVote, MsgPreVoteReply:
		return true
	case MsgVote:
		return c.hardStateDurable() && c.log.durable == c.log.lastIndex()
	case MsgVoteReply:
		return m.Reject || c.hardStateDurable()
	case MsgAppend, MsgSnapshot, MsgTimeoutNow:
		return c.hardStateDurable()
	case MsgAppendReply, MsgSnapshotReply:
		return c.hardStateDurable() && !c.installing() && (m.Reject || m.Hint <= c.log.durable)
	}
	return false
}

// hardStateDurable reports whether the current term and vote are durable.
func (c *Core) hardStateDurable() bool { return !c.hardStateChanged && !c.write.hard }

// installing reports whether a received snapshot, which stands for the log, is not durable yet.
func (c *Core) installing() bool { return c.receivedSnapshot != nil || c.write.snapshot }

// acknowledged identifies the latest heartbeat round that was acknowledged before the entries
// that came with it, or before it, were durable.
type acknowledged struct{ term, round uint64 }

// mayAcknowledge reports whether m is the reply to a heartbeat round of the current term that has
// not been acknowledged yet and that only has to wait for entries or a snapshot. The member's term
// outlasts a restart, and with it the promise that New makes.
func (c *Core) mayAcknowledge(m *Message) bool {
	return m.Kind == MsgAppendReply && !m.Reject && m.Term == c.term && c.hardStateDurable() &&
		(c.acknowledged.term != m.Term || c.acknowledged.round < m.Round)
}

// acknowledgement returns the reply m, restricted to the entries that are durable.
func (c *Core) acknowledgement(m Message) Message {
	c.acknowledged = acknowledged{m.Term, m.Round}
	m.Hint, m.Stalled = min(m.Hint, c.log.durable), c.writeStalled()
	if c.installing() {
		m.Hint, m.Installing = 0, true
	}
	return m
}

// appendBlocked appends a message that has to wait. Replies to appends of one leader are merged,
// so that their number doesn't grow with the time that a write takes: within one term all of
// their entries match the leader's.
func appendBlocked(blocked []Message, m *Message) []Message {
	if last := len(blocked) - 1; last >= 0 && m.Kind == MsgAppendReply && !m.Reject {
		if p := &blocked[last]; p.Kind == m.Kind && !p.Reject && p.To == m.To && p.Term == m.Term {
			hint, round := max(p.Hint, m.Hint), max(p.Round, m.Round)
			*p = *m
			p.Hint, p.Round = hint, round
			return blocked
		}
	}
	return append(blocked, *m)
}

// startWrite records that Take returned out.
func (c *Core) startWrite(out *Output) {
	c.write = pendingWrite{
		active:    out.Hard != nil || out.Snapshot != nil || len(out.Entries) > 0,
		hard:      out.Hard != nil,
		snapshot:  out.Snapshot != nil,
		startedAt: c.now,
	}
}

// finishWrite records that the state which Take returned last is durable. A member whose term or
// vote was written starts its election timer anew: until now no vote could reach a candidate.
// It holds still for the candidate that has its vote.
func (c *Core) finishWrite() {
	if !c.write.active {
		return
	}
	c.writeTime = max(c.now-c.write.startedAt, c.writeTime-c.writeTime/writeTimeDecay)
	hard := c.write.hard
	c.write = pendingWrite{}
	if !hard || c.role == Leader {
		return
	}
	if c.role == Candidate && c.hardStateDurable() && c.hasMajority(c.votes) {
		c.becomeLeader() // the only voter
		return
	}
	c.resetElectionTimer()
	if c.vote != 0 && c.leader == 0 {
		c.hold = hold{candidate: c.vote, until: c.now + c.cfg.ElectionTimeout, term: c.term}
	}
}

// expectedWriteTime returns how long a write of this member is expected to take.
func (c *Core) expectedWriteTime() Instant {
	if c.write.active {
		return max(c.writeTime, c.now-c.write.startedAt)
	}
	return c.writeTime
}

// writeStalled reports whether the current write has taken an election timeout. Members whose
// disks work are the better candidates.
func (c *Core) writeStalled() bool {
	return c.write.active && c.now-c.write.startedAt >= c.cfg.ElectionTimeout
}
