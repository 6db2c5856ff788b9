package raft

import "github.com/cockroachdb/errors"

// SnapshotAt describes the applied state at index, which the caller gives as
// data, for Compact. It answers ErrSnapshotMismatch if the log does not hold
// index or it is not applied.
func (c *Core) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.termAt(index)
	if !ok || index > c.log.applied {
		return Snapshot{}, errors.Wrapf(ErrSnapshotMismatch, "index %d is not held and applied", index)
	}
	return Snapshot{Index: index, Term: term, Members: c.members.at(index).clone(), Data: data}, nil
}

// Compact drops the log up to a snapshot of the applied state, which is sent to
// members that need what was dropped. A snapshot that is older than the present
// one changes nothing. It answers ErrSnapshotMismatch if the index is not
// applied, or term or members are not those of the log.
func (c *Core) Compact(s Snapshot) error {
	if s.Index <= c.log.snapshot.Index {
		return nil
	}
	own, err := c.SnapshotAt(s.Index, s.Data)
	if err != nil {
		return err
	}
	if s.Term != own.Term || !s.Members.equal(&own.Members) {
		return errors.Wrapf(ErrSnapshotMismatch, "term or members at index %d", s.Index)
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

// onRestoringReply leaves the restoring state once the member can go on from the
// log. An answer to a later round that shows no progress after ElectionTimeout
// means that the snapshot was lost.
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

// onSnapshot replaces the log by the leader's snapshot, unless the log holds
// everything in it already.
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
