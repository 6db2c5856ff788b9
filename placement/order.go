package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// sendOrders adds the orders that the ledger calls for: loads for granted replicas, the most
// urgent first within the store's limits, and unloads for withdrawn ones. Without a lease it
// adds none.
func (r *round) sendOrders() {
	if !r.in.Leadership.Lease {
		return
	}
	var waiting []*replica
	running := 0
	for i := range r.replicas {
		rep := &r.replicas[i]
		switch {
		case rep.status == statusProposed || r.isEnded(rep.ID) || rep.lost():
		case rep.committed == Withdrawn:
			r.orderUnload(rep)
		case rep.State == Withdrawn || rep.status != statusUnreported:
		case rep.progress.loadOrders > 0 || !rep.progress.addedByThisLeader:
			r.resend(rep)
		default:
			waiting = append(waiting, rep)
		}
		if r.usesStore(rep) && (rep.progress != nil && rep.progress.loadOrders > 0 || rep.status == statusLoading) {
			running++
		}
	}
	slices.SortStableFunc(waiting, r.compareLoads)
	for _, rep := range waiting {
		running += r.startLoad(rep, running)
	}
}

// startLoad orders a load if it needs no store slot or the store has one free and its rate
// allows a start. It returns the number of store slots taken, 0 or 1.
func (r *round) startLoad(rep *replica, running int) int {
	if isLocalTier(rep.Tier) || rep.hasLocalCopy {
		r.sendLoad(rep)
		return 0
	}
	if running >= r.config.Store.Width {
		return 0
	}
	if r.now < r.nextLoadStart {
		r.planBy(r.nextLoadStart)
		return 0
	}
	r.nextLoadStart = r.now + r.spacing()
	r.sendLoad(rep)
	return 1
}

// resend repeats a load order that the upstream has not reported, once the previous order's
// deadline passed. For a grant of an earlier leader, which may have sent an order, it sends
// one at once.
func (r *round) resend(rep *replica) {
	due := rep.progress.lastLoadSentAt + r.in.Leadership.OrderDeadline
	if rep.progress.loadOrders > 0 && r.now < due {
		r.planBy(due)
		return
	}
	r.sendLoad(rep)
}

// sendLoad adds a load order to the plan and records when it was sent.
func (r *round) sendLoad(rep *replica) {
	if rep.progress.loadOrders == 0 {
		rep.progress.firstLoadSentAt = r.now
	}
	rep.progress.loadOrders++
	rep.progress.lastLoadSentAt = r.now
	r.plan.Orders = append(r.plan.Orders, Order{
		Kind: LoadModel, Upstream: rep.Upstream, Incarnation: rep.Incarnation,
		Grant: rep.ID, Fence: r.in.Ledger.Last, Key: rep.Key, Tier: rep.Tier, Memory: rep.Memory,
	})
}

// orderUnload orders a withdrawn replica to be unloaded. It repeats the order after each
// deadline until the upstream reports that it is unloading.
func (r *round) orderUnload(rep *replica) {
	due := rep.progress.lastUnloadSentAt + r.in.Leadership.OrderDeadline
	if rep.status == statusUnloading || rep.progress.unloadOrders > 0 && r.now < due {
		r.planBy(due)
		return
	}
	rep.progress.unloadOrders++
	rep.progress.lastUnloadSentAt = r.now
	r.plan.Orders = append(r.plan.Orders, Order{
		Kind: UnloadModel, Upstream: rep.Upstream, Incarnation: rep.Incarnation,
		Grant: rep.ID, Fence: r.in.Ledger.Last, Key: rep.Key,
	})
}

// compareLoads orders granted loads by class, then by slack, then by grant ID.
func (r *round) compareLoads(a, b *replica) int {
	if c := cmp.Compare(r.urgency(a), r.urgency(b)); c != 0 {
		return c
	}
	if c := cmp.Compare(r.slack(a), r.slack(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// urgency returns the class of a granted load, from the requests that wait for its model.
func (r *round) urgency(rep *replica) needClass {
	switch {
	case rep.model == nil || rep.model.waiting == 0:
		return classKeepWarm
	case r.slack(rep) < 0:
		return classLate
	default:
		return classDemand
	}
}

// slack returns the time to the earliest deadline of the waiting requests beyond the tail of
// the load time; zero if none wait. A checkpoint that was already copied is loaded from disk.
func (r *round) slack(rep *replica) time.Duration {
	if rep.model == nil || rep.model.waiting == 0 {
		return 0
	}
	tier := rep.Tier
	if rep.hasLocalCopy {
		tier = directory.TierDisk
	}
	return rep.model.remaining - r.estimator.Tail(tier, rep.Memory)
}
