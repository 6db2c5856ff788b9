package raft

// resetElectionTimer draws the next election deadline.
func (c *Core) resetElectionTimer() {
	timeout := c.cfg.ElectionTimeout
	c.electionDeadline = c.now + timeout + Instant(c.rng.Int64N(int64(timeout)))
}

// supportsLeader reports whether the member leads, or has promised its support
// to a leader that it heard within ElectionTimeout.
func (c *Core) supportsLeader() bool {
	return c.role == Leader || c.now < c.lastLeaderContact+c.cfg.ElectionTimeout
}

// mayCampaign reports whether the member may campaign. One whose removal is not
// committed still may: nobody else may hold the entry that removes it.
func (c *Core) mayCampaign() bool {
	return c.members.latest().isVoter(c.cfg.ID) || c.members.at(c.log.commit).isVoter(c.cfg.ID)
}

// preCampaign asks whether an election could be won, changing no term.
func (c *Core) preCampaign() {
	c.role = PreCandidate
	c.leader = 0
	c.votes = map[MemberID]bool{c.cfg.ID: true}
	if c.hasMajorityVotes() {
		c.campaign(false)
		return
	}
	c.requestVotes(Message{Kind: MsgPreVote, Term: c.term + 1})
}

// campaign stands for election in a new term.
func (c *Core) campaign(transfer bool) {
	c.becomeFollower(c.term, 0)
	c.setHardState(c.term+1, c.cfg.ID)
	c.role = Candidate
	c.votes = map[MemberID]bool{c.cfg.ID: true}
	if c.hasMajorityVotes() {
		c.becomeLeader()
		return
	}
	c.requestVotes(Message{Kind: MsgVote, Term: c.term, Transfer: transfer})
}

// requestVotes sends a vote request to every other voter.
func (c *Core) requestVotes(request Message) {
	request.LogIndex = c.log.lastIndex()
	request.LogTerm = c.log.lastTerm()
	for _, id := range c.members.latest().Voters {
		if id == c.cfg.ID {
			continue
		}
		request.To = id
		c.send(request)
	}
}

// hasMajorityVotes reports whether a majority of the voters granted the campaign.
func (c *Core) hasMajorityVotes() bool {
	voters := c.members.latest().Voters
	granted := 0
	for _, id := range voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted >= majority(len(voters))
}

// onPreVote answers whether this member would vote for the sender. A member
// answers although it does not know the sender as a voter: its own membership
// may be the older one.
func (c *Core) onPreVote(m Message) {
	grant := m.Term > c.term && !c.supportsLeader() && !c.log.moreUpToDateThan(m.LogIndex, m.LogTerm)
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	c.send(reply)
}

// onPreVoteReply campaigns once a majority would vote for this member.
func (c *Core) onPreVoteReply(m Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasMajorityVotes() {
		c.campaign(false)
	}
}

// onVote gives the vote of this term to the first member that may have it.
func (c *Core) onVote(m Message) {
	voteAvailable := c.vote == m.From || c.vote == 0 && c.leader == 0
	supportsOther := c.supportsLeader() && !m.Transfer
	grant := voteAvailable && !supportsOther && !c.log.moreUpToDateThan(m.LogIndex, m.LogTerm)
	if grant {
		c.setHardState(c.term, m.From)
		c.resetElectionTimer()
	}
	c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

// onVoteReply takes the lead once a majority voted for this member.
func (c *Core) onVoteReply(m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasMajorityVotes() {
		c.becomeLeader()
	}
}

// becomeLeader takes the lead of the present term and appends its first entry.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.leaderState = &leaderState{
		noopIndex:        c.log.lastIndex() + 1,
		uncommittedBytes: c.log.sizeBytes(c.log.commit+1, c.log.lastIndex()),
	}
	c.syncPeers()
	c.appendEntry(Entry{Kind: EntryNoop})
	c.startRound()
}
