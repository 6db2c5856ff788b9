package controller

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/ratelimit"
	"github.com/agateslip/agateslip/residency"
)

// Overview is the state of the deployment as one control node knows it, for diagnosis by
// operators. Only the leader's overview is up to date.
type Overview struct {
	Node string `json:"node"`
	// Leads reports whether this node leads. Leader is the link address of the leader, or
	// "" if it is unknown.
	Leads  bool   `json:"leads"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// Orders reports whether this node leads and may send orders now.
	Orders  bool             `json:"orders"`
	Members []MemberOverview `json:"members"`
	// Version is the version of the configuration in this node's replicated state.
	Version uint64 `json:"version"`
	// EntryNodes is the number of entry nodes that watch this node.
	EntryNodes int                `json:"entryNodes"`
	Upstreams  []UpstreamOverview `json:"upstreams"`
	// Demand lists the models that calls wait for. It is empty unless this node leads.
	Demand []residency.DemandOverview `json:"demand"`
	// Quotas lists the quotas that calls have used lately. It is empty unless this node leads.
	Quotas []ratelimit.QuotaState `json:"quotas,omitempty"`
}

// MemberOverview is one member of the control group.
type MemberOverview struct {
	Node  string `json:"node"`
	Link  string `json:"link"`
	Voter bool   `json:"voter"`
	// Durable is the index of the last log entry known to be on the member's disk. It is
	// zero unless this node leads.
	Durable uint64 `json:"durable"`
}

// UpstreamOverview is one live upstream.
type UpstreamOverview struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	// Age is the time since its latest announcement.
	Age     contract.Duration `json:"age"`
	Leaving bool              `json:"leaving"`
	// Engine is nil for plain services, and unless this node leads.
	Engine *residency.EngineOverview `json:"engine,omitempty"`
	// Models are the models that it serves according to the registry, which the nodes
	// copy.
	Models []string `json:"models,omitempty"`
}

// Overview returns the current overview.
func (c *Controller) Overview(ctx context.Context) (Overview, error) {
	status := c.raftReplica.Status()
	o := Overview{
		Node: c.cfg.Node, Leader: c.leader(), Term: status.Term, Version: c.stateMachine.version(), Members: c.memberOverview(),
	}
	err := c.loop.Do(ctx, func() {
		now := boottime.Now()
		o.Leads, o.Orders, o.EntryNodes = c.term != 0, c.fence != 0 && now >= c.ordersAllowedAt, len(c.entryNodes)
		for _, u := range c.registry.Live() {
			o.Upstreams = append(o.Upstreams, c.upstreamOverview(u.ID, now))
		}
		if c.planner != nil {
			o.Demand = c.planner.DemandOverview(now)
			o.Quotas = c.quotas.shares.Overview(now)
		}
	})
	return o, err
}

func (c *Controller) memberOverview() []MemberOverview {
	status := c.raftReplica.Status()
	voters := map[uint64]bool{}
	for _, id := range status.Members.Voters {
		voters[uint64(id)] = true
	}
	var list []MemberOverview
	for _, m := range c.stateMachine.memberList() {
		o := MemberOverview{Node: m.Node, Link: m.Link, Voter: voters[m.ID]}
		for id, match := range status.Match {
			if uint64(id) == m.ID {
				o.Durable = match
			}
		}
		list = append(list, o)
	}
	return list
}

func (c *Controller) upstreamOverview(id string, now time.Duration) UpstreamOverview {
	u, _ := c.registry.Get(id)
	o := UpstreamOverview{
		ID: u.ID, Service: u.Service, Addr: u.Addr, Domain: u.Domain, Leaving: u.Leaving, Models: modelNames(u.Residents),
		Age: contract.Duration(now - c.registry.Heard(id)),
	}
	if c.planner != nil {
		o.Engine = c.planner.EngineOverview(id, now)
	}
	return o
}
