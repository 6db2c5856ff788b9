package raft

// resetElection draws the next election deadline.
func (c *Core) resetElection() {
	timeout := c.cfg.ElectionTimeout
	c.electionDeadline = c.now + timeout + Instant(c.rng.Int64N(int64(timeout)))
}

// supportsLeader reports whether the member leads, or has promised its support
// to a leader that it heard within ElectionTimeout.
func (c *Core) supportsLeader() bool {
	return c.role == Leader || c.now < c.heard+c.cfg.ElectionTimeout
}

// promotable reports whether the member may campaign. One whose removal is not
// committed still may: nobody else may hold the entry that removes it.
func (c *Core) promotable() bool {
	return c.members.latest().isVoter(c.cfg.ID) || c.members.at(c.log.commit).isVoter(c.cfg.ID)
}

// preCampaign asks whether an election could be won, changing no term.
func (c *Core) preCampaign() {
	c.role = PreCandidate
	c.leader = 0
	c.votes = map[MemberID]bool{c.cfg.ID: true}
	if c.wonVotes() {
		c.campaign(false)
		return
	}
	c.askVotes(Message{Kind: MsgPreVote, Term: c.term + 1})
}

// campaign stands for election in a new term.
func (c *Core) campaign(transfer bool) {
	c.becomeFollower(c.term, 0)
	c.setHard(c.term+1, c.cfg.ID)
	c.role = Candidate
	c.votes = map[MemberID]bool{c.cfg.ID: true}
	if c.wonVotes() {
		c.becomeLeader()
		return
	}
	c.askVotes(Message{Kind: MsgVote, Term: c.term, Transfer: transfer})
}

// askVotes sends a vote request to every other voter.
func (c *Core) askVotes(request Message) {
	request.LogIndex = c.log.last()
	request.LogTerm = c.log.lastTerm()
	for _, id := range c.members.latest().Voters {
		if id == c.cfg.ID {
			continue
		}
		request.To = id
		c.send(request)
	}
}

// wonVotes reports whether a majority of the voters granted the campaign.
func (c *Core) wonVotes() bool {
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
	grant := m.Term > c.term && !c.supportsLeader() && !c.log.newerThan(m.LogIndex, m.LogTerm)
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
	if c.wonVotes() {
		c.campaign(false)
	}
}

// onVote gives the vote of this term to the first member that may have it.
func (c *Core) onVote(m Message) {
	free := c.vote == m.From || c.vote == 0 && c.leader == 0
	supports := c.supportsLeader() && !m.Transfer
	grant := free && !supports && !c.log.newerThan(m.LogIndex, m.LogTerm)
	if grant {
		c.setHard(c.term, m.From)
		c.resetElection()
	}
	c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

// onVoteReply takes the lead once a majority voted for this member.
func (c *Core) onVoteReply(m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.wonVotes() {
		c.becomeLeader()
	}
}

// becomeLeader takes the lead of the present term and appends its first entry.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.lead = &leadership{
		noop:        c.log.last() + 1,
		uncommitted: c.log.bytes(c.log.commit+1, c.log.last()),
	}
	c.syncPeers()
	c.appendOwn(Entry{Kind: EntryNoop})
	c.startRound()
}
