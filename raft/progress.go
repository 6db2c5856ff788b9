package raft

import (
	"cmp"
	"slices"
)

// flowState is how the leader sends entries to a member.
type flowState uint8

const (
	// probing sends one append and waits for its answer.
	probing flowState = iota
	// replicating sends appends ahead of their answers.
	replicating
	// restoring waits for a snapshot to arrive.
	restoring
)

// progress is what the leader knows about another member.
type progress struct {
	id MemberID
	// match is the highest index known durable there.
	match uint64
	// next is the first index to send.
	next uint64
	// sendLimit, if set, is the last index to send: a member whose removal is not
	// committed must not hold the entry that removes it, or it could refuse its
	// vote to the rest without being able to win.
	sendLimit uint64
	state     flowState
	// probeSent says that the entries at next were sent in this probe.
	probeSent bool
	// inflight holds the last index of each unanswered append, ascending.
	inflight []uint64
	// heartbeatDue says that the present round was not sent yet.
	heartbeatDue bool
	// commitSent is the commit index sent last.
	commitSent uint64
	// answeredRound is the latest answeredRound answered.
	answeredRound uint64
	// lastReplyAt is when the last answer came.
	lastReplyAt Instant
	// snapshotIndex is the index of the snapshotIndex sent, snapshotSent when, and
	// snapshotRound in which round.
	snapshotIndex  uint64
	snapshotSentAt Instant
	snapshotRound  uint64
}

// startProbing falls back to one append at a time from next on.
func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.next = next
	p.probeSent = false
	p.inflight = p.inflight[:0]
}

// recordAccepted records that entries up to index are durable there.
func (p *progress) recordAccepted(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	acknowledged := 0
	for acknowledged < len(p.inflight) && p.inflight[acknowledged] <= index {
		acknowledged++
	}
	p.inflight = slices.Delete(p.inflight, 0, acknowledged)
	if p.state == probing && index >= p.match {
		p.state = replicating
		p.next = p.match + 1
	}
}

// rejectionIsStale reports whether a rejection of the append that follows prev
// answers an earlier state of the flow.
func (p *progress) rejectionIsStale(prev uint64) bool {
	switch p.state {
	case probing:
		return prev != p.next-1
	case replicating:
		return prev <= p.match
	default:
		return true
	}
}

// leaderState is the state of a leader.
type leaderState struct {
	// noopIndex is the index of the first entry of the term.
	noopIndex uint64
	// uncommittedBytes is the size of the entries that are not committed.
	uncommittedBytes int
	// peers are the other members, by ascending ID.
	peers []*progress
	// flushDue says that Take has messages to make.
	flushDue bool

	roundTracker
	// queuedBarriers are barriers that wait for the next round to start.
	queuedBarriers []readBarrier
	// pendingBarriers are barriers whose round is not confirmed.
	pendingBarriers []readBarrier

	transfer transfer
	// quorumBuffer is reused by quorum counts.
	quorumBuffer []uint64
}

// peer is the progress of a member, or nil.
func (l *leaderState) peer(id MemberID) *progress {
	i, ok := slices.BinarySearchFunc(l.peers, id, func(p *progress, id MemberID) int {
		return cmp.Compare(p.id, id)
	})
	if !ok {
		return nil
	}
	return l.peers[i]
}

// retainPeers drops the peers that are no longer members.
func (l *leaderState) retainPeers(m *Members) {
	l.peers = slices.DeleteFunc(l.peers, func(p *progress) bool { return !m.has(p.id) })
}

// mostAdvanced is the voter with the longest durable log, or nil.
func (l *leaderState) mostAdvanced(m *Members) *progress {
	var best *progress
	for _, p := range l.peers {
		if m.isVoter(p.id) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	return best
}

// syncPeers tracks every member of the latest membership, and members whose
// removal is not committed.
func (c *Core) syncPeers() {
	latest := c.members.latest()
	c.trackPeers(latest)
	c.trackPeers(c.members.at(c.log.commit))
	for _, p := range c.leaderState.peers {
		if !latest.has(p.id) {
			p.sendLimit = c.members.latestIndex() - 1
			p.next = min(p.next, p.sendLimit+1)
		}
	}
	c.leaderState.flushDue = true
}

// trackPeers adds the members that are not tracked yet.
func (c *Core) trackPeers(m *Members) {
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id == c.cfg.ID || c.leaderState.peer(id) != nil {
			continue
		}
		c.leaderState.peers = append(c.leaderState.peers, &progress{
			id:          id,
			next:        c.log.lastIndex() + 1,
			lastReplyAt: c.now,
		})
		slices.SortFunc(c.leaderState.peers, func(a, b *progress) int { return cmp.Compare(a.id, b.id) })
	}
}

// responsive reports whether a member answered within ElectionTimeout.
func (c *Core) responsive(id MemberID) bool {
	if id == c.cfg.ID {
		return true
	}
	p := c.leaderState.peer(id)
	return p != nil && c.now-p.lastReplyAt < c.cfg.ElectionTimeout
}

// quorumValue is the highest value that a majority of the voters have reached.
func (c *Core) quorumValue(ownValue uint64, peerValue func(*progress) uint64) uint64 {
	voters := c.members.latest().Voters
	if len(voters) == 0 {
		return 0
	}
	values := c.leaderState.quorumBuffer[:0]
	for _, id := range voters {
		switch p := c.leaderState.peer(id); {
		case id == c.cfg.ID:
			values = append(values, ownValue)
		case p != nil:
			values = append(values, peerValue(p))
		default:
			values = append(values, 0)
		}
	}
	c.leaderState.quorumBuffer = values
	slices.Sort(values)
	return values[len(values)-majority(len(values))]
}
