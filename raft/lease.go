package raft

// heartbeatRound is when a round of heartbeats was sent.
type heartbeatRound struct {
	number uint64
	sentAt Instant
}

// roundTracker is the leader's heartbeat roundTracker. A round that a majority answered
// proves that no other leader was elected before it was sent, and that none
// will be for ElectionTimeout after that.
type roundTracker struct {
	// latestRound is the number of the latest latestRound.
	latestRound uint64
	// nextRoundAt is when the next one is due.
	nextRoundAt Instant
	// roundDue says that Take starts one.
	roundDue bool
	// unconfirmedRounds are the rounds that no majority has answered, ascending.
	unconfirmedRounds []heartbeatRound
	// confirmedRound is the latest round that a majority answered; zero if none.
	confirmedRound heartbeatRound
}

// readBarrier is a read request that waits for leadership to be confirmed.
type readBarrier struct {
	request uint64
	index   uint64
	round   uint64
}

// tickLeader starts rounds, and steps down when no majority answers.
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

// majorityResponsive reports whether a majority of the voters answered within
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

// startRound numbers a new round, to be sent to everybody.
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

// confirmRounds takes note of the rounds that a majority has answered.
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

// LeaseValid reports whether the member may act alone as the leader at now,
// which must be read just before. It holds for Lease after a round was sent that
// a majority answered, once an entry of the leader's own term is committed, and
// ends for good when leadership is handed over.
func (c *Core) LeaseValid(now Instant) bool {
	if c.role != Leader || c.leaderState.transfer.timeoutNowSent || c.log.commit < c.leaderState.noopIndex {
		return false
	}
	confirmed := c.leaderState.confirmedRound
	return confirmed.number > 0 && max(now, c.now) < confirmed.sentAt+c.cfg.Lease
}

// ReadBarrier asks for the index that must be applied before a read that sees
// everything committed until now. Output.Reads answers under the caller's
// request number once a majority has confirmed the leadership, or with OK false
// if it was lost. It answers ErrNotLeader on other members.
func (c *Core) ReadBarrier(request uint64, now Instant) error {
	c.advanceTime(now)
	if c.role != Leader {
		return ErrNotLeader
	}
	// Entries committed by earlier leaders come before this leader's first one,
	// but may not be known here as committed yet.
	index := max(c.log.commit, c.leaderState.noopIndex)
	c.leaderState.queuedBarriers = append(c.leaderState.queuedBarriers, readBarrier{request: request, index: index})
	c.leaderState.flushDue = true
	return nil
}

// failReadBarriers answers the open barriers of a leader that steps down.
func (c *Core) failReadBarriers() {
	for _, b := range c.leaderState.pendingBarriers {
		c.reads = append(c.reads, ReadResult{Request: b.request})
	}
	for _, b := range c.leaderState.queuedBarriers {
		c.reads = append(c.reads, ReadResult{Request: b.request})
	}
}
