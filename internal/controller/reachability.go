package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/raft"
)

// maxObservationGap is the longest pause between two observations of the members after which
// silences go on. A process that was held up for longer does not know what it missed.
const maxObservationGap = 5 * membershipInterval

// observeMembers tracks which members this node can reach, until ctx ends. All nodes do, so
// that a new leader knows which voters were lost before its term.
func (c *Controller) observeMembers(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		status := c.raftReplica.Status()
		reachable, now := c.reachableMembers(status), boottime.Now()
		c.silence.observe(reachable, status.Leader != 0, now)
		c.reportMissingLeader(status, reachable, now)
		c.reportUnresponsiveVoters(status, now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reachableMembers returns, for each member of the Raft group and each member in the
// replicated state, whether this node can reach it. The leader does not reach a voter that does not
// reply, though the voter's address may answer: after the loss of a disk, the process there is another member.
func (c *Controller) reachableMembers(status raft.Status) map[raft.MemberID]bool {
	ids := slices.Concat(status.Members.Voters, status.Members.Learners)
	for id := range c.stateMachine.members() {
		ids = append(ids, raft.MemberID(id))
	}
	reachable := make(map[raft.MemberID]bool, len(ids))
	for _, id := range ids {
		link, ok := c.addresses.NodeOf(id)
		reachable[id] = id == c.member || ok && c.mesh.Reachable(link) && !slices.Contains(status.Unresponsive, id)
	}
	return reachable
}

// silence tracks how long members have been unreachable. It is safe for concurrent use.
type silence struct {
	mu         sync.Mutex
	observedAt time.Duration
	// since is when each unreachable member was first found so, and reached the members that
	// have been reachable since observation began.
	since   map[raft.MemberID]time.Duration
	reached map[raft.MemberID]bool
}

// observe records which members are reachable; it forgets all others. The silence of a member
// that was never reached begins only while a leader is known: until then this node or that
// member may still be starting.
func (s *silence) observe(reachable map[raft.MemberID]bool, leaderKnown bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.observedAt > maxObservationGap {
		s.since, s.reached = nil, nil
	}
	s.observedAt = now
	since, reached := map[raft.MemberID]time.Duration{}, map[raft.MemberID]bool{}
	for id, ok := range reachable {
		reached[id] = ok || s.reached[id]
		if ok {
			continue
		}
		if begun, silent := s.since[id]; silent {
			since[id] = begun
		} else if reached[id] || leaderKnown {
			since[id] = now
		}
	}
	s.since, s.reached = since, reached
}

// silent returns for how long each unreachable member has been so; there is no entry for the
// others.
func (s *silence) silent(now time.Duration) map[raft.MemberID]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := make(map[raft.MemberID]time.Duration, len(s.since))
	for id, begun := range s.since {
		silent[id] = max(now-begun, 1)
	}
	return silent
}

// spareVoters returns how many more voters may be lost while the group can still decide: the voters that
// reply to this leader, less a majority. It is zero on other members.
func spareVoters(status raft.Status) int {
	if status.Role != raft.Leader {
		return 0
	}
	voters := len(status.Members.Voters)
	return voters - len(status.Unresponsive) - (voters/2 + 1)
}

// reportUnresponsiveVoters logs, now and then, the voters that do not reply to this leader. One whose address
// answers has lost its log: the process there is another member.
func (c *Controller) reportUnresponsiveVoters(status raft.Status, now time.Duration) {
	leads := status.Role == raft.Leader
	missing, report := c.unresponsive.observe(!leads || len(status.Unresponsive) == 0, now)
	if !report || !leads {
		return
	}
	var connected, unconnected []raft.MemberID
	for _, id := range status.Unresponsive {
		if link, ok := c.addresses.NodeOf(id); ok && c.mesh.Reachable(link) {
			connected = append(connected, id)
		} else {
			unconnected = append(unconnected, id)
		}
	}
	c.log.Event("voters do not reply", eventlog.Fields{
		"connected": connected, "unconnected": unconnected, "missingMillis": missing.Milliseconds(), "spareVoters": spareVoters(status),
	})
}
