package raft

import (
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"
)

// Core is the Raft state machine of one member. It is not safe for concurrent use.
//
// An Instant must not be read before the event that it describes: the caller reads the
// one for Step after the message has arrived. The Instant for Take must be read before
// the messages in its Output are sent, because the lease counts from it.
type Core struct {
	cfg Config
	rng *rand.Rand
	// now is the latest Instant that the caller has passed in.
	now Instant

	role   Role
	term   uint64
	vote   MemberID
	leader MemberID
	// hardStateChanged is set when term or vote has changed since the last Take.
	hardStateChanged bool

	log     entryLog
	members membershipHistory

	// lastLeaderContact is when the member last accepted a leader, of whatever term. The
	// member supports that leader for ElectionTimeout from then, so the value outlives
	// changes of term.
	lastLeaderContact Instant
	// electionDeadline is when a member that is not the leader starts a campaign.
	electionDeadline Instant
	// votes holds the members that voted for this member in the current term, and preVotes
	// those that granted a pre-vote for the next one. votes is nil unless the member is or
	// was a candidate in the current term: votes that arrive late count while it asks
	// for pre-votes.
	votes, preVotes map[MemberID]bool
	// hold keeps the member from disturbing a candidate that it helps.
	hold hold

	// write is the state that is being written, and writeTime how long writes have taken
	// lately.
	write     pendingWrite
	writeTime Instant
	// acknowledged is the latest round that was acknowledged ahead of its entries.
	acknowledged acknowledged

	// refused is the latest vote or pre-vote that the member refused.
	refused Refusal

	// leaderState is nil unless the member is the leader.
	leaderState *leaderState

	// messages and reads are returned by the next Take.
	messages []Message
	// receivedSnapshot replaced the log and has not been returned by Take yet.
	receivedSnapshot *Snapshot
	reads            []ReadResult
}

// New returns a member that starts from its durable state. It returns ErrConfig or
// ErrCorrupt if it cannot.
//
// A member with a HardState may have supported a leader just before it stopped, so it
// grants no vote within ElectionTimeout from now, except in a leadership transfer. No
// member's election timer expires within that time.
func New(cfg Config, from DurableState, now Instant) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(from)
	if err != nil {
		return nil, err
	}
	c := &Core{
		cfg:               cfg,
		rng:               rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		now:               now,
		term:              max(from.Hard.Term, from.Snapshot.Term),
		vote:              from.Hard.Vote,
		log:               log,
		members:           newMembershipHistory(from.Snapshot),
		lastLeaderContact: now,
	}
	if c.term > from.Hard.Term {
		c.vote = 0
	}
	if from.Hard == (HardState{}) {
		c.lastLeaderContact = now - cfg.ElectionTimeout
	}
	c.members.extend(log.entries)
	c.resetElectionTimer()
	return c, nil
}

// validate returns ErrConfig if a setting is missing or the durations are not in the
// order Heartbeat < Lease < ElectionTimeout.
func (cfg *Config) validate() error {
	switch {
	case cfg.ID == 0:
		return errors.Wrap(ErrConfig, "no member ID")
	case cfg.Heartbeat <= 0:
		return errors.Wrap(ErrConfig, "heartbeat is not positive")
	case cfg.Lease <= cfg.Heartbeat:
		return errors.Wrap(ErrConfig, "lease is not longer than the heartbeat")
	case cfg.ElectionTimeout <= cfg.Lease:
		return errors.Wrap(ErrConfig, "election timeout is not longer than the lease")
	case cfg.MaxBatchBytes <= 0 || cfg.MaxInflight <= 0:
		return errors.Wrap(ErrConfig, "flow control limits are not positive")
	}
	return nil
}

// advanceTime moves the member's time forward to now. It never moves back.
func (c *Core) advanceTime(now Instant) {
	c.now = max(c.now, now)
}

// Tick handles the timers that are due at now. The interval between calls bounds how late
// a timer is handled; a fraction of Heartbeat is usual.
func (c *Core) Tick(now Instant) {
	c.advanceTime(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now < c.electionDeadline {
		return
	}
	c.resetElectionTimer()
	if c.mayCampaign() && c.hardStateDurable() && !c.writeStalled() {
		c.preCampaign()
	} else {
		c.leader = 0
	}
}

// Step handles a received message. Lost, duplicated, delayed and reordered messages are
// safe; forged messages are not.
func (c *Core) Step(m Message, now Instant) {
	c.advanceTime(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID || m.From == 0 {
		return
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
		return
	}
	if m.Term > c.term && !c.adoptTerm(m) {
		return
	}
	switch m.Kind {
	case MsgPreVote:
		c.onPreVote(m)
	case MsgPreVoteReply:
		c.onPreVoteReply(m)
	case MsgVote:
		c.onVote(m)
	case MsgVoteReply:
		c.onVoteReply(m)
	case MsgAppend:
		c.onAppend(m)
	case MsgAppendReply:
		c.onAppendReply(m)
	case MsgSnapshot:
		c.onSnapshot(m)
	case MsgSnapshotReply:
		c.onAppendReply(m)
	case MsgTimeoutNow:
		c.onTimeoutNow()
	}
}

// adoptTerm handles a message of a newer term. It moves to that term if the message
// proves that the term has begun, and reports whether the message is still to be handled.
// A pre-vote request or a granted pre-vote names a term that may never begin.
func (c *Core) adoptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if c.supportsLeader() && !m.Transfer {
			c.recordRefusal(m, RefusedLeaderKnown)
			return false
		}
	case MsgTimeoutNow:
		return false
	case MsgAppendReply, MsgSnapshotReply:
		if c.role == Leader && c.leaderState.peer(m.From) == nil {
			return false
		}
	case MsgVoteReply, MsgAppend, MsgSnapshot:
	}
	c.becomeFollower(m.Term, 0)
	return true
}

// rejectStaleTerm rejects a message of an older term. The reply carries the current term.
func (c *Core) rejectStaleTerm(m Message) {
	switch m.Kind {
	case MsgPreVote:
		c.recordRefusal(m, RefusedStaleTerm)
		c.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgVote:
		c.recordRefusal(m, RefusedStaleTerm)
		c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
	case MsgAppend, MsgSnapshot:
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVoteReply, MsgVoteReply, MsgAppendReply, MsgSnapshotReply, MsgTimeoutNow:
	}
}

// send queues a message. A zero Term is replaced by the current term.
func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

// setHardState sets term and vote and records whether either changed.
func (c *Core) setHardState(term uint64, vote MemberID) {
	if c.term == term && c.vote == vote {
		return
	}
	c.term, c.vote = term, vote
	c.hardStateChanged = true
}

// becomeFollower leaves any other role and moves to term, which must not be older than
// the current one. A zero leader means that the leader is not known.
func (c *Core) becomeFollower(term uint64, leader MemberID) {
	if c.leaderState != nil {
		c.failReadBarriers()
		c.leaderState = nil
	}
	if term > c.term {
		c.setHardState(term, 0)
	}
	c.role = Follower
	c.leader = leader
	c.votes, c.preVotes = nil, nil
	c.resetElectionTimer()
}

// HasOutput reports whether the caller needs to call Take.
func (c *Core) HasOutput() bool {
	return c.hardStateChanged || c.receivedSnapshot != nil ||
		len(c.messages) > 0 || len(c.reads) > 0 ||
		c.log.takenForWrite < c.log.lastIndex() || c.log.takenForApply < c.log.commit ||
		c.leaderState != nil && c.leaderState.flushDue
}

// Take returns what the caller must do next, and clears it. Take must not be called again
// before the state in this Output is durable and its entries are reported by Persisted.
func (c *Core) Take(now Instant) Output {
	c.advanceTime(now)
	if c.role == Leader {
		c.flush()
	}
	out := Output{
		Snapshot:  c.receivedSnapshot,
		Entries:   c.log.entriesToWrite(),
		Messages:  c.messages,
		Committed: c.log.entriesToApply(),
		Reads:     c.reads,
	}
	if c.hardStateChanged {
		out.Hard = &HardState{Term: c.term, Vote: c.vote}
	}
	c.startWrite(&out)
	c.hardStateChanged = false
	c.receivedSnapshot = nil
	c.messages = nil
	c.reads = nil
	c.log.takenForWrite = c.log.lastIndex()
	c.log.takenForApply = c.log.commit
	return out
}

// Persisted reports that the state in the last Output of Take is durable, and with it the log
// up to index, which is zero if that Output had no entries. A leader counts its own copy of an
// entry towards the majority only after this call.
func (c *Core) Persisted(index uint64, now Instant) {
	c.advanceTime(now)
	c.finishWrite()
	c.log.markDurable(index)
	if c.role == Leader {
		c.maybeCommit()
	}
}

// Applied reports that the caller has applied the entries up to index.
func (c *Core) Applied(index uint64) {
	c.log.applied = max(c.log.applied, min(index, c.log.takenForApply))
}

// Status returns the current state of the member.
func (c *Core) Status() Status {
	s := Status{
		ID:        c.cfg.ID,
		Role:      c.role,
		Term:      c.term,
		Leader:    c.leader,
		Commit:    c.log.commit,
		Applied:   c.log.applied,
		LastIndex: c.log.lastIndex(),
		Durable:   c.log.durable,
		Members:   c.members.latest().clone(),
		Refused:   c.refused,
	}
	if c.leaderState == nil {
		return s
	}
	s.Match = make(map[MemberID]uint64, len(c.leaderState.peers)+1)
	s.Match[c.cfg.ID] = c.log.durable
	for _, p := range c.leaderState.peers {
		s.Match[p.id] = p.match
	}
	for _, id := range s.Members.Voters {
		if !c.responsive(id) {
			s.Unresponsive = append(s.Unresponsive, id)
		}
	}
	return s
}

// clone returns a deep copy of the membership.
func (m Members) clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}
