package raft

// transfer is a handover of leadership in progress.
type transfer struct {
	// target is the target, or zero.
	target MemberID
	// deadline is when the handover is given up.
	deadline Instant
	// timeoutNowSent says that the target was told to campaign. Followers may then vote
	// for it although they hear this leader, so the lease is over in this term.
	timeoutNowSent bool
}

// Transfer hands leadership to another voter once it holds the whole log.
// Proposals are refused meanwhile. If the target has not taken over within
// ElectionTimeout, this member leads on, in a new term if the target was told
// to campaign. It answers ErrNotLeader, ErrUnknownVoter, or ErrChangePending if
// a transfer to another target is in progress.
func (c *Core) Transfer(to MemberID, now Instant) error {
	c.advanceTime(now)
	if c.role != Leader {
		return ErrNotLeader
	}
	if to == c.cfg.ID || !c.members.latest().isVoter(to) {
		return ErrInvalidTransferTarget
	}
	if t := c.leaderState.transfer; t.target != 0 {
		if t.target == to {
			return nil
		}
		return ErrChangePending
	}
	c.leaderState.transfer = transfer{target: to, deadline: c.now + c.cfg.ElectionTimeout}
	c.continueTransfer()
	return nil
}

// continueTransfer tells the target to campaign once it holds the whole log.
func (c *Core) continueTransfer() {
	if c.leaderState == nil {
		return
	}
	t := &c.leaderState.transfer
	if t.target == 0 || t.timeoutNowSent {
		return
	}
	if p := c.leaderState.peer(t.target); p != nil && p.match == c.log.lastIndex() {
		c.sendTimeoutNow(p)
	}
}

// sendTimeoutNow tells a voter to campaign, which ends the lease.
func (c *Core) sendTimeoutNow(p *progress) {
	if p == nil {
		return
	}
	c.leaderState.transfer.timeoutNowSent = true
	c.send(Message{Kind: MsgTimeoutNow, To: p.id})
}

// transferExpired reports whether a handover took too long.
func (c *Core) transferExpired() bool {
	t := c.leaderState.transfer
	return t.target != 0 && c.now >= t.deadline
}

// abandonTransfer gives a handover up. Once the target was told to campaign it may
// still do so at any later time, therefore the leader moves to a new term, in
// which that order and its vote requests are void, to have a lease again.
func (c *Core) abandonTransfer() {
	if !c.leaderState.transfer.timeoutNowSent {
		c.leaderState.transfer = transfer{}
		return
	}
	c.campaign(true)
}

// onTimeoutNow campaigns at once on the order of the leader of this term.
func (c *Core) onTimeoutNow() {
	if c.role != Leader && c.mayCampaign() {
		c.campaign(true)
	}
}
