package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// needTTL is how long a node's need counts in the order of those that wait, unless its calls wait less.
	needTTL = 400 * time.Millisecond
	// sweepInterval is the time between two searches for nodes that have not reported lately.
	sweepInterval = 100 * time.Millisecond
	// recoverTime is how long after nothing is left of earlier leaders' grants calls may wait for a bucket that has not
	// been full in the term.
	recoverTime = 2 * time.Second
	// minAskAgain is the least time after which a node asks again for calls that wait.
	minAskAgain = 10 * time.Millisecond
	// fullShare is the share of its capacity that a bucket holds before the leader gives its word on the reserve, so that calls
	// that wait after an outage come first.
	fullShare = 0.95
	// aheadGrantShare is the share of the leader's part that one node may have for calls that have not arrived.
	aheadGrantShare = 0.25
)

// Quotas is the leader's part of the tenants' quotas. It belongs to one term and starts without anything to hand out, but
// for the reserves that the leader before it has kept: nodes tell of which quotas.
//
// Load pattern: tenants of very unequal size call through tens to hundreds of nodes. A fixed part for each node would be
// less than one call of a small tenant, and would leave most of a large one's unused where calls come unevenly.
//
// What the leader has left and what nodes may hold never exceeds the capacity of the bound, so that what is used in a
// window is at most that and what was added in the window. A node's charge is what it may still use: it falls by what the
// node says it has used, is credited for what it says it does not have, and is dropped without credit once it is void.
type Quotas struct {
	term    uint64
	began   time.Duration
	sweptAt time.Duration
	buckets map[string]*quotaBucket
	members map[memberID]*member
	// previous and version are as for Succeed.
	previous, version uint64
}

// memberID identifies a process of a node.
type memberID struct {
	node    string
	process uint64
}

// member is a process that has reported lately.
type member struct {
	seq       uint64
	expiresAt time.Duration
	// tenants are those with an account.
	tenants map[string]bool
}

type quotaBucket struct {
	bound    QuotaBound
	level    float64
	charged  float64
	filledAt time.Duration
	// settled is when nothing is left of what nodes held of earlier leaders.
	settled time.Duration
	// filled is set once the bucket has held a burst in the term.
	filled bool
	// unclaimed is how much more the level would be, had the leader known from the beginning of its term that the one before
	// kept the reserve. It is void once claimed is set, that is, once the leader knows.
	unclaimed float64
	claimed   bool
	// keeps is set once the leader has given its word that the level will not fall below the reserve.
	keeps    bool
	accounts map[memberID]*account
	waiting  map[memberID]need
	counts   QuotaCounts
	// unused is what the quota would still allow at one place and without tolerance, and backlog what refused
	// calls cost that may come back; both as of countedAt.
	unused, backlog float64
	countedAt       time.Duration
}

// QuotaCounts are amounts in the term.
type QuotaCounts struct {
	Used    float64 `json:"used"`
	Refused float64 `json:"refused"`
	// Beyond is what was handed out beyond the quota, within its tolerance. Below is what was refused although the quota
	// would have had room for it, and for all that waited, at one place.
	Beyond float64 `json:"usedBeyond"`
	Below  float64 `json:"refusedBelow"`
}

// account is what one process may hold and what it said it has used in the term.
type account struct{ charge, used float64 }

// need is what the calls that wait at one node lack.
type need struct {
	amount, first float64
	since, until  time.Duration
}

// NewQuotas returns the quotas of a leader whose term began at now.
func NewQuotas(term uint64, now time.Duration) *Quotas {
	return &Quotas{term: term, began: now, sweptAt: now, buckets: map[string]*quotaBucket{}, members: map[memberID]*member{}}
}

// Succeed tells the term of the latest leader before this one that can have granted anything, and the version of the
// configuration that the bounds are from, if that includes all that was in force under that leader; otherwise zeros.
func (q *Quotas) Succeed(previous, version uint64) { q.previous, q.version = previous, version }

// Report answers a node's report. bound returns the bound of a tenant's quota, and false for tenants without one. A report
// that arrives after a later one of the same process is ignored.
func (q *Quotas) Report(node string, r ShareReport, bound func(tenant string) (QuotaBound, bool), now time.Duration) ShareAnswer {
	answer := ShareAnswer{Term: q.term, Seq: r.Seq, Version: q.version}
	q.sweep(now)
	id := memberID{node, r.Process}
	m := q.members[id]
	if m == nil {
		m = &member{tenants: map[string]bool{}}
		q.members[id] = m
	}
	if r.Seq <= m.seq {
		return answer
	}
	m.seq, m.expiresAt = r.Seq, now+chargeTTL
	listed := map[string]bool{}
	for _, s := range r.Shares {
		limit, limited := bound(s.Tenant)
		if !limited {
			if s.Held > 0 {
				answer.Grants = append(answer.Grants, ShareGrant{Tenant: s.Tenant, Return: true})
			}
			continue
		}
		listed[s.Tenant] = true
		m.tenants[s.Tenant] = true
		if r.Term != q.term {
			// An earlier leader counts what the node holds, and void it is soon.
			s.Held, s.Used = 0, 0
		}
		b := q.bucket(s.Tenant, limit, now)
		if q.version > 0 && s.Kept == (KeptReserve{q.previous, q.version}) {
			b.claim()
		}
		b.count(b.settle(id, s.Held, s.Used), s.Refused, now)
		if g, ok := b.grant(id, s, now); ok {
			g.Tenant = s.Tenant
			answer.Grants = append(answer.Grants, g)
		}
		if q.version > 0 && b.keep(now) {
			answer.Kept = append(answer.Kept, s.Tenant)
		}
	}
	for tenant := range m.tenants {
		if !listed[tenant] {
			q.buckets[tenant].settleUnlisted(id)
			delete(m.tenants, tenant)
		}
	}
	return answer
}

// bucket returns the bucket of a tenant, filled up to now. A bucket that is new to the leader has been filling since the
// beginning of its term.
func (q *Quotas) bucket(tenant string, limit QuotaBound, now time.Duration) *quotaBucket {
	b := q.buckets[tenant]
	if b == nil {
		b = &quotaBucket{bound: limit, filledAt: q.began, settled: q.SettledAt(), countedAt: q.began, unclaimed: limit.Reserve, accounts: map[memberID]*account{}, waiting: map[memberID]need{}}
		q.buckets[tenant] = b
	}
	if b.bound != limit {
		b.bound, b.keeps, b.unclaimed = limit, false, 0 // no word holds for other limits
	}
	if b.filledAt < b.settled {
		rate := limit.NewRate
		if b.claimed {
			rate = limit.Rate
		}
		b.fill(rate, min(now, b.settled))
	}
	b.fill(limit.Rate, now)
	return b
}

// fill adds what the bucket gets until the given time, as far as there is room.
func (b *quotaBucket) fill(rate float64, until time.Duration) {
	if until > b.filledAt {
		b.level += rate * (until - b.filledAt).Seconds()
		b.filledAt = until
	}
	b.limitLevel()
}

// limitLevel cuts the level to what there is room for.
func (b *quotaBucket) limitLevel() {
	room := b.bound.Capacity - b.charged
	b.level = max(0, min(b.level, room))
	if b.filledAt < b.settled {
		room -= b.bound.Out // what nodes may hold of a leader that kept the reserve
	}
	b.unclaimed = max(0, min(b.unclaimed, room-b.level))
	if b.claimed && b.filledAt < b.settled {
		b.level = max(0, min(b.level, room))
	}
}

// claim adds the reserve that the leader before has kept.
func (b *quotaBucket) claim() {
	if b.claimed {
		return
	}
	b.claimed = true
	b.limitLevel()
	b.level += b.unclaimed
	b.unused = min(b.bound.Burst, b.unused+b.unclaimed)
}

// keep reports whether the leader can give its word, and from then on must keep it, that the level will not fall below the
// reserve. What nodes hold is then no more than Out, as nothing is left of earlier leaders.
func (b *quotaBucket) keep(now time.Duration) bool {
	full := b.level >= b.bound.Reserve && b.level+b.charged >= fullShare*b.bound.Capacity
	b.keeps = b.keeps || now >= b.settled && full && b.charged <= b.bound.Out
	return b.keeps
}

// spare returns what the leader may hand out.
func (b *quotaBucket) spare() float64 {
	if b.keeps {
		return b.level - b.bound.Reserve
	}
	return b.level
}

// outRoom returns what nodes may hold in addition.
func (b *quotaBucket) outRoom() float64 {
	if b.claimed && b.filledAt < b.settled {
		// Unlike a bucket that begins empty, this one could otherwise hand out all at once.
		sinceBegan := chargeTTL - (b.settled - b.filledAt)
		return min(b.bound.Out, max(b.bound.OutAll-b.bound.Out, b.bound.NewRate*sinceBegan.Seconds())) - b.charged
	}
	return b.bound.Out - b.charged
}

// count counts what was used and refused.
func (b *quotaBucket) count(used, refused float64, now time.Duration) {
	gained := b.bound.Rate * (now - b.countedAt).Seconds()
	b.countedAt = now
	b.unused = min(b.bound.Burst, b.unused+gained)
	b.backlog = max(0, b.backlog-gained) + refused
	b.counts.Used += used
	b.counts.Refused += refused
	room := b.unused
	for _, n := range b.waiting {
		room -= n.amount
	}
	if refused <= room {
		b.counts.Below += refused
	}
}

// settle accounts for what a node says it holds and has used, and returns what it has used since its last report.
func (b *quotaBucket) settle(id memberID, held, used float64) (spent float64) {
	a := b.accounts[id]
	if a == nil {
		a = &account{used: used}
		b.accounts[id] = a
	}
	if used < a.used {
		a.used = used - a.charge // not what this process said before: nothing is credited
	}
	spent = used - a.used
	unused := max(0, a.charge-held-spent)
	b.charged += held - a.charge
	a.charge, a.used = held, used
	b.unused = min(b.bound.Burst, b.unused+unused)
	b.level += unused
	b.limitLevel()
	return spent
}

// settleUnlisted accounts for a node that holds nothing any more and has used nothing since its last report.
func (b *quotaBucket) settleUnlisted(id memberID) {
	if a := b.accounts[id]; a != nil {
		b.settle(id, 0, a.used)
		delete(b.accounts, id)
	}
	delete(b.waiting, id)
}

// grant hands out what there is room for: to calls that wait, in order of arrival, or ahead if none do. It returns false if
// the node needs no answer.
func (b *quotaBucket) grant(id memberID, s Share, now time.Duration) (ShareGrant, bool) {
	maps.DeleteFunc(b.waiting, func(_ memberID, n need) bool { return now > n.until })
	delete(b.waiting, id)
	var g ShareGrant
	room, spare := b.outRoom(), b.spare()
	g.Return = room < 0
	if s.Need <= 0 {
		switch {
		case len(b.waiting) == 0 && s.Ahead > 0:
			g.Amount = math.Floor(max(0, min(s.Ahead, b.bound.Ahead-b.charged, room, spare*aheadGrantShare)))
		case b.lacksRoom(room):
			g.Return = true
		}
		b.charge(id, g.Amount)
		return g, g.Amount > 0 || g.Return
	}
	n := need{amount: s.Need, first: s.First, since: now - s.Waited, until: now + min(s.Patience, needTTL)}
	var ahead, all float64
	for _, other := range b.waiting {
		all += other.amount
		if other.since < n.since {
			ahead += other.amount
		}
	}
	if free := min(spare-ahead, room); free >= s.Need {
		g.Amount = s.Need
	} else if free >= s.First {
		g.Amount = max(s.First, math.Floor(free))
	}
	b.charge(id, g.Amount)
	g.PerSecond = b.bound.Rate / float64(len(b.waiting)+1)
	if n.amount -= g.Amount; n.amount > 0 {
		if g.Amount > 0 {
			n.first = n.amount // of the calls behind the first, only the sum is known
		}
		b.waiting[id] = n
		g.In = b.timeUntil(ahead+n.first, now)
		g.Later = b.recovering(now) || b.spare() >= all+n.amount
		g.In, g.Backlog = max(g.In, minAskAgain), seconds(b.backlog/b.bound.Rate)
	}
	return g, true
}

// recovering reports whether the bucket is low only because the leader is new.
func (b *quotaBucket) recovering(now time.Duration) bool {
	b.filled = b.filled || now >= b.settled && b.level+b.charged >= b.bound.Burst+b.bound.Reserve
	return !b.filled && now < b.settled+recoverTime
}

// lacksRoom reports whether calls wait only because of what other nodes hold.
func (b *quotaBucket) lacksRoom(room float64) bool {
	for _, n := range b.waiting {
		if n.first > room && n.first <= b.spare() {
			return true
		}
	}
	return false
}

// timeUntil returns the time until the leader's part is expected to reach an amount.
func (b *quotaBucket) timeUntil(amount float64, now time.Duration) time.Duration {
	missing := max(0, amount-b.spare())
	if missing == 0 {
		return 0
	}
	var settling time.Duration
	if now < b.settled {
		settling = b.settled - now
		if gained := b.bound.NewRate * settling.Seconds(); gained >= missing {
			return seconds(missing / b.bound.NewRate)
		}
		missing -= b.bound.NewRate * settling.Seconds()
	}
	return settling + seconds(missing/b.bound.Rate)
}

// charge moves an amount from the leader's part to a node.
func (b *quotaBucket) charge(id memberID, amount float64) {
	b.accounts[id].charge += amount
	b.charged += amount
	b.level -= amount
	b.counts.Beyond += max(0, amount-b.unused)
	b.unused = max(0, b.unused-amount)
}

// sweep drops what nodes held that have not reported lately: it is void, and may have been used.
func (q *Quotas) sweep(now time.Duration) {
	if now-q.sweptAt < sweepInterval {
		return
	}
	q.sweptAt = now
	for id, m := range q.members {
		if now <= m.expiresAt {
			continue
		}
		for tenant := range m.tenants {
			b := q.buckets[tenant]
			if a := b.accounts[id]; a != nil {
				b.charged -= a.charge
				delete(b.accounts, id)
			}
			delete(b.waiting, id)
		}
		delete(q.members, id)
	}
}

// Retain drops the buckets of tenants that have no quota any more, once they are full: a quota that comes back until then
// goes on where it was.
func (q *Quotas) Retain(limited func(tenant string) bool, now time.Duration) {
	maps.DeleteFunc(q.buckets, func(tenant string, b *quotaBucket) bool {
		if limited(tenant) || len(b.accounts) > 0 {
			return false
		}
		q.bucket(tenant, b.bound, now)
		return b.level >= b.bound.Capacity
	})
}

// QuotaState is the leader's view of one tenant's quota, for operators. Amounts are in units of the quota.
type QuotaState struct {
	Tenant string `json:"tenant"`
	// Level is what the leader has left, Held what nodes may hold of it, and Capacity the most that both may be together.
	Level    float64 `json:"level"`
	Held     float64 `json:"held"`
	Capacity float64 `json:"capacity"`
	// PerSecond is the rate at which the bucket fills.
	PerSecond float64 `json:"perSecond"`
	// TookOver and KeepsReserve tell that the leader began with the reserve of the one before, and keeps it for the next one.
	TookOver     bool `json:"tookOver,omitempty"`
	KeepsReserve bool `json:"keepsReserve,omitempty"`
	// Waiting is what calls that wait lack, and WaitingNodes the number of nodes where they wait.
	Waiting      float64 `json:"waiting,omitempty"`
	WaitingNodes int     `json:"waitingNodes,omitempty"`
	QuotaCounts
}

// Overview returns the state of the quotas that calls have used in the term, sorted by tenant.
func (q *Quotas) Overview(now time.Duration) []QuotaState {
	q.sweep(now)
	var list []QuotaState
	for _, tenant := range slices.Sorted(maps.Keys(q.buckets)) {
		b := q.bucket(tenant, q.buckets[tenant].bound, now)
		s := QuotaState{Tenant: tenant, Level: b.level, Held: b.charged, Capacity: b.bound.Capacity, PerSecond: b.bound.Rate, TookOver: b.claimed, KeepsReserve: b.keeps, QuotaCounts: b.counts}
		for _, n := range b.waiting {
			if now <= n.until {
				s.Waiting += n.amount
				s.WaitingNodes++
			}
		}
		list = append(list, s)
	}
	return list
}

// Add adds the amounts of another tenant.
func (s *QuotaState) Add(o *QuotaState) {
	s.Held += o.Held
	s.Waiting += o.Waiting
	s.Used += o.Used
	s.Beyond += o.Beyond
	s.Refused += o.Refused
	s.Below += o.Below
}

// SettledAt returns when nothing is left of what nodes held of earlier leaders.
func (q *Quotas) SettledAt() time.Duration { return q.began + chargeTTL }
