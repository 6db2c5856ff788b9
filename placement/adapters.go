package placement

import (
	"cmp"
	"slices"
	"time"
)

// adapterLoad is an adapter load order whose result has not been reported.
type adapterLoad struct {
	grant   uint64
	adapter string
	sentAt  Instant
}

// adapterNeed is an adapter that requests wait for and the replica that is to load it.
// remaining is the time to the earliest deadline of these requests.
type adapterNeed struct {
	replica   *replica
	adapter   string
	remaining time.Duration
}

// orderAdapterLoads orders the adapters that requests wait for to be loaded onto ready
// replicas, earliest deadline first. Config.AdaptersInFlight limits the loads in progress
// over all upstreams, because every load slows down beyond it. Needs above the limit wait
// for a later round.
func (r *round) orderAdapterLoads() {
	if !r.in.Leadership.Lease {
		return
	}
	r.dropFinishedAdapterLoads()
	needs := r.adapterNeeds()
	slices.SortStableFunc(needs, func(a, b adapterNeed) int {
		if c := cmp.Compare(a.remaining, b.remaining); c != 0 {
			return c
		}
		if c := cmp.Compare(a.replica.ID, b.replica.ID); c != 0 {
			return c
		}
		return cmp.Compare(a.adapter, b.adapter)
	})
	for _, n := range needs {
		if len(r.adapterLoads) >= r.config.AdaptersInFlight {
			return
		}
		if r.adapterLoadInProgress(n.replica.ID, n.adapter) {
			continue
		}
		r.adapterLoads = append(r.adapterLoads, adapterLoad{grant: n.replica.ID, adapter: n.adapter, sentAt: r.now})
		r.plan.Orders = append(r.plan.Orders, Order{
			Kind: LoadAdapter, Upstream: n.replica.Upstream, Incarnation: n.replica.Incarnation,
			Grant: n.replica.ID, Fence: r.in.Ledger.Last, Key: n.replica.Key, Adapter: n.adapter,
		})
	}
}

// ObserveAdapter records that an upstream answered an adapter load order, whether the load
// succeeded or failed.
func (p *Planner) ObserveAdapter(grant uint64, adapter string) {
	p.adapterLoads = slices.DeleteFunc(p.adapterLoads, func(l adapterLoad) bool {
		return l.grant == grant && l.adapter == adapter
	})
}

// dropFinishedAdapterLoads removes the loads whose adapter is announced, whose replica
// ended or is lost, or whose order deadline passed. An order past its deadline may be sent
// again.
func (r *round) dropFinishedAdapterLoads() {
	if len(r.adapterLoads) == 0 {
		return
	}
	r.adapterLoads = slices.DeleteFunc(r.adapterLoads, func(l adapterLoad) bool {
		if r.now >= l.sentAt+r.in.Leadership.OrderDeadline {
			return true
		}
		at, found := r.in.Ledger.search(l.grant)
		if !found {
			return true
		}
		rep := &r.replicas[at]
		return rep.lost() || rep.hasAdapter(l.adapter)
	})
}

// adapterLoadInProgress reports whether the adapter is being loaded onto the replica of the
// grant.
func (r *round) adapterLoadInProgress(grant uint64, adapter string) bool {
	return slices.ContainsFunc(r.adapterLoads, func(l adapterLoad) bool {
		return l.grant == grant && l.adapter == adapter
	})
}

// adapterNeeds returns one need for each row of demand with requests that wait for an
// adapter, if a replica can load it.
func (r *round) adapterNeeds() []adapterNeed {
	var needs []adapterNeed
	for i := range r.in.Demand {
		d := &r.in.Demand[i]
		if d.Adapter == "" || d.Waiting == 0 {
			continue
		}
		m := r.modelsByKey[d.Key]
		if m == nil {
			continue
		}
		if target := m.adapterTarget(d.Adapter); target != nil {
			needs = append(needs, adapterNeed{replica: target, adapter: d.Adapter, remaining: d.Remaining})
		}
	}
	return needs
}

// adapterTarget returns the least busy of the model's ready replicas. It returns nil if no
// replica is ready, or if it finds a ready one that already has the adapter.
func (m *model) adapterTarget(adapter string) *replica {
	var best *replica
	for _, rep := range m.live {
		if rep.status != statusReady || rep.lost() || rep.upstream.announcement.Leaving {
			continue
		}
		if rep.hasAdapter(adapter) {
			return nil
		}
		if best == nil || rep.upstream.busy < best.upstream.busy {
			best = rep
		}
	}
	return best
}

// hasAdapter reports whether the upstream announces the adapter as loaded on the replica.
func (rep *replica) hasAdapter(adapter string) bool {
	a := rep.upstream.announcement
	for i := range a.Replicas {
		if a.Replicas[i].Grant == rep.ID {
			return slices.Contains(a.Replicas[i].Adapters, adapter)
		}
	}
	return false
}
