package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// order sends what the ledger holds: loads for granted replicas, the most
// urgent first within the store's limits, and unloads for withdrawn ones.
func (r *round) order() {
	if !r.in.Leadership.Lease {
		return
	}
	var waiting []*replica
	running := 0
	for i := range r.replicas {
		v := &r.replicas[i]
		switch {
		case v.status == statusProposed || r.isEnded(v.ID) || v.lost():
		case v.committed == Withdrawn:
			r.orderUnload(v)
		case v.State == Withdrawn || v.status != statusUnreported:
		case v.progress.sends > 0 || !v.progress.own:
			r.resend(v)
		default:
			waiting = append(waiting, v)
		}
		if r.usesStore(v) && (v.progress != nil && v.progress.sends > 0 || v.status == statusLoading) {
			running++
		}
	}
	slices.SortStableFunc(waiting, r.compareLoads)
	for _, v := range waiting {
		running += r.startLoad(v, running)
	}
}

// startLoad orders a load if the store has a place, and returns the number of
// places taken.
func (r *round) startLoad(v *replica, running int) int {
	if holdsLocally(v.Tier) || v.fetched {
		r.sendLoad(v)
		return 0
	}
	if running >= r.config.Store.Width {
		return 0
	}
	if r.now < r.nextStart {
		r.wake(r.nextStart)
		return 0
	}
	r.nextStart = r.now + r.spacing()
	r.sendLoad(v)
	return 1
}

// resend repeats a load order that the upstream has not reported.
func (r *round) resend(v *replica) {
	due := v.progress.loadSentAt + r.in.Leadership.OrderDeadline
	if v.progress.sends > 0 && r.now < due {
		r.wake(due)
		return
	}
	r.sendLoad(v)
}

func (r *round) sendLoad(v *replica) {
	if v.progress.sends == 0 {
		v.progress.firstAt = r.now
	}
	v.progress.sends++
	v.progress.loadSentAt = r.now
	r.plan.Orders = append(r.plan.Orders, Order{
		Kind: LoadModel, Upstream: v.Upstream, Incarnation: v.Incarnation,
		Grant: v.ID, Fence: r.in.Ledger.Last, Key: v.Key, Tier: v.Tier, Memory: v.Memory,
	})
}

// orderUnload orders a withdrawn replica to be unloaded, and repeats the order
// until the upstream reports it.
func (r *round) orderUnload(v *replica) {
	due := v.progress.unloadSentAt + r.in.Leadership.OrderDeadline
	if v.status == statusUnloading || v.progress.unloads > 0 && r.now < due {
		r.wake(due)
		return
	}
	v.progress.unloads++
	v.progress.unloadSentAt = r.now
	r.plan.Orders = append(r.plan.Orders, Order{
		Kind: UnloadModel, Upstream: v.Upstream, Incarnation: v.Incarnation,
		Grant: v.ID, Fence: r.in.Ledger.Last, Key: v.Key,
	})
}

// compareLoads orders granted loads as needs are ordered.
func (r *round) compareLoads(a, b *replica) int {
	if c := cmp.Compare(r.urgency(a), r.urgency(b)); c != 0 {
		return c
	}
	if c := cmp.Compare(r.slack(a), r.slack(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func (r *round) urgency(v *replica) needClass {
	switch {
	case v.model == nil || v.model.waiting == 0:
		return classAhead
	case r.slack(v) < 0:
		return classLate
	default:
		return classDemand
	}
}

func (r *round) slack(v *replica) time.Duration {
	if v.model == nil || v.model.waiting == 0 {
		return 0
	}
	tier := v.Tier
	if v.fetched {
		tier = directory.TierDisk
	}
	return v.model.remaining - r.estimator.Tail(tier, v.Memory)
}
