package raft

import "github.com/cockroachdb/errors"

// SnapshotAt describes the applied state at index, which the caller gives as
// data, for Compact. It answers ErrSnapshotMismatch if the log does not hold
// index or it is not applied.
func (c *Core) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.term(index)
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
	want, err := c.SnapshotAt(s.Index, s.Data)
	if err != nil {
		return err
	}
	if s.Term != want.Term || !s.Members.equal(&want.Members) {
		return errors.Wrapf(ErrSnapshotMismatch, "term or members at index %d", s.Index)
	}
	c.log.compact(want)
	c.members.compact(s.Index)
	return nil
}

// sendSnapshot sends the snapshot to a member that needs dropped entries.
func (c *Core) sendSnapshot(p *progress) {
	s := c.log.snapshot
	p.state = restoring
	p.inflight = p.inflight[:0]
	p.snapshot = s.Index
	p.snapshotSent = c.now
	p.snapshotRound = c.lead.round
	c.send(Message{Kind: MsgSnapshot, To: p.id, Round: c.lead.round, Snapshot: &s})
}

// onRestoring leaves the restoring state once the member can go on from the
// log. An answer to a later round that shows no progress after ElectionTimeout
// means that the snapshot was lost.
func (c *Core) onRestoring(p *progress, m Message) {
	if m.Hint >= c.log.snapshot.Index {
		p.probe(m.Hint + 1)
		return
	}
	lost := m.Round > p.snapshotRound && c.now >= p.snapshotSent+c.cfg.ElectionTimeout
	if lost || m.Hint >= p.snapshot {
		p.probe(max(p.match, m.Hint) + 1)
		c.lead.flushDue = true
	}
}

// onSnapshot replaces the log by the leader's snapshot, unless the log holds
// everything in it already.
func (c *Core) onSnapshot(m Message) {
	c.hearLeader(m.From)
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
		c.members = newMembership(s)
		c.received = &s
	}
	c.send(Message{Kind: MsgSnapshotReply, To: m.From, Round: m.Round, Hint: c.log.commit})
}
