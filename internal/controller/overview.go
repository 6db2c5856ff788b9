package controller

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/residency"
)

// Overview is what a control node knows, for operators who look for a cause. It is
// this node's view; only the leader's is up to date.
type Overview struct {
	Node string `json:"node"`
	// Leads says that this node leads, Leader is the link address of the one that
	// does; empty if unknown.
	Leads  bool   `json:"leads"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// Orders says that the leader sends orders by now.
	Orders  bool             `json:"orders"`
	Members []MemberOverview `json:"members"`
	// Version is the configuration in force here.
	Version uint64 `json:"version"`
	// EntryNodes is how many entry nodes follow this one.
	EntryNodes int                `json:"entryNodes"`
	Upstreams  []UpstreamOverview `json:"upstreams"`
	// Demand are the models that calls wait for, on the leader.
	Demand []residency.DemandOverview `json:"demand"`
}

// MemberOverview is one member of the control group.
type MemberOverview struct {
	Node  string `json:"node"`
	Link  string `json:"link"`
	Voter bool   `json:"voter"`
	// Durable is the last entry known to be on its disk; zero where this node does
	// not lead.
	Durable uint64 `json:"durable"`
}

// UpstreamOverview is one upstream.
type UpstreamOverview struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	// Age is the time since it last announced itself.
	Age     contract.Duration `json:"age"`
	Leaving bool              `json:"leaving"`
	// Engine is nil for plain services and where this node does not lead.
	Engine *residency.EngineOverview `json:"engine,omitempty"`
	// Models are those that it holds as nodes are told.
	Models []string `json:"models,omitempty"`
}

// Overview returns what this node knows at present.
func (c *Controller) Overview(ctx context.Context) (Overview, error) {
	status := c.rep.Status()
	o := Overview{
		Node: c.cfg.Node, Leader: c.leader(), Term: status.Term, Version: c.store.version(), Members: c.memberOverview(),
	}
	err := c.loop.Do(ctx, func() {
		now := boottime.Now()
		o.Leads, o.Orders, o.EntryNodes = c.term != 0, c.fence != 0 && now >= c.ordering, len(c.entries)
		for _, u := range c.registry.Live() {
			o.Upstreams = append(o.Upstreams, c.upstreamOverview(u.ID, now))
		}
		if c.planner != nil {
			o.Demand = c.planner.DemandOverview(now)
		}
	})
	return o, err
}

func (c *Controller) memberOverview() []MemberOverview {
	status := c.rep.Status()
	voters := map[uint64]bool{}
	for _, id := range status.Members.Voters {
		voters[uint64(id)] = true
	}
	var list []MemberOverview
	for _, m := range c.store.memberList() {
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
