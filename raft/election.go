package raft

// resetElectionTimer draws a new election deadline between one and two ElectionTimeouts
// from now.
func (c *Core) resetElectionTimer() {
	c.electionDeadline = c.now + c.cfg.ElectionTimeout + c.drawTimeout()
}

// drawTimeout draws a time of up to one ElectionTimeout.
func (c *Core) drawTimeout() Instant {
	return Instant(c.rng.Int64N(int64(c.cfg.ElectionTimeout)))
}

// supportsLeader reports whether the member is the leader, or accepted a leader within
// ElectionTimeout and so must not help to elect another.
func (c *Core) supportsLeader() bool {
	return c.role == Leader || c.now < c.lastLeaderContact+c.cfg.ElectionTimeout
}

// mayCampaign reports whether the member may stand for election. A voter whose removal is
// not committed still may, because it may be the only member that holds the entry that
// removes it.
func (c *Core) mayCampaign() bool {
	return c.members.latest().isVoter(c.cfg.ID) || c.members.at(c.log.commit).isVoter(c.cfg.ID)
}

// preCampaign asks the other voters whether they would vote for this member in the next
// term. It leaves the term unchanged.
func (c *Core) preCampaign() {
	c.role = PreCandidate
	c.leader = 0
	c.preVotes = map[MemberID]bool{c.cfg.ID: true}
	if c.hasMajority(c.preVotes) {
		c.campaign(false)
		return
	}
	c.requestVotes(Message{Kind: MsgPreVote, Term: c.term + 1, VoteDelay: c.expectedWriteTime()})
}

// campaign starts an election in the next term. A lone voter leads once its vote is durable
// (finishWrite): it must not lead a term that it could forget. With transfer set, members may
// grant their vote although they still support the current leader.
func (c *Core) campaign(transfer bool) {
	c.becomeFollower(c.term, 0)
	c.setHardState(c.term+1, c.cfg.ID)
	c.role = Candidate
	c.votes = map[MemberID]bool{c.cfg.ID: true}
	c.requestVotes(Message{Kind: MsgVote, Term: c.term, Transfer: transfer})
}

// requestVotes sends request to every other voter, with the position of the last log
// entry.
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

// hasMajority reports whether a majority of the voters is in grantedBy.
func (c *Core) hasMajority(grantedBy map[MemberID]bool) bool {
	voters := c.members.latest().Voters
	granted := 0
	for _, id := range voters {
		if grantedBy[id] {
			granted++
		}
	}
	return granted >= majority(len(voters))
}

// onPreVote answers whether this member would vote for the sender. It also answers a
// sender that its own membership does not list as a voter, because that membership may be
// the older one.
func (c *Core) onPreVote(m Message) {
	reply := Message{Kind: MsgPreVoteReply, To: m.From}
	if reason := c.preVoteRefusal(m); reason != "" {
		c.recordRefusal(m, reason)
		reply.Reject = true
	} else {
		reply.Term = m.Term
		c.holdFor(m)
	}
	c.send(reply)
}

// preVoteRefusal returns why the member refuses a pre-vote, or "" if it grants it.
func (c *Core) preVoteRefusal(m Message) RefusalReason {
	switch {
	case m.Term <= c.term:
		return RefusedStaleTerm
	case c.supportsLeader():
		return RefusedLeaderKnown
	case c.log.moreUpToDateThan(m.LogIndex, m.LogTerm):
		return RefusedOlderLog
	case !c.hardStateDurable(), c.hold.forbids(&m, c.now):
		return RefusedElectionPending
	}
	return ""
}

// hold is a member's restraint towards an election that it takes part in: until then it grants
// no other member a pre-vote. It protects elections whose votes take long to write; no guarantee
// depends on it, and it is forgotten on restart.
type hold struct {
	candidate MemberID
	// logIndex and logTerm are the position of the candidate's last entry.
	logIndex, logTerm uint64
	until             Instant
	// term is the term in which the candidate wants to lead. Holds for candidates of one term
	// end at limit.
	term  uint64
	limit Instant
}

// forbids reports whether the member refuses the pre-vote that m asks for. A candidate whose log is
// more up to date is not refused: the other one may need its vote, and can't have it.
func (h *hold) forbids(m *Message, now Instant) bool {
	better := m.LogTerm > h.logTerm || m.LogTerm == h.logTerm && m.LogIndex > h.logIndex
	return now < h.until && h.candidate != m.From && !better
}

// holdFor holds still for a candidate that was granted a pre-vote, until it can ask for votes. The
// time for which a member does so is limited for each term: a candidate that asks again may be
// unable to win, or to receive the answers.
func (c *Core) holdFor(m Message) {
	if c.now < c.hold.until && c.hold.candidate == m.From {
		return
	}
	longest := (1 + maxVoteDelayTimeouts) * c.cfg.ElectionTimeout
	limit := c.hold.limit
	if m.Term > c.hold.term {
		limit = c.now + longest
	}
	until := min(c.now+c.cfg.Heartbeat+max(m.VoteDelay, 0), limit)
	if until <= c.now {
		return
	}
	c.hold = hold{
		candidate: m.From, logIndex: m.LogIndex, logTerm: m.LogTerm, until: until,
		term: max(m.Term, c.hold.term), limit: limit,
	}
	if c.electionDeadline < until {
		c.electionDeadline = until + c.drawTimeout()
	}
}

// recordRefusal records that the vote or pre-vote which m asks for was refused.
func (c *Core) recordRefusal(m Message, reason RefusalReason) {
	c.refused = Refusal{Candidate: m.From, Term: m.Term, Reason: reason}
}

// onPreVoteReply starts the election once a majority has granted pre-votes.
func (c *Core) onPreVoteReply(m Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	c.preVotes[m.From] = true
	if c.hasMajority(c.preVotes) {
		c.campaign(false)
	}
}

// onVote grants the vote of the current term to the first candidate that qualifies.
func (c *Core) onVote(m Message) {
	reason := c.voteRefusal(m)
	if reason == "" {
		c.setHardState(c.term, m.From)
		c.resetElectionTimer()
	} else {
		c.recordRefusal(m, reason)
	}
	c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: reason != ""})
}

// voteRefusal returns why the member refuses a vote in the current term, or "" if it
// grants it. A member that knows the leader of the term grants no new vote in that term. A
// transfer overrides its support for an earlier leader.
func (c *Core) voteRefusal(m Message) RefusalReason {
	switch {
	case c.vote != 0 && c.vote != m.From:
		return RefusedVoteGiven
	case c.vote == 0 && c.leader != 0, c.supportsLeader() && !m.Transfer:
		return RefusedLeaderKnown
	case c.log.moreUpToDateThan(m.LogIndex, m.LogTerm):
		return RefusedOlderLog
	}
	return ""
}

// onVoteReply makes this member the leader once a majority has voted for it.
func (c *Core) onVoteReply(m Message) {
	if c.votes == nil || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasMajority(c.votes) {
		c.becomeLeader()
	}
}

// becomeLeader makes this member the leader of the current term, and appends the no-op
// entry of that term.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes, c.preVotes = nil, nil
	c.leaderState = &leaderState{
		noopIndex:        c.log.lastIndex() + 1,
		uncommittedBytes: c.log.sizeBytes(c.log.commit+1, c.log.lastIndex()),
	}
	c.syncPeers()
	c.appendEntry(Entry{Kind: EntryNoop})
	c.startRound()
}
