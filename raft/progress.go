package raft

import (
	"cmp"
	"slices"
)

// flowState is the way in which the leader sends entries to a member.
type flowState uint8

const (
	// probing sends one append and waits for its reply.
	probing flowState = iota
	// replicating sends appends without waiting for the replies to earlier ones.
	replicating
	// restoring waits for the member to install a snapshot.
	restoring
)

// progress is the leader's state for one other member.
type progress struct {
	id MemberID
	// match is the highest index known to be durable on the member.
	match uint64
	// next is the first index to send.
	next uint64
	// sendLimit, if not zero, is the last index to send. It is set for a member whose
	// removal is not committed: if that member held the entry that removes it, it could
	// refuse its vote to the others without being able to win an election itself.
	sendLimit uint64
	state     flowState
	// probeSent is set when the entries at next have been sent in the current probe.
	probeSent bool
	// inflight holds the last index of each unanswered append, in ascending order.
	inflight []uint64
	// heartbeatDue is set when the current heartbeat round has not been sent to the
	// member.
	heartbeatDue bool
	// commitSent is the commit index in the last append sent.
	commitSent uint64
	// answeredRound is the latest heartbeat round that the member answered.
	answeredRound uint64
	// lastReplyAt is when the last reply arrived, or else when the leader began to track
	// the member.
	lastReplyAt Instant
	// stalled is set if the member's last reply said that its disk has stopped.
	stalled bool
	// snapshotIndex is the index of the last snapshot sent, snapshotSentAt is when it was
	// sent, and snapshotRound is the heartbeat round at that time.
	snapshotIndex  uint64
	snapshotSentAt Instant
	snapshotRound  uint64
}

// startProbing switches to probing from next on.
func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.next = next
	p.probeSent = false
	p.inflight = p.inflight[:0]
}

// recordAccepted records that the entries up to index are durable on the member.
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

// rejectionIsStale reports whether the rejection of an append that follows index prev no
// longer applies in the current flow state.
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

// leaderState is the state that a member keeps while it is the leader.
type leaderState struct {
	// noopIndex is the index of the no-op entry, the first of the leader's term.
	noopIndex uint64
	// uncommittedBytes is the total entrySize of the uncommitted entries.
	uncommittedBytes int
	// peers holds the progress of the other members, in ascending order of their IDs.
	peers []*progress
	// flushDue is set when the next Take must generate messages.
	flushDue bool

	roundTracker
	// queuedBarriers are read barriers that wait for the next heartbeat round to start.
	queuedBarriers []readBarrier
	// pendingBarriers are read barriers whose heartbeat round is not confirmed.
	pendingBarriers []readBarrier

	transfer transfer
	// quorumBuffer is reused by quorumValue.
	quorumBuffer []uint64
}

// peer returns the progress of a member, or nil if the leader does not track it.
func (l *leaderState) peer(id MemberID) *progress {
	i, ok := slices.BinarySearchFunc(l.peers, id, func(p *progress, id MemberID) int {
		return cmp.Compare(p.id, id)
	})
	if !ok {
		return nil
	}
	return l.peers[i]
}

// retainPeers stops tracking the peers that are not in m.
func (l *leaderState) retainPeers(m *Members) {
	l.peers = slices.DeleteFunc(l.peers, func(p *progress) bool { return !m.has(p.id) })
}

// mostAdvanced returns the peer with the highest match among the voters of m, or nil if
// there is none.
func (l *leaderState) mostAdvanced(m *Members) *progress {
	var best *progress
	for _, p := range l.peers {
		if m.isVoter(p.id) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	return best
}

// syncPeers tracks every member of the latest membership, and the members whose removal
// is not committed. The latter are not sent the entry that removes them.
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

// trackPeers starts to track the members of m that are not tracked yet.
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

// responsive reports whether a member replied within ElectionTimeout. The leader itself
// always counts as responsive.
func (c *Core) responsive(id MemberID) bool {
	if id == c.cfg.ID {
		return true
	}
	p := c.leaderState.peer(id)
	return p != nil && c.now-p.lastReplyAt < c.cfg.ElectionTimeout
}

// stalled reports whether a member that responds, or the leader itself, cannot write at the moment.
func (c *Core) stalled(id MemberID) bool {
	if id == c.cfg.ID {
		return c.writeStalled()
	}
	p := c.leaderState.peer(id)
	return p != nil && p.stalled
}

// quorumValue returns the highest value that a majority of the voters have reached, given
// the value of this member and a function for those of its peers.
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
