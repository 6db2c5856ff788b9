package raft

import "github.com/cockroachdb/errors"

// SnapshotAt returns a snapshot for Compact, where data is the caller's state after
// applying index. It returns ErrSnapshotMismatch if index is not applied or not in the
// log.
func (c *Core) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.termAt(index)
	if !ok || index > c.log.applied {
		return Snapshot{}, errors.Wrapf(ErrSnapshotMismatch, "index %d is not in the log or not applied", index)
	}
	return Snapshot{Index: index, Term: term, Members: c.members.at(index).clone(), Data: data}, nil
}

// Compact drops the log entries up to a snapshot of the applied state. The leader sends
// the snapshot to members that need dropped entries. Compact ignores a snapshot that is
// not newer than the current one. It returns ErrSnapshotMismatch if s.Index is not
// applied, or if its term or membership differs from the log's.
func (c *Core) Compact(s Snapshot) error {
	if s.Index <= c.log.snapshot.Index {
		return nil
	}
	own, err := c.SnapshotAt(s.Index, s.Data)
	if err != nil {
		return err
	}
	if s.Term != own.Term || !s.Members.equal(&own.Members) {
		return errors.Wrapf(ErrSnapshotMismatch, "term or members differ from the log at index %d", s.Index)
	}
	c.log.compact(own)
	c.members.compact(s.Index)
	return nil
}

// sendSnapshot sends the snapshot to a member that needs dropped entries.
func (c *Core) sendSnapshot(p *progress) {
	s := c.log.snapshot
	p.state = restoring
	p.inflight = p.inflight[:0]
	p.snapshotIndex = s.Index
	p.snapshotSentAt = c.now
	p.snapshotRound = c.leaderState.latestRound
	c.send(Message{Kind: MsgSnapshot, To: p.id, Round: c.leaderState.latestRound, Snapshot: &s})
}

// onRestoringReply leaves the restoring state once the member has reached the snapshot
// that was sent or the current one. The snapshot is taken for lost if a reply to a later
// heartbeat round, ElectionTimeout or more after the snapshot was sent, shows that the
// member has not reached it.
func (c *Core) onRestoringReply(p *progress, m Message) {
	if m.Hint >= c.log.snapshot.Index {
		p.startProbing(m.Hint + 1)
		return
	}
	lost := m.Round > p.snapshotRound && c.now >= p.snapshotSentAt+c.cfg.ElectionTimeout
	if lost || m.Hint >= p.snapshotIndex {
		p.startProbing(max(p.match, m.Hint) + 1)
		c.leaderState.flushDue = true
	}
}

// onSnapshot replaces the log by the leader's snapshot, unless the log already holds
// everything in the snapshot.
func (c *Core) onSnapshot(m Message) {
	c.acceptLeader(m.From)
	if m.Snapshot == nil {
		return
	}
	s := *m.Snapshot
	switch {
	case s.Index <= c.log.commit:
	case c.log.matches(s.Index, s.Term):
		c.log.commit = s.Index
	default:
		c.log.restore(s)
		c.members = newMembershipHistory(s)
		c.receivedSnapshot = &s
	}
	c.send(Message{Kind: MsgSnapshotReply, To: m.From, Round: m.Round, Hint: c.log.commit})
}
