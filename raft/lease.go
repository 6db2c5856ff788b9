package raft

// roundStart is when a round of heartbeats was sent.
type roundStart struct {
	number uint64
	at     Instant
}

// rounds is the leader's heartbeat rounds. A round that a majority answered
// proves that no other leader was elected before it was sent, and that none
// will be for ElectionTimeout after that.
type rounds struct {
	// round is the number of the latest round.
	round uint64
	// nextRound is when the next one is due.
	nextRound Instant
	// roundDue says that Take starts one.
	roundDue bool
	// open are the rounds that no majority has answered, ascending.
	open []roundStart
	// confirmed is the latest round that a majority answered; zero if none.
	confirmed roundStart
}

// barrier is a read request that waits for leadership to be confirmed.
type barrier struct {
	request uint64
	index   uint64
	round   uint64
}

// tickLeader starts rounds, and steps down when no majority answers.
func (c *Core) tickLeader() {
	if !c.heardByMajority() {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transferExpired() {
		c.endTransfer()
		return
	}
	if c.now >= c.lead.nextRound {
		c.lead.roundDue = true
		c.lead.flushDue = true
	}
}

// heardByMajority reports whether a majority of the voters answered within
// ElectionTimeout.
func (c *Core) heardByMajority() bool {
	voters := c.members.latest().Voters
	heard := 0
	for _, id := range voters {
		if c.responsive(id) {
			heard++
		}
	}
	return heard >= majority(len(voters))
}

// startRound numbers a new round, to be sent to everybody.
func (c *Core) startRound() {
	l := c.lead
	l.round++
	l.roundDue = false
	l.nextRound = c.now + c.cfg.Heartbeat
	l.open = append(l.open, roundStart{number: l.round, at: c.now})
	for _, b := range l.queued {
		b.round = l.round
		l.waiting = append(l.waiting, b)
	}
	l.queued = nil
	for _, p := range l.peers {
		p.heartbeat = true
	}
	l.flushDue = true
	c.confirmRounds()
}

// confirmRounds takes note of the rounds that a majority has answered.
func (c *Core) confirmRounds() {
	l := c.lead
	answered := c.quorumValue(l.round, func(p *progress) uint64 { return p.round })
	for len(l.open) > 0 && l.open[0].number <= answered {
		l.confirmed = l.open[0]
		l.open = l.open[1:]
	}
	for len(l.waiting) > 0 && l.waiting[0].round <= l.confirmed.number {
		b := l.waiting[0]
		c.reads = append(c.reads, ReadResult{Request: b.request, Index: b.index, OK: true})
		l.waiting = l.waiting[1:]
	}
}

// LeaseValid reports whether the member may act alone as the leader at now,
// which must be read just before. It holds for Lease after a round was sent that
// a majority answered, once an entry of the leader's own term is committed, and
// ends for good when leadership is handed over.
func (c *Core) LeaseValid(now Instant) bool {
	if c.role != Leader || c.lead.transfer.sent || c.log.commit < c.lead.noop {
		return false
	}
	confirmed := c.lead.confirmed
	return confirmed.number > 0 && max(now, c.now) < confirmed.at+c.cfg.Lease
}

// ReadBarrier asks for the index that must be applied before a read that sees
// everything committed until now. Output.Reads answers under the caller's
// request number once a majority has confirmed the leadership, or with OK false
// if it was lost. It answers ErrNotLeader on other members.
func (c *Core) ReadBarrier(request uint64, now Instant) error {
	c.observe(now)
	if c.role != Leader {
		return ErrNotLeader
	}
	// Entries committed by earlier leaders come before this leader's first one,
	// but may not be known here as committed yet.
	index := max(c.log.commit, c.lead.noop)
	c.lead.queued = append(c.lead.queued, barrier{request: request, index: index})
	c.lead.flushDue = true
	return nil
}

// failReads answers the open barriers of a leader that steps down.
func (c *Core) failReads() {
	for _, b := range c.lead.waiting {
		c.reads = append(c.reads, ReadResult{Request: b.request})
	}
	for _, b := range c.lead.queued {
		c.reads = append(c.reads, ReadResult{Request: b.request})
	}
}
