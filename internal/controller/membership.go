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
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/supervisor"
	"github.com/agateslip/agateslip/raft"
)

const (
	// membershipInterval is the cadence of looking at the members.
	membershipInterval = 200 * time.Millisecond
	// lostAfter is how long a member must be out of reach before another one may
	// take its place: longer than a restart takes.
	lostAfter = 4 * time.Second
	// joinTime bounds a question about membership.
	joinTime = time.Second
	// memberChange bounds a change of the membership.
	memberChange = 2 * time.Second
	// leaderless is how long a member hears no leader before it asks whether it
	// still is one.
	leaderless = 5 * time.Second
)

// keepMembership connects to the other members, joins the group where this node
// is none of them, and on the leader keeps the members in order.
func (c *Controller) keepMembership(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	var peers []peer.Peer
	heard := boottime.Now()
	for ask := 0; ; ask++ {
		if next := c.peerList(); !slices.Equal(peers, next) {
			peers = next
			c.mesh.SetPeers(peers)
		}
		status := c.rep.Status()
		if status.Leader != 0 {
			heard = boottime.Now()
		}
		switch {
		case status.Role == raft.Leader:
			c.keepOrder(ctx, status)
		case !c.isMember(status) || boottime.Now()-heard > leaderless || c.misplaced():
			if err := c.join(ctx, ask, c.fresh(status)); err != nil {
				return supervisor.Permanent(err)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// fresh reports whether this member never belonged to the group.
func (c *Controller) fresh(status raft.Status) bool { return status.LastIndex == 0 }

func (c *Controller) isMember(status raft.Status) bool {
	return slices.Contains(status.Members.Voters, c.member) || slices.Contains(status.Members.Learners, c.member)
}

// misplaced reports whether the group does not know this member as it is.
func (c *Controller) misplaced() bool { return c.store.members()[uint64(c.member)] != c.self() }

// peerList is the other control nodes: members, and the seeds until the members
// are known.
func (c *Controller) peerList() []peer.Peer {
	var members []string
	for _, m := range c.store.memberList() {
		members = append(members, m.Link)
	}
	var peers []peer.Peer
	for _, link := range linksToKeep(members, c.leader(), slices.Concat(c.seeds, c.links.all())) {
		if link != c.cfg.Listen.Links {
			peers = append(peers, peer.Peer{Name: link, Addr: link})
		}
	}
	return peers
}

// linksToKeep are the addresses to be connected to: the members that this node has
// applied, and the leader, who may be none of them: a new member applies the log
// from its beginning and must answer the leader to hear the rest. Where one of the
// two is unknown, any address may help.
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

// join asks one control node after the other for membership.
func (c *Controller) join(ctx context.Context, turn int, fresh bool) error {
	target := c.leader()
	if target == "" || target == c.cfg.Listen.Links {
		peers := c.peerList()
		if len(peers) == 0 {
			return nil
		}
		target = peers[turn%len(peers)].Name
	}
	answer, err := c.askJoin(ctx, target, fresh)
	if err != nil {
		c.links.hint(hintOf(err))
		c.log.Event("join not answered", eventlog.Fields{"asked": target, "hint": hintOf(err), "error": err.Error()})
		return nil
	}
	c.links.tell(answer.Members)
	if answer.Retired {
		c.log.Event("member was replaced", eventlog.Fields{"member": c.member})
		return c.discard()
	}
	return nil
}

func (c *Controller) askJoin(ctx context.Context, target string, fresh bool) (nodelink.JoinAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	var answer nodelink.JoinAnswer
	err := c.mesh.Call(ctx, target, nodelink.Join, nodelink.JoinRequest{Member: c.self(), Fresh: fresh}, &answer)
	return answer, err
}

// errReplaced says that the process must start again as a new member.
var errReplaced = errors.New("another member took this one's place")

// discard empties the data folder, so that the next start joins as a new member.
func (c *Controller) discard() error {
	if err := emptyFolder(c.cfg.Data); err != nil {
		return err
	}
	return errReplaced
}

// wantedVoters is the size of a group that survives the losses.
func (c *Controller) wantedVoters() int { return 2*c.cfg.Losses + 1 }

// keepOrder makes one step from the present membership towards the wanted one.
func (c *Controller) keepOrder(ctx context.Context, status raft.Status) {
	members := c.store.members()
	now := boottime.Now()
	missing := c.missing(status, now)
	ctx, cancel := context.WithTimeout(ctx, memberChange)
	defer cancel()
	step, fields, err := c.step(ctx, status, members, missing)
	if step == "" {
		return
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.log.Event(step, fields)
}

// missing are the voters that have been out of reach for long.
func (c *Controller) missing(status raft.Status, now time.Duration) []raft.MemberID {
	var missing []raft.MemberID
	for _, id := range status.Members.Voters {
		link, ok := c.links.NodeOf(id)
		if id == c.member || ok && c.mesh.Reachable(link) {
			delete(c.lost, id)
			continue
		}
		since, known := c.lost[id]
		if !known {
			c.lost[id] = now
		} else if now-since > lostAfter {
			missing = append(missing, id)
		}
	}
	return missing
}

func (c *Controller) step(
	ctx context.Context, status raft.Status, members map[uint64]confstate.Member, missing []raft.MemberID,
) (what string, fields eventlog.Fields, err error) {
	voters := status.Members.Voters
	for _, id := range slices.Concat(voters, status.Members.Learners) {
		if _, ok := members[uint64(id)]; !ok {
			// Its disk is gone: the node came back as another member.
			return "member removed", eventlog.Fields{"member": id}, c.rep.Remove(ctx, id)
		}
	}
	if len(voters) > c.wantedVoters() && len(missing) > 0 {
		id := uint64(missing[0])
		_, err := c.propose(ctx, confstate.Command{Retire: &id})
		return "member retired", eventlog.Fields{"member": id, "voters": len(voters)}, err
	}
	for _, m := range c.store.memberList() {
		id := raft.MemberID(m.ID)
		if !slices.Contains(voters, id) && !slices.Contains(status.Members.Learners, id) {
			return "learner added", eventlog.Fields{"member": id, "node": m.Node}, c.rep.AddLearner(ctx, id)
		}
	}
	for _, id := range status.Members.Learners {
		if len(voters) < c.wantedVoters() || len(missing) > 0 {
			err := c.rep.Promote(ctx, id)
			if errors.Is(err, raft.ErrNotCaughtUp) {
				continue
			}
			return "learner promoted", eventlog.Fields{"member": id, "voters": len(voters) + 1}, err
		}
	}
	return "", nil, nil
}

// Reload takes changed settings: where other control nodes are looked for.
func (c *Controller) Reload(cfg config.Managed) {
	seeds, err := cfg.SeedLinks()
	if err != nil {
		c.log.Event("seeds not taken", eventlog.Fields{"error": err.Error()})
		return
	}
	var members []confstate.Member
	for i, link := range seeds {
		members = append(members, confstate.Member{ID: uint64(founderID(link)), Link: link, Operators: cfg.Seeds[i]})
	}
	c.links.tell(members)
}
