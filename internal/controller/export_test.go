package controller

import (
	"context"
	"slices"
	"time"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/origin"
	"github.com/agateslip/agateslip/raft"
	"github.com/agateslip/agateslip/ratelimit"
)

// SlowApplication makes the node take d longer to apply each log entry. It must be called
// before Run.
func (c *Controller) SlowApplication(d time.Duration) {
	notify := c.stateMachine.notify
	c.stateMachine.notify = func() {
		time.Sleep(d)
		notify()
	}
}

// SetMembershipInterval sets the interval of membership checks. It must be called before Run.
func (c *Controller) SetMembershipInterval(d time.Duration) { c.membershipInterval = d }

// RecordStream records a stream that begins, as for an entry node.
func (c *Controller) RecordStream(ctx context.Context, software string, k origin.Key) error {
	_, err := c.serveRecordStreams(ctx, "front", nodelink.RecordStreamsRequest{Begun: origin.Add(nil, software, k)})
	return err
}

// FindStream tells at which version a stream began, as to an entry node.
func (c *Controller) FindStream(ctx context.Context, service string, k origin.Key) (nodelink.FindStreamAnswer, error) {
	answer, err := c.serveFindStream(ctx, "front", nodelink.FindStreamRequest{Service: service, Key: &k})
	if err != nil {
		return nodelink.FindStreamAnswer{}, err
	}
	return answer.(nodelink.FindStreamAnswer), nil
}

// ConfirmUpstream tells whether an incarnation of an upstream still runs, as to an entry node.
func (c *Controller) ConfirmUpstream(ctx context.Context, i fleet.Incarnation) (nodelink.ConfirmUpstreamAnswer, error) {
	answer, err := c.serveConfirmUpstream(ctx, "front", i)
	if err != nil {
		return nodelink.ConfirmUpstreamAnswer{}, err
	}
	return answer.(nodelink.ConfirmUpstreamAnswer), nil
}

// Depart proposes a departure, as a leader of another version would.
func (c *Controller) Depart(ctx context.Context, d confstate.Departure) error {
	_, err := c.propose(ctx, confstate.Command{Depart: &d})
	return err
}

// ApplyChanges applies changes that a leader lists.
func (c *Controller) ApplyChanges(ctx context.Context, whole bool, upstreams []fleet.Upstream) error {
	return c.loop.Do(ctx, func() { c.applyChanges(whole, upstreams) })
}

// Leads reports whether this node leads.
func (c *Controller) Leads() bool {
	_, leads := c.raftReplica.CurrentStatus()
	return leads
}

// Upstreams returns the upstreams that this node takes to be there.
func (c *Controller) Upstreams() []fleet.Upstream {
	var live []fleet.Upstream
	// Do fails only once the node has stopped, which lists none.
	_ = c.loop.Do(context.Background(), func() { live = c.registry.Live() })
	return live
}

// KeepsDeparture reports whether this node has applied the departure of an upstream.
func (c *Controller) KeepsDeparture(id string) bool {
	_, ok := c.stateMachine.departure(id)
	return ok
}

// CurrentVersion returns what this node says to entry nodes of the version that is current.
func (c *Controller) CurrentVersion() (uint64, error) { return c.currentVersion() }

// ReportQuotas reports as an entry node that holds nothing.
func (c *Controller) ReportQuotas(ctx context.Context) error {
	_, err := c.serveQuotas(ctx, "front", ratelimit.ShareReport{Process: 1, Seq: 1})
	return err
}

// HoldUp keeps the node's loop from what is asked of it after the call, until goOn is called.
func (c *Controller) HoldUp() (goOn func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c.loop.Post(func() { <-ctx.Done() })
	return cancel
}

// Succession returns what this node, as the leader of a term, knows of the leader before it.
func (c *Controller) Succession() (previous, term, version uint64) {
	status, _ := c.raftReplica.CurrentStatus()
	previous, version = c.stateMachine.succession(status.Term)
	return previous, status.Term, version
}

// LinksAsLeader returns the nodes that this node would connect to if it led.
func (c *Controller) LinksAsLeader() []string {
	status := c.raftReplica.Status()
	status.Leader = c.member
	var links []string
	for _, p := range c.peerList(status, nil) {
		links = append(links, p.Name)
	}
	return links
}

// HandOver makes another member the leader if this node leads, and reports whether it did.
func (c *Controller) HandOver(ctx context.Context) bool {
	return c.raftReplica.Status().Role == raft.Leader && c.raftReplica.Transfer(ctx) == nil
}

// HasVoters reports whether this node leads a group of the given voters, which all reply.
func (c *Controller) HasVoters(ids []raft.MemberID) bool {
	status := c.raftReplica.Status()
	voters := slices.Sorted(slices.Values(status.Members.Voters))
	return status.Role == raft.Leader && len(status.Unresponsive) == 0 && slices.Equal(voters, slices.Sorted(slices.Values(ids)))
}
