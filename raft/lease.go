package raft

// heartbeatRound is the number of a round of heartbeats and the time at which it was
// sent.
type heartbeatRound struct {
	number uint64
	sentAt Instant
}

// roundTracker tracks the leader's heartbeat rounds. A round that a majority answered
// proves that no other leader was elected before the round was sent, and that none will
// be for ElectionTimeout after that.
type roundTracker struct {
	// latestRound is the number of the latest round.
	latestRound uint64
	// nextRoundAt is when the next round is due.
	nextRoundAt Instant
	// roundDue is set when the next Take must start a round.
	roundDue bool
	// unconfirmedRounds are the rounds that no majority has answered, in ascending order.
	unconfirmedRounds []heartbeatRound
	// confirmedRound is the latest round that a majority answered. Its number is zero if
	// there is none.
	confirmedRound heartbeatRound
}

// readBarrier is a read request that waits until a majority answers its heartbeat round.
type readBarrier struct {
	request uint64
	index   uint64
	round   uint64
}

// tickLeader steps down if no majority responds, abandons an expired leadership transfer,
// and otherwise requests a heartbeat round when one is due.
func (c *Core) tickLeader() {
	if !c.majorityResponsive() {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transferExpired() {
		c.abandonTransfer()
		return
	}
	if c.now >= c.leaderState.nextRoundAt {
		c.leaderState.roundDue = true
		c.leaderState.flushDue = true
	}
}

// majorityResponsive reports whether a majority of the voters responded within
// ElectionTimeout.
func (c *Core) majorityResponsive() bool {
	voters := c.members.latest().Voters
	responding := 0
	for _, id := range voters {
		if c.responsive(id) {
			responding++
		}
	}
	return responding >= majority(len(voters))
}

// startRound starts a heartbeat round: every peer is due a heartbeat, and the queued read
// barriers wait for this round.
func (c *Core) startRound() {
	l := c.leaderState
	l.latestRound++
	l.roundDue = false
	l.nextRoundAt = c.now + c.cfg.Heartbeat
	l.unconfirmedRounds = append(l.unconfirmedRounds, heartbeatRound{number: l.latestRound, sentAt: c.now})
	for _, b := range l.queuedBarriers {
		b.round = l.latestRound
		l.pendingBarriers = append(l.pendingBarriers, b)
	}
	l.queuedBarriers = nil
	for _, p := range l.peers {
		p.heartbeatDue = true
	}
	l.flushDue = true
	c.confirmRounds()
}

// confirmRounds records the rounds that a majority has answered, and answers the read
// barriers that waited for them.
func (c *Core) confirmRounds() {
	l := c.leaderState
	answeredRound := c.quorumValue(l.latestRound, func(p *progress) uint64 { return p.answeredRound })
	for len(l.unconfirmedRounds) > 0 && l.unconfirmedRounds[0].number <= answeredRound {
		l.confirmedRound = l.unconfirmedRounds[0]
		l.unconfirmedRounds = l.unconfirmedRounds[1:]
	}
	for len(l.pendingBarriers) > 0 && l.pendingBarriers[0].round <= l.confirmedRound.number {
		b := l.pendingBarriers[0]
		c.reads = append(c.reads, ReadResult{Request: b.request, Index: b.index, OK: true})
		l.pendingBarriers = l.pendingBarriers[1:]
	}
}

// LeaseValid reports whether the member may act alone as the leader at now, which the
// caller must read from the clock immediately before the call. The lease lasts for
// Config.Lease from the sending of the latest heartbeat round that a majority answered.
// It requires a committed entry of the leader's own term, and ends for the rest of the
// term once another voter was told to take over the leadership.
func (c *Core) LeaseValid(now Instant) bool {
	if c.role != Leader || c.leaderState.transfer.timeoutNowSent || c.log.commit < c.leaderState.noopIndex {
		return false
	}
	confirmed := c.leaderState.confirmedRound
	return confirmed.number > 0 && max(now, c.now) < confirmed.sentAt+c.cfg.Lease
}

// ReadBarrier requests the index that must be applied before a read that sees everything
// committed so far. Output.Reads returns the answer under the caller's request number,
// with OK true once a majority has confirmed the leadership, or with OK false if the
// leadership was lost. ReadBarrier returns ErrNotLeader if the member is not the
// leader.
func (c *Core) ReadBarrier(request uint64, now Instant) error {
	c.advanceTime(now)
	if c.role != Leader {
		return ErrNotLeader
	}
	// Entries committed by earlier leaders precede this leader's no-op entry, but may not
	// be known as committed here yet.
	index := max(c.log.commit, c.leaderState.noopIndex)
	c.leaderState.queuedBarriers = append(c.leaderState.queuedBarriers, readBarrier{request: request, index: index})
	c.leaderState.flushDue = true
	return nil
}

// failReadBarriers answers all unanswered read barriers with OK false when the leader
// steps down.
func (c *Core) failReadBarriers() {
	for _, b := range c.leaderState.pendingBarriers {
		c.reads = append(c.reads, ReadResult{Request: b.request})
	}
	for _, b := range c.leaderState.queuedBarriers {
		c.reads = append(c.reads, ReadResult{Request: b.request})
	}
}
