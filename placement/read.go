package placement

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

const (
	// defaultSlots and defaultReplicas apply to models whose contract sets none.
	defaultSlots    = 8
	defaultReplicas = 1
	// busyScale is the value of upstream.busy when as many requests run and queue as the
	// upstream has slots.
	busyScale = 4
)

// readLeadership drops the orders in progress and the progress of grants when a new
// leadership began.
func (r *round) readLeadership() {
	if r.started && r.leaderSince == r.in.Leadership.Since {
		return
	}
	r.started = true
	r.leaderSince = r.in.Leadership.Since
	r.ledgerLastAtStart = r.in.Ledger.Last
	r.nextLoadStart = r.now
	clear(r.progress)
	r.adapterLoads = nil
}

// readContracts updates the models after a change of the contracts, and resets the state
// that each round rebuilds.
func (r *round) readContracts() {
	if r.contractsRevision != r.in.Revision || r.models == nil {
		r.contractsRevision = r.in.Revision
		r.indexContracts()
	}
	for _, c := range r.customers {
		c.chargedReplicas = 0
	}
	for _, m := range r.models {
		m.waiting, m.running, m.remaining, m.arrived = 0, 0, 0, 0
		m.live, m.withdrawnReplicas, m.readyReplicas, m.usableReplicas, m.chargedReplicas = m.live[:0], 0, 0, 0, 0
		m.keepWarm, m.want, m.simulatedReadyIn = false, 0, 0
	}
}

// indexContracts rebuilds the models and customers from the contracts. Models that remain
// under contract keep what was learned about them.
func (r *round) indexContracts() {
	old := r.modelsByKey
	r.modelsByKey = make(map[Key]*model, len(old))
	r.customers = make(map[string]*customer, len(r.in.Contracts))
	r.memoryByModel = make(map[string]int64, len(r.models))
	r.models = r.models[:0]
	for i := range r.in.Contracts {
		c := &r.in.Contracts[i]
		owner := &customer{replicaLimit: c.Capacity.Replicas}
		r.customers[c.Customer] = owner
		for j := range c.Models {
			key := Key{Customer: c.Customer, Model: c.Models[j].Name}
			m := old[key]
			if m == nil {
				m = &model{Key: key, excessSince: r.now, burst: 1}
			}
			m.applyContract(c, &c.Models[j], owner)
			r.modelsByKey[key] = m
			r.memoryByModel[m.Model] = m.memory
			r.models = append(r.models, m)
		}
	}
	slices.SortFunc(r.models, func(a, b *model) int { return compareKeys(a.Key, b.Key) })
}

// applyContract sets the model's limits from its contract.
func (m *model) applyContract(c *contract.Contract, spec *contract.Model, owner *customer) {
	m.memory = int64(spec.Memory)
	m.replicaLimit = spec.Replicas
	if m.replicaLimit == 0 {
		m.replicaLimit = defaultReplicas
	}
	m.reservedReplicas = min(spec.Reserved, m.replicaLimit)
	m.slots = spec.Slots
	if m.slots == 0 {
		m.slots = defaultSlots
	}
	m.maxWait = time.Duration(c.Wait)
	m.customer = owner
}

// compareKeys compares keys in the order of Key.Less, as slices.SortFunc requires.
func compareKeys(a, b Key) int {
	switch {
	case a == b:
		return 0
	case a.Less(b):
		return -1
	default:
		return 1
	}
}

// readUpstreams updates the announced engines and drops those no longer announced.
func (r *round) readUpstreams() {
	r.upstreams = r.upstreams[:0]
	r.largestMemory = 0
	for i := range r.in.Upstreams {
		view := &r.in.Upstreams[i]
		if view.Announcement.Kind != directory.Engine {
			continue
		}
		u := r.upstreamsByID[view.Announcement.ID]
		if u == nil {
			u = &upstream{id: view.Announcement.ID}
			r.upstreamsByID[u.id] = u
		}
		r.readUpstream(u, view)
		r.largestMemory = max(r.largestMemory, view.Announcement.Memory)
		r.upstreams = append(r.upstreams, u)
	}
	if len(r.upstreamsByID) == len(r.upstreams) {
		return
	}
	for id, u := range r.upstreamsByID {
		if u.lastRound != r.roundNumber {
			r.setCopies(u, nil)
			delete(r.upstreamsByID, id)
		}
	}
}

// readUpstream updates one upstream and resets the state that each round rebuilds.
func (r *round) readUpstream(u *upstream, view *Upstream) {
	u.lastRound = r.roundNumber
	a := view.Announcement
	if u.announcement == nil || u.silent != view.Silent || u.gone != view.Gone || u.announcement.Leaving != a.Leaving {
		r.copiesRevision++
	}
	u.silent, u.gone = view.Silent, view.Gone
	if u.announcement != a {
		r.setCopies(u, a)
		u.announcement = a
		u.domain = a.Domain
		u.busy = busyScale * (a.Load.Running + a.Load.Queued) / max(a.Slots, 1)
	}
	u.freeMemory, u.freeingMemory, u.evictableMemory = a.Memory, 0, 0
	u.replicas = u.replicas[:0]
}

// setCopies updates the index of checkpoint copies for an upstream's new announcement; nil
// removes the upstream.
func (r *round) setCopies(u *upstream, a *directory.Announcement) {
	var old, current []directory.Copy
	if u.announcement != nil {
		old = u.announcement.Copies
	}
	if a != nil {
		current = a.Copies
	}
	if slices.Equal(old, current) {
		return
	}
	for _, c := range old {
		r.copyHolders[c.Model] = slices.DeleteFunc(r.copyHolders[c.Model], func(h copyHolder) bool { return h.upstream == u })
		if len(r.copyHolders[c.Model]) == 0 {
			delete(r.copyHolders, c.Model)
		}
	}
	r.copiesRevision++
	u.cachedMemory = 0
	for _, c := range current {
		if c.Tier == directory.TierMemory {
			u.cachedMemory += r.memoryByModel[c.Model]
		}
		if c.Tier != directory.TierRemote {
			r.copyHolders[c.Model] = append(r.copyHolders[c.Model], copyHolder{upstream: u, tier: c.Tier})
		}
	}
}

// readGrants builds the round's replicas from the ledger, the pending changes and the
// upstreams' reports.
func (r *round) readGrants() {
	grants := r.in.Ledger.Grants
	if size := len(grants) + len(r.in.Pending); cap(r.replicas) < size {
		r.replicas = make([]replica, 0, size+size/4)
	}
	r.replicas = r.replicas[:0]
	for i := range grants {
		r.replicas = append(r.replicas, replica{Grant: grants[i], status: statusUnreported, committed: grants[i].State})
	}
	r.applyPending()
	for i := range r.replicas {
		r.readReplica(&r.replicas[i])
	}
	r.readOrphans()
}

// applyPending treats pending additions and withdrawals as decided, so that no round
// proposes them again. A grant whose release is pending stays charged.
func (r *round) applyPending() {
	for _, c := range r.in.Pending {
		switch c.Kind {
		case Add:
			r.replicas = append(r.replicas, replica{Grant: c.Grant, status: statusProposed})
		case Withdraw:
			if at, found := r.in.Ledger.search(c.ID); found {
				r.replicas[at].State = Withdrawn
			}
		}
	}
}

// readReplica links a grant to its upstream and model, reads its status and charges it.
func (r *round) readReplica(rep *replica) {
	rep.upstream = r.upstreamsByID[rep.Upstream]
	rep.chargedMemory = rep.Memory
	rep.model = r.modelsByKey[rep.Key]
	if rep.status != statusProposed {
		rep.progress = r.progressOf(rep.ID)
		rep.readReport()
	}
	r.charge(rep)
	if rep.model == nil {
		return
	}
	m := rep.model
	m.chargedReplicas++
	m.customer.chargedReplicas++
	if !rep.live() {
		if !rep.lost() {
			m.withdrawnReplicas++
		}
		return
	}
	m.live = append(m.live, rep)
	if rep.lost() || rep.upstream.announcement.Leaving {
		return
	}
	m.usableReplicas++
	if rep.status == statusReady {
		m.readyReplicas++
	}
}

// progressOf returns the progress of a grant and creates it if there is none.
func (r *round) progressOf(id uint64) *progress {
	prog := r.progress[id]
	if prog == nil {
		prog = &progress{addedByThisLeader: id > r.ledgerLastAtStart}
		r.progress[id] = prog
	}
	prog.lastRound = r.roundNumber
	return prog
}

// readReport sets the replica's status, charged memory and local copy from the announcement
// of its own incarnation.
func (rep *replica) readReport() {
	if rep.upstream == nil || rep.upstream.announcement.Incarnation != rep.Incarnation {
		return
	}
	a := rep.upstream.announcement
	for i := range a.Replicas {
		reported := &a.Replicas[i]
		if reported.Grant != rep.ID {
			continue
		}
		rep.chargedMemory = max(rep.chargedMemory, reported.Memory)
		switch reported.State {
		case directory.Loading:
			rep.status = statusLoading
		case directory.Ready:
			rep.status = statusReady
		case directory.Unloading:
			rep.status = statusUnloading
		}
	}
	if rep.Tier == directory.TierRemote && rep.status != statusReady {
		rep.hasLocalCopy = holdsCopy(a, rep.Model)
	}
}

// holdsCopy reports whether the upstream holds the model's checkpoint in a local tier.
func holdsCopy(a *directory.Announcement, model string) bool {
	for i := range a.Copies {
		if a.Copies[i].Model == model && a.Copies[i].Tier != directory.TierRemote {
			return true
		}
	}
	return false
}

// charge subtracts a grant's memory from the free memory of its upstream.
func (r *round) charge(rep *replica) {
	if rep.upstream == nil {
		return
	}
	rep.upstream.replicas = append(rep.upstream.replicas, rep)
	rep.upstream.freeMemory -= rep.chargedMemory
	if !rep.live() {
		rep.upstream.freeingMemory += rep.chargedMemory
	}
}

// readOrphans charges the replicas that are reported without a grant, and orders them to be
// unloaded.
func (r *round) readOrphans() {
	for _, u := range r.upstreams {
		a := u.announcement
		for i := range a.Replicas {
			reported := &a.Replicas[i]
			if reported.State == directory.Failed || reported.State == directory.Unloaded {
				continue
			}
			if u.holdsGrant(reported.Grant) {
				continue
			}
			u.freeMemory -= reported.Memory
			u.freeingMemory += reported.Memory
			r.unloadOrphan(u, reported)
		}
	}
}

// holdsGrant reports whether the ledger charges the grant to the announced incarnation.
func (u *upstream) holdsGrant(id uint64) bool {
	for _, rep := range u.replicas {
		if rep.ID == id && rep.Incarnation == u.announcement.Incarnation && rep.status != statusProposed {
			return true
		}
	}
	return false
}

// unloadOrphan orders an orphan to be unloaded, and again after each order deadline.
func (r *round) unloadOrphan(u *upstream, reported *directory.Replica) {
	key := orphan{upstream: u.id, grant: reported.Grant}
	last, sent := r.orphanUnloadSentAt[key]
	if !r.in.Leadership.Lease || u.silent || u.gone || sent && r.now < last+r.in.Leadership.OrderDeadline {
		return
	}
	r.orphanUnloadSentAt[key] = r.now
	r.plan.Orders = append(r.plan.Orders, Order{
		Kind: UnloadModel, Upstream: u.id, Incarnation: u.announcement.Incarnation,
		Grant: reported.Grant, Fence: r.in.Ledger.Last, Key: Key{Model: reported.Model},
	})
}

// readDemand sums up the demand of each model over nodes and adapters, and updates its
// arrival pattern and service time.
func (r *round) readDemand() {
	for i := range r.in.Demand {
		d := &r.in.Demand[i]
		m := r.modelsByKey[d.Key]
		if m == nil {
			continue
		}
		if d.Waiting > 0 && (m.waiting == 0 || d.Remaining < m.remaining) {
			m.remaining = d.Remaining
		}
		m.waiting += d.Waiting
		m.running += d.Running
		m.arrived += d.Arrivals
	}
	for _, m := range r.models {
		if m.arrived > 0 {
			m.arrivals.observe(r.now, m.arrived)
		}
		m.serviceTime.observe(r.now, m.waiting, m.running, m.arrived)
	}
}
