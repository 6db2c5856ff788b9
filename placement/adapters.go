package placement

import (
	"cmp"
	"slices"
	"time"
)

// adapterLoad is an adapter load in progress.
type adapterLoad struct {
	grant   uint64
	adapter string
	sentAt  Instant
}

// adapterNeed is an adapter that requests wait for.
type adapterNeed struct {
	replica   *replica
	adapter   string
	remaining time.Duration
}

// orderAdapters loads the adapters that requests wait for onto ready replicas,
// the earliest deadline first, within the shared limit of loads in progress.
// The rest waits here, as beyond the limit every load takes longer.
func (r *round) orderAdapters() {
	if !r.in.Leadership.Lease {
		return
	}
	r.finishAdapters()
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
		if len(r.adapters) >= r.config.AdaptersInFlight {
			return
		}
		if r.adapterInProgress(n.replica.ID, n.adapter) {
			continue
		}
		r.adapters = append(r.adapters, adapterLoad{grant: n.replica.ID, adapter: n.adapter, sentAt: r.now})
		r.plan.Orders = append(r.plan.Orders, Order{
			Kind: LoadAdapter, Upstream: n.replica.Upstream, Incarnation: n.replica.Incarnation,
			Grant: n.replica.ID, Fence: r.in.Ledger.Last, Key: n.replica.Key, Adapter: n.adapter,
		})
	}
}

// ObserveAdapter records that an upstream answered an adapter order, with
// success or not.
func (p *Planner) ObserveAdapter(grant uint64, adapter string) {
	p.adapters = slices.DeleteFunc(p.adapters, func(l adapterLoad) bool {
		return l.grant == grant && l.adapter == adapter
	})
}

// finishAdapters forgets adapter loads that were reported, whose replica
// ended, or whose order is so old that it is sent again.
func (r *round) finishAdapters() {
	if len(r.adapters) == 0 {
		return
	}
	r.adapters = slices.DeleteFunc(r.adapters, func(l adapterLoad) bool {
		if r.now >= l.sentAt+r.in.Leadership.OrderDeadline {
			return true
		}
		at, found := r.in.Ledger.search(l.grant)
		if !found {
			return true
		}
		v := &r.replicas[at]
		return v.lost() || v.hasAdapter(l.adapter)
	})
}

func (r *round) adapterInProgress(grant uint64, adapter string) bool {
	return slices.ContainsFunc(r.adapters, func(l adapterLoad) bool {
		return l.grant == grant && l.adapter == adapter
	})
}

func (r *round) adapterNeeds() []adapterNeed {
	var needs []adapterNeed
	for i := range r.in.Demand {
		d := &r.in.Demand[i]
		if d.Adapter == "" || d.Waiting == 0 {
			continue
		}
		m := r.byKey[d.Key]
		if m == nil {
			continue
		}
		if target := m.adapterTarget(d.Adapter); target != nil {
			needs = append(needs, adapterNeed{replica: target, adapter: d.Adapter, remaining: d.Remaining})
		}
	}
	return needs
}

// adapterTarget returns the least busy ready replica, or nil if none is ready
// or one already has the adapter.
func (m *model) adapterTarget(adapter string) *replica {
	var best *replica
	for _, v := range m.live {
		if v.status != statusReady || v.lost() || v.upstream.announcement.Leaving {
			continue
		}
		if v.hasAdapter(adapter) {
			return nil
		}
		if best == nil || v.upstream.busy < best.upstream.busy {
			best = v
		}
	}
	return best
}

func (v *replica) hasAdapter(adapter string) bool {
	a := v.upstream.announcement
	for i := range a.Replicas {
		if a.Replicas[i].Grant == v.ID {
			return slices.Contains(a.Replicas[i].Adapters, adapter)
		}
	}
	return false
}
