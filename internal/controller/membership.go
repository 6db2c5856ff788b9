package controller

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/supervisor"
	"github.com/agateslip/agateslip/raft"
)

const (
	// membershipInterval is the interval of membership checks.
	membershipInterval = 200 * time.Millisecond
	// catchUpInterval is the interval of checks while a learner that is to be promoted catches up.
	catchUpInterval = 20 * time.Millisecond
	// memberChangeTimeout bounds one membership change.
	memberChangeTimeout = 2 * time.Second
	// leaderlessTimeout is how long a member knows no leader before it asks other nodes
	// whether it is still a member.
	leaderlessTimeout = 5 * time.Second
)

// keepMembership keeps the connections to the other control nodes. It joins the group if
// this node is not a member, and adjusts the membership if it is the leader.
func (c *Controller) keepMembership(ctx context.Context) error {
	var peers []peer.Peer
	leaderHeardAt := boottime.Now()
	var targets joinTargets
	attempts := joinAttempts{answers: map[string]string{}}
	for {
		_, leaderChanged := c.raftReplica.WatchStatus()
		status, _ := c.raftReplica.CurrentStatus()
		pause := c.membershipInterval
		if next := c.peerList(status, targets.links(boottime.Now())); !slices.Equal(peers, next) {
			peers = next
			c.mesh.SetPeers(peers)
		}
		if status.Leader != 0 {
			leaderHeardAt = boottime.Now()
		}
		switch {
		case status.Role == raft.Leader:
			pause = c.adjustMembership(ctx, status)
		case !c.isMember(status) || boottime.Now()-leaderHeardAt > leaderlessTimeout || c.registrationOutdated():
			if err := c.join(ctx, &targets, &attempts, peers, c.neverJoined(status)); err != nil {
				return supervisor.Permanent(err)
			}
		}
		c.reportJoinAttempts(&attempts, &targets, status, boottime.Now())
		if !c.awaitMembershipCheck(ctx, time.After(pause), leaderChanged, &targets) {
			return nil
		}
	}
}

// awaitMembershipCheck waits for the next tick, another leader, a member that joined at this leader, or a leader
// that was not named before: one that was sends many messages between two ticks. It returns false when ctx ends.
func (c *Controller) awaitMembershipCheck(
	ctx context.Context, tick <-chan time.Time, leaderChanged <-chan struct{}, targets *joinTargets,
) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case <-leaderChanged:
			return true
		case <-c.memberJoined:
			return true
		case link := <-c.leaderSeen:
			if targets.name(link, boottime.Now()) {
				return true
			}
		}
	}
}

// noteLeader tells the membership part of a leader that takes this node for another member, as it does after
// a disk was lost. Such a node may have no other way to find the leader: all seeds may have lost their logs.
func (c *Controller) noteLeader(link string) {
	select {
	case c.leaderSeen <- link:
	default:
	}
}

// neverJoined reports whether this member has an empty log and so has never belonged to
// the group.
func (c *Controller) neverJoined(status raft.Status) bool { return status.LastIndex == 0 }

func (c *Controller) isMember(status raft.Status) bool {
	return slices.Contains(status.Members.Voters, c.member) || slices.Contains(status.Members.Learners, c.member)
}

// registrationOutdated reports whether the replicated entry of this member is missing or
// differs from its settings.
func (c *Controller) registrationOutdated() bool {
	return c.stateMachine.members()[uint64(c.member)] != c.selfMember()
}

// peerList returns the other control nodes to connect to, as linksToKeep selects them. named holds those that
// were named as the leader.
func (c *Controller) peerList(status raft.Status, named []string) []peer.Peer {
	members := c.addresses.linksOf(status.Members)
	for _, m := range c.stateMachine.memberList() {
		members = append(members, m.Link)
	}
	var peers []peer.Peer
	leader, _ := c.addresses.NodeOf(status.Leader)
	for _, link := range linksToKeep(members, leader, slices.Concat(c.seeds, c.addresses.learnedLinks(), named)) {
		if link != c.cfg.Listen.Links {
			peers = append(peers, peer.Peer{Name: link, Addr: link})
		}
	}
	return peers
}

// linksToKeep returns the link addresses to connect to, sorted: the members and the leader.
// The members are those of the Raft group and those in the applied state: a restarted leader
// has not applied the entries that name its later voters, and needs these voters to commit
// them. The leader may not be among the members: a new member applies the log from its
// beginning, and receives the rest only if it can answer the leader. While the members or
// the leader are unknown, the other addresses are included, since any of them may help.
func linksToKeep(members []string, leader string, others []string) []string {
	links := slices.Clone(members)
	if leader != "" {
		links = append(links, leader)
	}
	if leader == "" || len(members) == 0 {
		links = append(links, others...)
	}
	slices.Sort(links)
	return slices.Compact(links)
}

// targetVoters returns the number of voters that tolerates the configured number of lost
// nodes.
func (c *Controller) targetVoters() int { return 2*c.cfg.Losses + 1 }

// adjustMembership attempts at most one change towards the target membership and logs it.
// It attempts none before this leader has applied the members that its predecessors
// accepted: they would count as removed. It returns the pause before the next attempt; there is
// none after a change that was made, since the next one may be due.
func (c *Controller) adjustMembership(ctx context.Context, status raft.Status) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	if c.membershipTerm != status.Term {
		if _, err := c.raftReplica.ReadBarrier(ctx); err != nil {
			c.log.Event("membership left unchanged", eventlog.Fields{"term": status.Term, "error": err.Error()})
			return c.membershipInterval
		}
		c.membershipTerm = status.Term
	}
	members := c.stateMachine.members()
	changes, err := c.changeMembership(ctx, status, members, c.silence.silent(boottime.Now()))
	for _, change := range changes {
		if err != nil {
			change.fields["error"] = err.Error()
		}
		c.log.Event(change.message, change.fields)
	}
	switch {
	case errors.Is(err, raft.ErrNotCaughtUp):
		return catchUpInterval
	case len(changes) == 0 || err != nil:
		return c.membershipInterval
	}
	return 0
}

// replaceTimeout returns how long a voter must be unreachable before another member
// replaces it. The rest of the catch-up time is for noticing the silence, a change of leader
// and the membership changes.
func (c *Controller) replaceTimeout() time.Duration { return time.Duration(c.cfg.CatchUp) / 4 }

// retireCatchUps is the number of catch-up times after which a member without a vote that is
// unreachable counts as gone for good.
const retireCatchUps = 30

// retireTimeout returns how long a member without a vote must be unreachable before it is
// retired. Until then it can return with its log.
func (c *Controller) retireTimeout() time.Duration {
	return retireCatchUps * time.Duration(c.cfg.CatchUp)
}

// membershipChange is the log message of a membership change.
type membershipChange struct {
	message string
	fields  eventlog.Fields
}

// changeMembership makes the first membership change that is due and returns what it changed, or nothing if
// none is due. The error matches raft.ErrNotCaughtUp if all that is due is to promote a learner that is
// catching up.
//
// A member deletes its log once it is retired, so a voter first loses its vote.
func (c *Controller) changeMembership(
	ctx context.Context, status raft.Status, members map[uint64]confstate.Member, silent map[raft.MemberID]time.Duration,
) ([]membershipChange, error) {
	voters, learners := status.Members.Voters, status.Members.Learners
	_, anyLost := longestSilent(voters, silent, c.replaceTimeout())
	removed, added, changes := c.dueExchange(status.Members, members, silent)
	if len(changes) > 0 {
		return changes, c.raftReplica.Exchange(ctx, removed, added)
	}
	for _, m := range c.stateMachine.memberList() {
		id := raft.MemberID(m.ID)
		if !slices.Contains(voters, id) && silent[id] > c.retireTimeout() {
			_, err := c.propose(ctx, confstate.Command{Retire: &m.ID})
			return []membershipChange{{"member retired", eventlog.Fields{"member": id, "node": m.Node}}}, err
		}
	}
	var catchingUp error
	for _, id := range learners {
		if silent[id] <= c.replaceTimeout() && (len(voters) < c.targetVoters() || anyLost) {
			err := c.raftReplica.Promote(ctx, id)
			if errors.Is(err, raft.ErrNotCaughtUp) {
				catchingUp = err
				continue
			}
			return []membershipChange{{"learner promoted", eventlog.Fields{"member": id, "voters": len(voters) + 1}}}, err
		}
	}
	if id, ok := c.surplusVoter(status); ok {
		change := membershipChange{"surplus voter removed", eventlog.Fields{"member": id, "voters": len(voters)}}
		return []membershipChange{change}, c.raftReplica.Remove(ctx, id)
	}
	return nil, catchingUp
}

// dueExchange returns the members to remove from the Raft group and those to add to it in one step. Removed are
// the members that are in the group only: they were retired, or their disks are gone and their nodes joined
// under new IDs. If there are none, a lost voter is removed if there are more voters than the target. At most one
// voter is removed at a time. A member that has just joined is added even if the connection to it is not
// confirmed yet.
func (c *Controller) dueExchange(
	group raft.Members, members map[uint64]confstate.Member, silent map[raft.MemberID]time.Duration,
) (removed, added []raft.MemberID, changes []membershipChange) {
	voterRemoved := false
	for _, id := range slices.Concat(group.Voters, group.Learners) {
		votes := slices.Contains(group.Voters, id)
		if _, ok := members[uint64(id)]; ok || votes && voterRemoved {
			continue
		}
		voterRemoved = voterRemoved || votes
		removed = append(removed, id)
		changes = append(changes, membershipChange{"member removed", eventlog.Fields{"member": id}})
	}
	lost, anyLost := longestSilent(group.Voters, silent, c.replaceTimeout())
	if len(removed) == 0 && len(group.Voters) > c.targetVoters() && anyLost {
		removed = append(removed, lost)
		fields := eventlog.Fields{"member": lost, "voters": len(group.Voters), "silentMillis": silent[lost].Milliseconds()}
		changes = append(changes, membershipChange{"lost voter removed", fields})
	}
	for _, m := range c.stateMachine.memberList() {
		id := raft.MemberID(m.ID)
		if !slices.Contains(group.Voters, id) && !slices.Contains(group.Learners, id) && silent[id] <= c.replaceTimeout() {
			added = append(added, id)
			changes = append(changes, membershipChange{"learner added", eventlog.Fields{"member": id, "node": m.Node}})
		}
	}
	return removed, added, changes
}

// longestSilent returns the voter that has been unreachable for the longest time, if that is
// longer than timeout.
func longestSilent(
	voters []raft.MemberID, silent map[raft.MemberID]time.Duration, timeout time.Duration,
) (lost raft.MemberID, ok bool) {
	for _, id := range voters {
		if silent[id] > max(timeout, silent[lost]) {
			lost, ok = id, true
		}
	}
	return lost, ok
}

// surplusVoter returns the voter to remove if there are more than the target and all have replied
// to this leader: the one for which a learner was promoted has come back. It stays a member.
func (c *Controller) surplusVoter(status raft.Status) (raft.MemberID, bool) {
	voters := status.Members.Voters
	if len(voters) <= c.targetVoters() {
		return 0, false
	}
	surplus := raft.MemberID(0)
	for _, id := range voters {
		if id == c.member {
			continue
		}
		if status.Match[id] == 0 || slices.Contains(status.Unresponsive, id) {
			return 0, false
		}
		surplus = id
	}
	return surplus, surplus != 0
}

// Reload applies changed settings: the seeds, where other control nodes are looked for.
// It ignores the other settings.
func (c *Controller) Reload(cfg config.Managed) {
	seeds, err := cfg.SeedLinkAddrs()
	if err != nil {
		c.log.Event("changed seeds are invalid", eventlog.Fields{"error": err.Error()})
		return
	}
	var members []confstate.Member
	for i, link := range seeds {
		members = append(members, confstate.Member{ID: uint64(founderID(link)), Link: link, Operators: cfg.Seeds[i]})
	}
	c.addresses.add(members)
}
