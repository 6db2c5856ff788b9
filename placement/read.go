package placement

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

const (
	defaultSlots    = 8
	defaultReplicas = 1
	// busyParts is the number of parts that an upstream's load is told in.
	busyParts = 4
)

func (r *round) readLeadership() {
	if r.started && r.since == r.in.Leadership.Since {
		return
	}
	r.started = true
	r.since = r.in.Leadership.Since
	r.firstOwn = r.in.Ledger.Last
	r.nextStart = r.now
	clear(r.progress)
	r.adapters = nil
}

func (r *round) readContracts() {
	if r.revision != r.in.Revision || r.models == nil {
		r.revision = r.in.Revision
		r.indexContracts()
	}
	for _, c := range r.customers {
		c.charged = 0
	}
	for _, m := range r.models {
		m.waiting, m.running, m.remaining, m.arrived = 0, 0, 0, 0
		m.live, m.withdrawn, m.ready, m.usable, m.charged = m.live[:0], 0, 0, 0, 0
		m.required, m.want, m.readyIn = false, 0, 0
	}
}

func (r *round) indexContracts() {
	old := r.byKey
	r.byKey = make(map[Key]*model, len(old))
	r.customers = make(map[string]*customer, len(r.in.Contracts))
	r.sizes = make(map[string]int64, len(r.models))
	r.models = r.models[:0]
	for i := range r.in.Contracts {
		c := &r.in.Contracts[i]
		holder := &customer{limit: c.Capacity.Replicas}
		r.customers[c.Customer] = holder
		for j := range c.Models {
			key := Key{Customer: c.Customer, Model: c.Models[j].Name}
			m := old[key]
			if m == nil {
				m = &model{Key: key, enoughAt: r.now, burst: 1}
			}
			m.agree(c, &c.Models[j], holder)
			r.byKey[key] = m
			r.sizes[m.Model] = m.memory
			r.models = append(r.models, m)
		}
	}
	slices.SortFunc(r.models, func(a, b *model) int { return compareKeys(a.Key, b.Key) })
}

func (m *model) agree(c *contract.Contract, spec *contract.Model, holder *customer) {
	m.memory = int64(spec.Memory)
	m.limit = spec.Replicas
	if m.limit == 0 {
		m.limit = defaultReplicas
	}
	m.reserved = min(spec.Reserved, m.limit)
	m.slots = spec.Slots
	if m.slots == 0 {
		m.slots = defaultSlots
	}
	m.wait = time.Duration(c.Wait)
	m.customer = holder
}

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

func (r *round) readUpstreams() {
	r.upstreams = r.upstreams[:0]
	r.largest = 0
	for i := range r.in.Upstreams {
		view := &r.in.Upstreams[i]
		if view.Announcement.Kind != directory.Engine {
			continue
		}
		u := r.byID[view.Announcement.ID]
		if u == nil {
			u = &upstream{id: view.Announcement.ID}
			r.byID[u.id] = u
		}
		r.readUpstream(u, view)
		r.largest = max(r.largest, view.Announcement.Memory)
		r.upstreams = append(r.upstreams, u)
	}
	if len(r.byID) == len(r.upstreams) {
		return
	}
	for id, u := range r.byID {
		if u.round != r.round {
			r.setCopies(u, nil)
			delete(r.byID, id)
		}
	}
}

func (r *round) readUpstream(u *upstream, view *Upstream) {
	u.round = r.round
	a := view.Announcement
	if u.announcement == nil || u.silent != view.Silent || u.gone != view.Gone || u.announcement.Leaving != a.Leaving {
		r.copies++
	}
	u.silent, u.gone = view.Silent, view.Gone
	if u.announcement != a {
		r.setCopies(u, a)
		u.announcement = a
		u.domain = a.Domain
		u.busy = busyParts * (a.Load.Running + a.Load.Queued) / max(a.Slots, 1)
	}
	u.free, u.coming, u.evictable = a.Memory, 0, 0
	u.replicas = u.replicas[:0]
}

// setCopies brings the index of checkpoint copies in line with an upstream's
// new announcement; nil removes the upstream.
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
		r.holders[c.Model] = slices.DeleteFunc(r.holders[c.Model], func(h holder) bool { return h.upstream == u })
		if len(r.holders[c.Model]) == 0 {
			delete(r.holders, c.Model)
		}
	}
	r.copies++
	u.cached = 0
	for _, c := range current {
		if c.Tier == directory.TierMemory {
			u.cached += r.sizes[c.Model]
		}
		if c.Tier != directory.TierRemote {
			r.holders[c.Model] = append(r.holders[c.Model], holder{upstream: u, tier: c.Tier})
		}
	}
}

func (r *round) readGrants() {
	grants := r.in.Ledger.Grants
	if need := len(grants) + len(r.in.Pending); cap(r.replicas) < need {
		r.replicas = make([]replica, 0, need+need/4)
	}
	r.replicas = r.replicas[:0]
	for i := range grants {
		r.replicas = append(r.replicas, replica{Grant: grants[i], status: statusUnreported, committed: grants[i].State})
	}
	r.applyPending()
	for i := range r.replicas {
		r.readReplica(&r.replicas[i])
	}
	r.readStrays()
}

// applyPending treats proposed changes as decided, so that no round proposes
// them again. A pending release stays charged.
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

func (r *round) readReplica(v *replica) {
	v.upstream = r.byID[v.Upstream]
	v.charged = v.Memory
	v.model = r.byKey[v.Key]
	if v.status != statusProposed {
		v.progress = r.progressOf(v.ID)
		v.readReport()
	}
	r.charge(v)
	if v.model == nil {
		return
	}
	m := v.model
	m.charged++
	m.customer.charged++
	if !v.live() {
		if !v.lost() {
			m.withdrawn++
		}
		return
	}
	m.live = append(m.live, v)
	if v.lost() || v.upstream.announcement.Leaving {
		return
	}
	m.usable++
	if v.status == statusReady {
		m.ready++
	}
}

func (r *round) progressOf(id uint64) *progress {
	soft := r.progress[id]
	if soft == nil {
		soft = &progress{own: id > r.firstOwn}
		r.progress[id] = soft
	}
	soft.round = r.round
	return soft
}

// readReport takes the replica's status from its own incarnation's report.
func (v *replica) readReport() {
	if v.upstream == nil || v.upstream.announcement.Incarnation != v.Incarnation {
		return
	}
	a := v.upstream.announcement
	for i := range a.Replicas {
		reported := &a.Replicas[i]
		if reported.Grant != v.ID {
			continue
		}
		v.charged = max(v.charged, reported.Memory)
		switch reported.State {
		case directory.Loading:
			v.status = statusLoading
		case directory.Ready:
			v.status = statusReady
		case directory.Unloading:
			v.status = statusUnloading
		}
	}
	if v.Tier == directory.TierRemote && v.status != statusReady {
		v.fetched = holdsCopy(a, v.Model)
	}
}

func holdsCopy(a *directory.Announcement, model string) bool {
	for i := range a.Copies {
		if a.Copies[i].Model == model && a.Copies[i].Tier != directory.TierRemote {
			return true
		}
	}
	return false
}

func (r *round) charge(v *replica) {
	if v.upstream == nil {
		return
	}
	v.upstream.replicas = append(v.upstream.replicas, v)
	v.upstream.free -= v.charged
	if !v.live() {
		v.upstream.coming += v.charged
	}
}

// readStrays charges replicas that run without a grant and orders them to be
// unloaded.
func (r *round) readStrays() {
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
			u.free -= reported.Memory
			u.coming += reported.Memory
			r.unloadStray(u, reported)
		}
	}
}

// holdsGrant reports whether the ledger charges a grant to the announced
// incarnation.
func (u *upstream) holdsGrant(id uint64) bool {
	for _, v := range u.replicas {
		if v.ID == id && v.Incarnation == u.announcement.Incarnation && v.status != statusProposed {
			return true
		}
	}
	return false
}

func (r *round) unloadStray(u *upstream, reported *directory.Replica) {
	key := stray{upstream: u.id, grant: reported.Grant}
	last, sent := r.strays[key]
	if !r.in.Leadership.Lease || u.silent || u.gone || sent && r.now < last+r.in.Leadership.OrderDeadline {
		return
	}
	r.strays[key] = r.now
	r.plan.Orders = append(r.plan.Orders, Order{
		Kind: UnloadModel, Upstream: u.id, Incarnation: u.announcement.Incarnation,
		Grant: reported.Grant, Fence: r.in.Ledger.Last, Key: Key{Model: reported.Model},
	})
}

func (r *round) readDemand() {
	for i := range r.in.Demand {
		d := &r.in.Demand[i]
		m := r.byKey[d.Key]
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
		m.service.observe(r.now, m.waiting, m.running, m.arrived)
	}
}
