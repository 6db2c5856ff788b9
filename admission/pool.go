package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// burstSpan is the time for which a node holds tokens in advance.
const burstSpan = 250 * time.Millisecond

// amount is a part of a contract.
type amount struct {
	concurrency, burst int
	rate               float64
}

// most returns the larger of each part.
func (a amount) most(b amount) amount {
	return amount{
		concurrency: max(a.concurrency, b.concurrency),
		burst:       max(a.burst, b.burst),
		rate:        max(a.rate, b.rate),
	}
}

// least returns the smaller of each part.
func (a amount) least(b amount) amount {
	return amount{
		concurrency: min(a.concurrency, b.concurrency),
		burst:       min(a.burst, b.burst),
		rate:        min(a.rate, b.rate),
	}
}

// plus returns the sum.
func (a amount) plus(b amount) amount {
	return amount{
		concurrency: a.concurrency + b.concurrency,
		burst:       a.burst + b.burst,
		rate:        a.rate + b.rate,
	}
}

// charge is a lease that its holder may be using.
type charge struct {
	amount
	serial uint64
	until  time.Duration
	room   float64 // least room in the pool since the grant
}

// holding is one node's part of a pool.
type holding struct {
	node    string
	seq     uint64 // of the latest report
	usage   Usage
	known   bool    // a report has been seen
	room    float64 // least room in the pool since the last report was made
	charges []charge
}

// charged returns the most that the node may be using.
func (h *holding) charged() amount {
	var most amount
	for _, c := range h.charges {
		most = most.most(c.amount)
	}
	most.concurrency = max(most.concurrency, h.usage.Running)
	return most
}

// expire drops the charges that have ended.
func (h *holding) expire(now time.Duration) {
	h.charges = slices.DeleteFunc(h.charges, func(c charge) bool {
		return c.until <= now
	})
}

// acknowledge drops the charges that a later lease has replaced, and lowers
// the charge of the held lease to what its holder still uses of it.
func (h *holding) acknowledge(u Usage) {
	h.charges = slices.DeleteFunc(h.charges, func(c charge) bool {
		return c.serial < u.Serial
	})
	if len(h.charges) > 0 && h.charges[0].serial == u.Serial {
		held := amount{u.Concurrency, u.Burst, u.Rate}
		h.charges[0].amount = h.charges[0].least(held)
	}
}

// pool is one contract's capacity and its shares. Its bucket holds the tokens
// that are in no node's bucket.
type pool struct {
	limits   Limits
	holdings []*holding // sorted by node
	bucket   bucket
	settled  time.Duration // when leases of earlier terms have ended
	whole    bool          // all reports of the term have been seen
}

// charged returns what all nodes but one may be using.
func (p *pool) charged(but *holding) amount {
	var sum amount
	for _, h := range p.holdings {
		if h != but {
			sum = sum.plus(h.charged())
		}
	}
	return sum
}

// advance drops what has ended, step by step in time, and gains the tokens of
// the rate that no node holds.
func (p *pool) advance(now time.Duration) {
	for {
		next := p.nextEnd()
		if next > now {
			break
		}
		p.bucket.advance(next)
		p.noteRoom()
		p.expire(next)
		p.resize()
	}
	p.bucket.advance(now)
	p.noteRoom()
}

// nextEnd returns when the next charge ends.
func (p *pool) nextEnd() time.Duration {
	next := never
	for _, h := range p.holdings {
		for _, c := range h.charges {
			next = min(next, c.until)
		}
	}
	return next
}

// expire drops the charges and holdings that have ended.
func (p *pool) expire(now time.Duration) {
	p.holdings = slices.DeleteFunc(p.holdings, func(h *holding) bool {
		h.expire(now)
		return len(h.charges) == 0
	})
}

// resize fits the bucket to what is not leased.
func (p *pool) resize() {
	all := p.charged(nil)
	size := max(0, p.limits.Burst-all.burst)
	rate := max(0, p.limits.Rate-all.rate)
	p.bucket.resize(float64(size), rate)
}

// room returns how many more tokens the bucket can take.
func (p *pool) room() float64 {
	return p.bucket.size - p.bucket.level
}

// noteRoom lowers the least room that each lease has seen to the present one.
func (p *pool) noteRoom() {
	room := p.room()
	for _, h := range p.holdings {
		h.room = min(h.room, room)
		for i := range h.charges {
			h.charges[i].room = min(h.charges[i].room, room)
		}
	}
}

// adopt charges what a node holds by its first report, which is a lease of an
// earlier term or nothing.
func (p *pool) adopt(h *holding, u Usage, until time.Duration) {
	if u.Serial > 0 {
		return
	}
	h.charges = append(h.charges, charge{
		amount: amount{u.Concurrency, u.Burst, u.Rate},
		until:  until,
	})
}

// observe takes a node's report.
func (p *pool) observe(h *holding, u Usage, now time.Duration) {
	p.noteRoom()
	before := h.charged().burst
	h.acknowledge(u)
	freed := float64(before - h.charged().burst)
	p.resize()
	if h.known {
		p.credit(h, u, freed)
	}
	h.known = true
	h.usage = u
	if u.Waiting == 0 {
		h.usage.Slack = never
	}
	h.room = 0
	if len(h.charges) > 0 && h.charges[0].serial == u.Serial {
		h.room = h.charges[0].room
	}
	h.expire(now)
	p.resize()
}

// credit puts back the tokens that a node reports. What it gave up had its
// place in the part of the burst that the report frees. What overflowed was the
// contract's only if the pool had room for it all the time since the last
// report but one at the earliest.
func (p *pool) credit(h *holding, u Usage, freed float64) {
	returned := min(u.Returned-h.usage.Returned, freed)
	overflow := min(u.Overflow-h.usage.Overflow, h.room)
	p.bucket.add(max(0, returned) + max(0, overflow))
	p.noteRoom()
}

// share decides a node's next lease. While leases of earlier terms may be in
// use, a node gets no more than it holds, which is safe because that is part
// of an earlier leader's sum.
func (p *pool) share(h *holding, unsettled bool) Lease {
	others := p.charged(h)
	free := amount{
		concurrency: max(0, p.limits.Concurrency-others.concurrency),
		burst:       max(0, p.limits.Burst-others.burst),
		rate:        max(0, p.limits.Rate-others.rate),
	}
	want, scarce := p.want(h)
	got := amount{
		concurrency: min(want.concurrency, free.concurrency),
		burst:       min(want.burst, free.burst),
	}
	got.rate = min(p.limits.rateOf(got.burst), free.rate)
	if unsettled {
		got.concurrency = min(got.concurrency, h.usage.Concurrency)
		got.burst = min(got.burst, h.usage.Burst)
		got.rate = min(got.rate, h.usage.Rate)
	}
	tokens := 0.0
	if !unsettled {
		tokens = max(0, min(p.bucket.level, float64(got.burst)-h.usage.Tokens))
	}
	lease := Lease{
		Customer:    p.limits.Customer,
		Concurrency: got.concurrency,
		Rate:        got.rate,
		Burst:       got.burst,
		Queue:       p.queue(h),
		Tokens:      tokens,
		PoolTokens:  p.bucket.level - tokens,
		Scarce:      scarce,
	}
	for _, o := range p.holdings {
		if o != h {
			lease.OthersRunning += o.usage.Running
			lease.OthersBacklog += o.usage.Backlog
		}
	}
	return lease
}

// free returns the concurrency that no node may be using.
func (p *pool) free() int {
	return p.limits.Concurrency - p.charged(nil).concurrency
}

// unmet returns the holdings whose needs their leases do not meet, those with
// the least slack first.
func (p *pool) unmet() []*holding {
	var unmet []*holding
	for _, h := range p.holdings {
		if h.usage.Waiting > 0 && h.need() > h.leased() {
			unmet = append(unmet, h)
		}
	}
	slices.SortFunc(unmet, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(a.usage.Slack, b.usage.Slack), cmp.Compare(a.node, b.node))
	})
	return unmet
}

// leased returns the concurrency of the latest lease.
func (h *holding) leased() int {
	if len(h.charges) == 0 {
		return 0
	}
	return h.charges[len(h.charges)-1].concurrency
}

// need returns the concurrency that the node can use now.
func (h *holding) need() int {
	return h.usage.Running + h.usage.Waiting
}

// give charges a lease to a node.
func (p *pool) give(h *holding, l Lease, serial uint64, until time.Duration) {
	p.bucket.level -= l.Tokens
	h.charges = append(h.charges, charge{
		amount: amount{l.Concurrency, l.Burst, l.Rate},
		serial: serial,
		until:  until,
		room:   never.Seconds(),
	})
	p.resize()
	p.noteRoom()
}

// queue returns how many requests may wait at a node. If the nodes have queued
// more than the contract's places together, they part them fairly.
func (p *pool) queue(h *holding) int {
	claims := make([]claim, 0, len(p.holdings))
	others := 0
	for _, o := range p.holdings {
		claims = append(claims, claim{node: o.node, demand: o.usage.Queued, slack: o.usage.Slack})
		if o != h {
			others += o.usage.Queued
		}
	}
	if free := p.limits.Queue - others; free >= h.usage.Queued {
		return free
	}
	fill(p.limits.Queue, claims)
	at := slices.IndexFunc(claims, func(c claim) bool { return c.node == h.node })
	return claims[at].share
}

// want returns what a node should hold by all nodes' needs, with a part of the
// concurrency that nobody needs, which is scarce if there is no such part.
func (p *pool) want(h *holding) (want amount, scarce bool) {
	concurrency, burst := p.claims()
	share, spare := divide(p.limits.Concurrency, concurrency, h)
	want.concurrency = share + spare
	want.burst, _ = divide(p.limits.Burst, burst, h)
	return want, spare == 0
}

// claims returns what the nodes that need the contract ask of each part.
func (p *pool) claims() (concurrency, burst []claim) {
	for _, h := range p.holdings {
		if h.seq == 0 || h.usage.Idle {
			continue
		}
		u := h.usage
		c := claim{node: h.node, slack: u.Slack}
		c.demand = u.Running + u.Waiting
		concurrency = append(concurrency, c)
		c.demand = p.burstNeed(u)
		burst = append(burst, c)
	}
	return concurrency, burst
}

// burstNeed returns the part of the burst that a node needs until its next
// report. The rest stays in the pool's bucket, from where tokens reach any node
// that asks; a part of the rate goes with the part of the burst.
func (p *pool) burstNeed(u Usage) int {
	if p.limits.Rate <= 0 {
		return 0
	}
	filled := float64(p.limits.Burst) / p.limits.Rate
	span := min(filled, burstSpan.Seconds())
	need := math.Floor(u.Arrivals*span) + float64(u.Backlog)
	return int(min(need, float64(p.limits.Burst)))
}

// divide returns the share of a node and its part of what is left over. One
// such part stays for a node that has not asked yet.
func divide(total int, claims []claim, h *holding) (share, spare int) {
	at := slices.IndexFunc(claims, func(c claim) bool { return c.node == h.node })
	if at < 0 {
		return 0, 0
	}
	fill(total, claims)
	return claims[at].share, leftover(total, claims) / (len(claims) + 1)
}
