package raft

// transfer is a leadership transfer in progress.
type transfer struct {
	// target is the voter that is to lead, or zero if no transfer is in progress.
	target MemberID
	// deadline is when the transfer is abandoned.
	deadline Instant
	// timeoutNowSent is set when a voter was told to campaign. Followers may then vote
	// for it although they still support this leader, so the leader has no lease for the
	// rest of the term.
	timeoutNowSent bool
}

// TransferLeadership hands leadership to another voter once that voter holds the whole
// log. Proposals are refused meanwhile. If the target has not taken over within
// ElectionTimeout, this member abandons the transfer and leads on. If the target was told
// to campaign, that takes an election in a new term. TransferLeadership returns
// ErrNotLeader, ErrInvalidTransferTarget, or ErrChangePending if a transfer to another
// target is in progress.
func (c *Core) TransferLeadership(to MemberID, now Instant) error {
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

// sendTimeoutNow tells a voter to campaign at once, which ends this leader's lease. It
// does nothing if p is nil.
func (c *Core) sendTimeoutNow(p *progress) {
	if p == nil {
		return
	}
	c.leaderState.transfer.timeoutNowSent = true
	c.send(Message{Kind: MsgTimeoutNow, To: p.id})
}

// transferExpired reports whether the transfer in progress has reached its deadline.
func (c *Core) transferExpired() bool {
	t := c.leaderState.transfer
	return t.target != 0 && c.now >= t.deadline
}

// abandonTransfer gives up the transfer. A target that was told to campaign may still do
// so at any later time. The leader then campaigns for a new term, in which MsgTimeoutNow
// and the target's vote requests are stale, so that it can hold a lease again.
func (c *Core) abandonTransfer() {
	if !c.leaderState.transfer.timeoutNowSent {
		c.leaderState.transfer = transfer{}
		return
	}
	c.campaign(true)
}

// onTimeoutNow starts a campaign at once, as the leader of the current term requests.
func (c *Core) onTimeoutNow() {
	if c.role != Leader && c.mayCampaign() {
		c.campaign(true)
	}
}
