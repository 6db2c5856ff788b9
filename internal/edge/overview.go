package edge

import (
	"context"
	"maps"
	"slices"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/internal/boottime"
)

// Overview is what an entry node knows, for operators who look for a cause.
type Overview struct {
	Node string `json:"node"`
	// Asked is the link address of the control node that this one follows.
	Asked string `json:"asked"`
	// Version is the configuration in force here; zero before the first.
	Version uint64 `json:"version"`
	// Stopping says that a planned stop has begun.
	Stopping bool `json:"stopping"`
	// Active is how many calls are in progress, Waiting how many have no verdict.
	Active  int64 `json:"active"`
	Waiting int64 `json:"waiting"`
	// Demand are the models that calls wait for here.
	Demand    []dispatch.Demand  `json:"demand"`
	Upstreams []UpstreamOverview `json:"upstreams"`
}

// UpstreamOverview is one upstream.
type UpstreamOverview struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	// Leaving says that it takes no new calls; Doubted that the leader does not list
	// it.
	Leaving bool `json:"leaving"`
	Doubted bool `json:"doubted"`
	dispatch.Health
	Models []string `json:"models,omitempty"`
	// ClosedFor is how long it gets no calls after failures.
	ClosedFor contract.Duration `json:"closedFor,omitempty"`
}

// Overview returns what this node knows at present.
func (e *Edge) Overview(ctx context.Context) (Overview, error) {
	o := Overview{
		Node: e.cfg.Node, Asked: e.leader.current(), Stopping: e.stopping.Load(),
		Active: e.active.Load(), Waiting: e.waitingCalls.Load(),
	}
	if v := e.view.Load(); v != nil {
		o.Version = v.version
	}
	err := e.loop.Do(ctx, func() {
		now := boottime.Now()
		o.Demand = e.dispatcher.Demand(now)
		for _, id := range slices.Sorted(maps.Keys(e.upstreams)) {
			k := e.upstreams[id]
			u := UpstreamOverview{ID: id, Service: k.desc.Service, Addr: k.desc.Addr, Leaving: k.desc.Leaving, Doubted: k.doubted != 0}
			u.Health = e.dispatcher.Health(id, now)
			u.ClosedFor = contract.Duration(u.PausedFor)
			for _, r := range k.desc.Residents {
				u.Models = append(u.Models, r.Model)
			}
			o.Upstreams = append(o.Upstreams, u)
		}
	})
	return o, err
}
