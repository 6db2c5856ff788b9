package raft

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// majority returns how many of n voters are needed for a decision.
func majority(n int) int {
	return n/2 + 1
}

func (m *Members) isVoter(id MemberID) bool {
	return slices.Contains(m.Voters, id)
}

func (m *Members) isLearner(id MemberID) bool {
	return slices.Contains(m.Learners, id)
}

func (m *Members) has(id MemberID) bool {
	return m.isVoter(id) || m.isLearner(id)
}

// equal reports whether two memberships have the same voters and the same learners, in
// any order.
func (m *Members) equal(o *Members) bool {
	return sameSet(m.Voters, o.Voters) && sameSet(m.Learners, o.Learners)
}

// sameSet reports whether two lists have the same members, in any order.
func sameSet(a, b []MemberID) bool {
	added, removed := difference(a, b)
	return len(added)+len(removed) == 0
}

// without returns the members of a that are not in b.
func without(a, b []MemberID) []MemberID {
	var out []MemberID
	for _, id := range a {
		if !slices.Contains(b, id) {
			out = append(out, id)
		}
	}
	return out
}

// difference returns the members added and the members removed from current to next.
func difference(next, current []MemberID) (added, removed []MemberID) {
	return without(next, current), without(current, next)
}

// wellFormed reports whether there is at least one voter, and no member ID is zero or
// listed twice.
func (m *Members) wellFormed() bool {
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	distinct := len(slices.Compact(slices.Clone(all))) == len(all)
	return len(m.Voters) > 0 && distinct && all[0] != 0
}

// membershipVersion is a membership and the index from which it is in force.
type membershipVersion struct {
	index   uint64
	members Members
}

// membershipHistory holds the memberships of the log in order: that of the snapshot, then
// that of each EntryMembers. The last one is in force, whether it is committed or not.
type membershipHistory struct {
	versions []membershipVersion
}

// newMembershipHistory returns a history that starts with the membership of s.
func newMembershipHistory(s Snapshot) membershipHistory {
	return membershipHistory{versions: []membershipVersion{{index: s.Index, members: s.Members.clone()}}}
}

// latest returns the membership in force.
func (h *membershipHistory) latest() *Members {
	return &h.versions[len(h.versions)-1].members
}

// latestIndex returns the index from which the latest membership is in force.
func (h *membershipHistory) latestIndex() uint64 {
	return h.versions[len(h.versions)-1].index
}

// at returns the membership that was in force at index.
func (h *membershipHistory) at(index uint64) *Members {
	for i := len(h.versions) - 1; i > 0; i-- {
		if h.versions[i].index <= index {
			return &h.versions[i].members
		}
	}
	return &h.versions[0].members
}

// extend records the memberships in the appended entries.
func (h *membershipHistory) extend(entries []Entry) {
	for i := range entries {
		if entries[i].Kind != EntryMembers {
			continue
		}
		version := membershipVersion{index: entries[i].Index, members: entries[i].Members.clone()}
		h.versions = append(h.versions, version)
	}
}

// truncate drops the memberships that are in force from index or later.
func (h *membershipHistory) truncate(index uint64) {
	for len(h.versions) > 1 && h.versions[len(h.versions)-1].index >= index {
		h.versions = h.versions[:len(h.versions)-1]
	}
}

// compact drops the memberships that were no longer in force at index.
func (h *membershipHistory) compact(index uint64) {
	for len(h.versions) > 1 && h.versions[1].index <= index {
		h.versions = slices.Delete(h.versions, 0, 1)
	}
}

// ProposeMembers appends a membership that is one step from the current one: at most one voter is
// removed, or one learner is promoted to voter, and any number of learners are added or removed, which count
// towards no majority. It returns ErrNotLeader, ErrChangePending, ErrNotCaughtUp or ErrUnsafeChange if it
// refuses the change. The change is decided once the entry at the returned index is committed with
// the returned term.
func (c *Core) ProposeMembers(m Members, now Instant) (index, term uint64, err error) {
	c.advanceTime(now)
	if c.role != Leader || c.leaderState.transfer.target != 0 {
		return 0, 0, ErrNotLeader
	}
	if c.log.commit < c.leaderState.noopIndex || c.members.latestIndex() > c.log.commit {
		return 0, 0, ErrChangePending
	}
	if err := c.checkChange(&m); err != nil {
		return 0, 0, err
	}
	next := m.clone()
	index = c.appendEntry(Entry{Kind: EntryMembers, Members: &next})
	c.syncPeers()
	return index, c.term, nil
}

// checkChange returns an error unless next is one safe step from the current membership.
func (c *Core) checkChange(next *Members) error {
	if !next.wellFormed() {
		return errors.Wrap(ErrUnsafeChange, "no voter, or a member is zero or named twice")
	}
	current := c.members.latest()
	addedVoters, removedVoters := difference(next.Voters, current.Voters)
	addedLearners, removedLearners := difference(next.Learners, current.Learners)
	switch {
	case len(addedVoters)+len(removedVoters)+len(addedLearners)+len(removedLearners) == 0:
		return errors.Wrap(ErrUnsafeChange, "no change")
	case len(addedVoters)+len(removedVoters) > 1:
		return errors.Wrapf(ErrUnsafeChange, "voters %v are added and %v removed at once", addedVoters, removedVoters)
	case len(without(addedVoters, removedLearners)) > 0:
		return errors.Wrap(ErrUnsafeChange, "a voter is added as a learner first")
	case len(without(removedVoters, addedLearners)) < len(removedVoters):
		return errors.Wrap(ErrUnsafeChange, "a voter does not become a learner")
	case len(addedVoters) == 1:
		return c.checkPromotion(next, addedVoters[0])
	case len(removedVoters) == 1:
		return c.checkMajorityResponsive(next)
	}
	return nil
}

// checkPromotion returns an error unless the learner responds, holds a part of the log, lags behind the
// commit index by at most CatchUpMargin, and leaves a responsive majority when promoted.
func (c *Core) checkPromotion(next *Members, id MemberID) error {
	p := c.leaderState.peer(id)
	if p == nil || !c.responsive(id) || p.match == 0 || p.match+c.cfg.CatchUpMargin < c.log.commit {
		return errors.Wrapf(ErrNotCaughtUp, "learner %d", id)
	}
	return c.checkMajorityResponsive(next)
}

// checkMajorityResponsive returns an error unless a majority of the voters of next
// responds and can write.
func (c *Core) checkMajorityResponsive(next *Members) error {
	responding := 0
	for _, id := range next.Voters {
		if c.responsive(id) && !c.stalled(id) {
			responding++
		}
	}
	if responding < majority(len(next.Voters)) {
		return errors.Wrapf(ErrUnsafeChange, "%d of %d voters answer", responding, len(next.Voters))
	}
	return nil
}

// finishMembershipChange completes the latest membership change once it is committed.
// Removed members are sent the log a last time. A leader that is no longer a voter tells
// the most advanced voter to campaign, and steps down.
func (c *Core) finishMembershipChange() {
	if c.members.latestIndex() > c.log.commit {
		return
	}
	latest := c.members.latest()
	removed := !latest.isVoter(c.cfg.ID)
	for _, p := range c.leaderState.peers {
		p.sendLimit = 0
		if removed || !latest.has(p.id) {
			p.heartbeatDue = true
			c.sendTo(p)
		}
	}
	c.leaderState.retainPeers(latest)
	if removed {
		c.sendTimeoutNow(c.leaderState.mostAdvanced(latest))
		c.becomeFollower(c.term, 0)
	}
}
