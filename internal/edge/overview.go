package edge

import (
	"context"
	"maps"
	"slices"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/internal/boottime"
)

// Overview is the state of an entry node, for operators who diagnose it.
type Overview struct {
	Node string `json:"node"`
	// ControlNode is the link address of the control node that this node follows.
	ControlNode string `json:"asked"`
	// Version is the version of the configuration in force; zero before the first.
	Version uint64 `json:"version"`
	// ProofAge is the age of the latest proof that the configuration is current; nil without one. LacksProof is set if
	// calls with keys are refused for want of a recent one.
	ProofAge   *contract.Duration `json:"proofAge,omitempty"`
	LacksProof bool               `json:"lacksProof,omitempty"`
	// Stopping is set once a planned stop has begun.
	Stopping bool `json:"stopping"`
	// Active is the number of calls in progress; Waiting is the number of those without
	// a verdict.
	Active  int64 `json:"active"`
	Waiting int64 `json:"waiting"`
	// Demand lists the models that calls wait for at this node.
	Demand    []dispatch.Demand  `json:"demand"`
	Upstreams []UpstreamOverview `json:"upstreams"`
}

// UpstreamOverview is the state of one upstream as this node sees it.
type UpstreamOverview struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	// Leaving is set if the upstream takes no new calls; Unlisted is set if the leader
	// does not list it.
	Leaving  bool `json:"leaving"`
	Unlisted bool `json:"doubted"`
	dispatch.Health
	// RateLimit is the upstream's limit in calls per second for all nodes together; nil
	// without one.
	RateLimit *float64 `json:"rateLimit,omitempty"`
	// Models names the models that are loaded at the upstream.
	Models []string `json:"models,omitempty"`
	// ClosedFor is how much longer the upstream is paused and gets no calls.
	ClosedFor contract.Duration `json:"closedFor,omitempty"`
}

// Overview returns the node's current state. It fails if ctx ends or the node stops
// first.
func (e *Edge) Overview(ctx context.Context) (Overview, error) {
	o := Overview{
		Node: e.cfg.Node, ControlNode: e.leader.current(), Stopping: e.stopping.Load(),
		Active: e.activeCalls.Load(), Waiting: e.waitingCalls.Load(),
	}
	o.Version, o.LacksProof = e.appliedVersion(), !e.takesKeys()
	if age, ok := e.proofAge(); ok {
		o.ProofAge = (*contract.Duration)(&age)
	}
	err := e.loop.Do(ctx, func() {
		now := boottime.Now()
		o.Demand = e.dispatcher.Demand(now)
		for _, id := range slices.Sorted(maps.Keys(e.upstreams)) {
			k := e.upstreams[id]
			u := UpstreamOverview{ID: id, Service: k.desc.Service, Addr: k.desc.Addr, Leaving: k.desc.Leaving, Unlisted: k.unlistedSince != 0}
			u.Health = e.dispatcher.Health(id, now)
			u.ClosedFor = contract.Duration(u.PausedFor)
			if limit := u.Health.RateLimit; limit.Limited {
				u.RateLimit = &limit.PerSecond
			}
			for _, r := range k.desc.Residents {
				u.Models = append(u.Models, r.Model)
			}
			o.Upstreams = append(o.Upstreams, u)
		}
	})
	return o, err
}
