package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// starvedShare is the ratio of the share of calls that find room, to that of all calls of the service, below which a
	// tenant or a priority is starved. Operators want a quarter at least.
	starvedShare = 1.0 / 3
	// shareWindow is the time constant of the shares: an entry node that takes a few calls a second sees dozens of each
	// tenant in it.
	shareWindow = 30 * time.Second
	// minDecisions is the number of decisions from which on a share is known.
	minDecisions = 8
	// excessShed is the share of slots by which the limit of a tenant that asks for many times its part is lowered.
	excessShed = 0.3
	// maxWeight bounds the weight of a tenant against the others, in both directions.
	maxWeight = 64
)

// fairness is what a dispatcher knows of tenants that compete. Calls without a tenant are not part of it.
type fairness struct {
	turns  map[turnClass]*turns
	shares map[shareKey]*share
}

func newFairness() fairness {
	return fairness{turns: map[turnClass]*turns{}, shares: map[shareKey]*share{}}
}

// turnClass is a set of calls among which tenants take turns.
type turnClass struct {
	service  string
	priority int
}

// turns are the virtual times of the tenants of a class: the tokens, or calls, that were started for a tenant, divided
// by its weight. now is the virtual time at which the latest call started. Tenants that it has passed are left out.
type turns struct {
	now    float64
	finish map[string]float64
}

// weight returns the weight of the call's tenant, within its bounds.
func (c *Call) weight() float64 {
	if !(c.Weight > 0) {
		return 1
	}
	return min(max(c.Weight, 1.0/maxWeight), maxWeight)
}

// turnCost returns by how much a start of the call advances its tenant's virtual time.
func (d *Dispatcher) turnCost(c *Call) float64 {
	return float64(max(1, c.reserved(d.memory[c.Service]))) / c.weight()
}

// ordered returns the waiting calls in the order in which they are tried.
//
// It answers this load pattern: one of several tenants with the same priority calls many times as often as the others.
// By time alone its calls would take nearly all room.
func (d *Dispatcher) ordered(now time.Duration) []*queuedCall {
	order := slices.Clone(d.queue)
	mixed := false
	for _, w := range order {
		w.starved = d.starved(&w.call, now)
		mixed = mixed || w.call.Tenant != d.queue[0].call.Tenant
	}
	if mixed {
		d.takeTurns(order)
	}
	slices.SortStableFunc(order, func(a, b *queuedCall) int {
		return cmp.Compare(starvedRank(a), starvedRank(b))
	})
	return order
}

// starvedRank is 0 for calls whose tenant or priority is starved and 1 for others.
func starvedRank(w *queuedCall) int {
	if w.starved {
		return 0
	}
	return 1
}

// takeTurns reorders the calls of each service and priority by the turns of their tenants, in the places that they have
// together. Streams that go on keep theirs.
func (d *Dispatcher) takeTurns(order []*queuedCall) {
	places := map[turnClass][]int{}
	for i, w := range order {
		if !w.call.Pinned {
			class := turnClass{w.call.Service, w.call.Priority}
			places[class] = append(places[class], i)
		}
	}
	for class, at := range places {
		next, virtual := map[string]float64{}, 0.0
		known := d.fair.turns[class]
		if known != nil {
			virtual = known.now
			maps.Copy(next, known.finish)
		}
		members := make([]*queuedCall, len(at))
		for i, place := range at {
			w := order[place]
			w.turn = max(virtual, next[w.call.Tenant])
			next[w.call.Tenant] = w.turn + d.turnCost(&w.call)
			members[i] = w
		}
		slices.SortStableFunc(members, func(a, b *queuedCall) int { return cmp.Compare(a.turn, b.turn) })
		for i, place := range at {
			order[place] = members[i]
		}
	}
}

// countTurn advances the virtual time of the tenant of a call that starts.
func (d *Dispatcher) countTurn(c *Call) {
	if c.Tenant == "" {
		return
	}
	class := turnClass{c.Service, c.Priority}
	t := d.fair.turns[class]
	if t == nil {
		t = &turns{finish: map[string]float64{}}
		d.fair.turns[class] = t
	}
	t.now = max(t.now, t.finish[c.Tenant])
	t.finish[c.Tenant] = t.now + d.turnCost(c)
	maps.DeleteFunc(t.finish, func(_ string, at float64) bool { return at <= t.now })
}

// shareKey names what a share is of: all calls of a service, or those of a tenant or a priority of it.
type shareKey struct {
	service, tenant string
	priority        int
	byPriority      bool
}

// share counts the calls that found room and all that were decided, decayed with time.
type share struct {
	started, decided float64
	at               time.Duration
	// weight is that of the tenant.
	weight float64
}

func (s *share) decay(now time.Duration) {
	if s.at < now {
		kept := math.Exp(-float64(now-s.at) / float64(shareWindow))
		s.started, s.decided, s.at = s.started*kept, s.decided*kept, now
	}
}

// rate returns the share of calls that found room; ok is false if it is not known.
func (s *share) rate(now time.Duration) (rate float64, ok bool) {
	if s == nil {
		return 0, false
	}
	if s.decay(now); s.decided < minDecisions {
		return 0, false
	}
	return s.started / s.decided, true
}

// countShare counts a decision on a call that was not sent before.
func (d *Dispatcher) countShare(c *Call, started bool, now time.Duration) {
	if c.Tenant == "" || c.Repeat {
		return
	}
	for _, key := range []shareKey{
		{service: c.Service},
		{service: c.Service, tenant: c.Tenant},
		{service: c.Service, priority: c.Priority, byPriority: true},
	} {
		s := d.fair.shares[key]
		if s == nil {
			s = &share{at: now}
			d.fair.shares[key] = s
		}
		s.decay(now)
		s.decided++
		s.weight = c.weight()
		if started {
			s.started++
		}
	}
}

// starved reports whether the tenant or the priority of a call found room so seldom that its calls come first.
func (d *Dispatcher) starved(c *Call, now time.Duration) bool {
	if c.Tenant == "" {
		return false
	}
	all, known := d.fair.shares[shareKey{service: c.Service}].rate(now)
	if !known {
		return false
	}
	byTenant, knownTenant := d.fair.shares[shareKey{service: c.Service, tenant: c.Tenant}].rate(now)
	byPriority, knownPriority := d.fair.shares[shareKey{service: c.Service, priority: c.Priority, byPriority: true}].rate(now)
	return knownTenant && byTenant < starvedShare*all || knownPriority && byPriority < starvedShare*all
}

// excess returns by how much the limit of a call for the share of slots is lowered because its tenant asks for more than
// its weighted part of the service's calls at this node.
func (d *Dispatcher) excess(c *Call, now time.Duration) float64 {
	own := d.fair.shares[shareKey{service: c.Service, tenant: c.Tenant}]
	if _, known := own.rate(now); !known || c.Tenant == "" {
		return 0
	}
	decided, weights := 0.0, 0.0
	for key, s := range d.fair.shares {
		if key.service == c.Service && key.tenant != "" {
			if s.decay(now); s.decided >= 1 {
				decided += s.decided
				weights += s.weight
			}
		}
	}
	if part := decided * own.weight / weights; own.decided > part {
		return excessShed * (1 - part/own.decided)
	}
	return 0
}

// Starved returns the tenants that are starved, by service.
func (d *Dispatcher) Starved(now time.Duration) map[string][]string {
	starved := map[string][]string{}
	for key, s := range d.fair.shares {
		if key.tenant == "" {
			continue
		}
		all, known := d.fair.shares[shareKey{service: key.service}].rate(now)
		if rate, ok := s.rate(now); ok && known && rate < starvedShare*all {
			starved[key.service] = append(starved[key.service], key.tenant)
		}
	}
	for _, tenants := range starved {
		slices.Sort(tenants)
	}
	return starved
}
