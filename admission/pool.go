package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxBurstSpan bounds the time for which a node holds tokens in advance.
const maxBurstSpan = 250 * time.Millisecond

// capacity is an amount of the concurrency, burst and rate of a contract.
type capacity struct {
	concurrency, burst int
	rate               float64
}

// max returns the larger value of each field.
func (a capacity) max(b capacity) capacity {
	return capacity{
		concurrency: max(a.concurrency, b.concurrency),
		burst:       max(a.burst, b.burst),
		rate:        max(a.rate, b.rate),
	}
}

// min returns the smaller value of each field.
func (a capacity) min(b capacity) capacity {
	return capacity{
		concurrency: min(a.concurrency, b.concurrency),
		burst:       min(a.burst, b.burst),
		rate:        min(a.rate, b.rate),
	}
}

// add returns the sum of each field.
func (a capacity) add(b capacity) capacity {
	return capacity{
		concurrency: a.concurrency + b.concurrency,
		burst:       a.burst + b.burst,
		rate:        a.rate + b.rate,
	}
}

// charge is a lease that its holder may be using and that therefore counts against the
// contract.
type charge struct {
	capacity
	serial      uint64 // of the grant, 0 for a lease of an earlier term
	end         time.Duration
	minHeadroom float64 // least headroom of the pool since the grant
}

// holding is one node's part of a pool.
type holding struct {
	node        string
	seq         uint64 // of the latest report
	usage       Usage
	reported    bool     // a report has been applied
	minHeadroom float64  // least headroom of the pool since the last report was made
	charges     []charge // in the order of their grants
}

// charged returns the most that the node may be using: the largest value of each field
// among its charges, and at least the concurrency of its running requests.
func (h *holding) charged() capacity {
	var total capacity
	for _, c := range h.charges {
		total = total.max(c.capacity)
	}
	total.concurrency = max(total.concurrency, h.usage.Running)
	return total
}

// expire drops the charges that have ended.
func (h *holding) expire(now time.Duration) {
	h.charges = slices.DeleteFunc(h.charges, func(c charge) bool {
		return c.end <= now
	})
}

// acknowledge drops the charges that the lease in the report has replaced, and lowers
// the charge of that lease to the part that its holder keeps.
func (h *holding) acknowledge(u Usage) {
	h.charges = slices.DeleteFunc(h.charges, func(c charge) bool {
		return c.serial < u.Serial
	})
	if len(h.charges) > 0 && h.charges[0].serial == u.Serial {
		held := capacity{u.Concurrency, u.Burst, u.Rate}
		h.charges[0].capacity = h.charges[0].min(held)
	}
}

// pool is the capacity of one contract and its division among the nodes. Its bucket
// holds the tokens that are in no node's bucket.
type pool struct {
	limits        Limits
	holdings      []*holding // sorted by node
	bucket        bucket
	oldLeasesEnd  time.Duration // when all leases of earlier terms have ended
	sawAllReports bool          // has existed since before the first report of the term
}

// charged returns the most that all nodes except one may be using; nil excludes none.
func (p *pool) charged(except *holding) capacity {
	var sum capacity
	for _, h := range p.holdings {
		if h != except {
			sum = sum.add(h.charged())
		}
	}
	return sum
}

// advance brings the pool to the present. It drops ended charges one end time after the
// other, because each end changes the rate at which the bucket gains tokens.
func (p *pool) advance(now time.Duration) {
	for {
		next := p.nextChargeEnd()
		if next > now {
			break
		}
		p.bucket.advance(next)
		p.noteHeadroom()
		p.expire(next)
		p.resizeBucket()
	}
	p.bucket.advance(now)
	p.noteHeadroom()
}

// nextChargeEnd returns when the next charge ends, or never.
func (p *pool) nextChargeEnd() time.Duration {
	next := never
	for _, h := range p.holdings {
		for _, c := range h.charges {
			next = min(next, c.end)
		}
	}
	return next
}

// expire drops the charges that have ended and the holdings that have none left.
func (p *pool) expire(now time.Duration) {
	p.holdings = slices.DeleteFunc(p.holdings, func(h *holding) bool {
		h.expire(now)
		return len(h.charges) == 0
	})
}

// resizeBucket sets the size and rate of the bucket to the burst and rate that are not
// charged to any node.
func (p *pool) resizeBucket() {
	charged := p.charged(nil)
	size := max(0, p.limits.Burst-charged.burst)
	rate := max(0, p.limits.Rate-charged.rate)
	p.bucket.resize(float64(size), rate)
}

// headroom returns how many more tokens the bucket can take.
func (p *pool) headroom() float64 {
	return p.bucket.size - p.bucket.level
}

// noteHeadroom lowers the least headroom of each holding and charge to the present
// headroom if that is less.
func (p *pool) noteHeadroom() {
	current := p.headroom()
	for _, h := range p.holdings {
		h.minHeadroom = min(h.minHeadroom, current)
		for i := range h.charges {
			h.charges[i].minHeadroom = min(h.charges[i].minHeadroom, current)
		}
	}
}

// chargeHeldLease charges what a node holds by its first report, which is a lease of an
// earlier term or nothing. Leases of this term (Serial above 0) are charged when they
// are granted.
func (p *pool) chargeHeldLease(h *holding, u Usage, until time.Duration) {
	if u.Serial > 0 {
		return
	}
	h.charges = append(h.charges, charge{
		capacity: capacity{u.Concurrency, u.Burst, u.Rate},
		end:      until,
	})
}

// applyUsage applies a reported usage: it drops replaced charges, credits tokens and
// stores the usage.
func (p *pool) applyUsage(h *holding, u Usage, now time.Duration) {
	p.noteHeadroom()
	before := h.charged().burst
	h.acknowledge(u)
	freed := float64(before - h.charged().burst)
	p.resizeBucket()
	if h.reported {
		p.creditTokens(h, u, freed)
	}
	h.reported = true
	h.usage = u
	if u.Waiting == 0 {
		h.usage.Slack = never
	}
	h.minHeadroom = 0
	if len(h.charges) > 0 && h.charges[0].serial == u.Serial {
		h.minHeadroom = h.charges[0].minHeadroom
	}
	h.expire(now)
	p.resizeBucket()
}

// creditTokens adds the tokens to the bucket that a node reports as returned or
// overflowed. Returned tokens fit into the part of the burst that the report frees, so
// they are limited to it. Overflowed tokens belong to the contract only as far as the
// pool had room for them all the time, so they are limited to the least headroom since
// the grant that the previous report acknowledged. Without that grant they are lost.
func (p *pool) creditTokens(h *holding, u Usage, freed float64) {
	returned := min(u.Returned-h.usage.Returned, freed)
	overflow := min(u.Overflow-h.usage.Overflow, h.minHeadroom)
	p.bucket.add(max(0, returned) + max(0, overflow))
	p.noteHeadroom()
}

// nextLease computes the next lease of a node. While leases of earlier terms may be in
// use, the node gets no more than it holds, and no tokens. This is safe because what it
// holds is part of what an earlier leader granted, and the sum of that is within the
// contract.
func (p *pool) nextLease(h *holding, oldLeasesActive bool) Lease {
	others := p.charged(h)
	free := capacity{
		concurrency: max(0, p.limits.Concurrency-others.concurrency),
		burst:       max(0, p.limits.Burst-others.burst),
		rate:        max(0, p.limits.Rate-others.rate),
	}
	want, scarce := p.desired(h)
	granted := capacity{
		concurrency: min(want.concurrency, free.concurrency),
		burst:       min(want.burst, free.burst),
	}
	granted.rate = min(p.limits.rateOf(granted.burst), free.rate)
	if oldLeasesActive {
		granted.concurrency = min(granted.concurrency, h.usage.Concurrency)
		granted.burst = min(granted.burst, h.usage.Burst)
		granted.rate = min(granted.rate, h.usage.Rate)
	}
	tokens := 0.0
	if !oldLeasesActive {
		tokens = max(0, min(p.bucket.level, float64(granted.burst)-h.usage.Tokens))
	}
	lease := Lease{
		Customer:    p.limits.Customer,
		Concurrency: granted.concurrency,
		Rate:        granted.rate,
		Burst:       granted.burst,
		Queue:       p.queueLimit(h),
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

// freeConcurrency returns the concurrency that is charged to no node. It is negative if
// more is charged than the contract grants.
func (p *pool) freeConcurrency() int {
	return p.limits.Concurrency - p.charged(nil).concurrency
}

// unmetHoldings returns the holdings with waiting requests that need more concurrency
// than their leases have, least slack first.
func (p *pool) unmetHoldings() []*holding {
	var unmet []*holding
	for _, h := range p.holdings {
		if h.usage.Waiting > 0 && h.neededConcurrency() > h.leasedConcurrency() {
			unmet = append(unmet, h)
		}
	}
	slices.SortFunc(unmet, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(a.usage.Slack, b.usage.Slack), cmp.Compare(a.node, b.node))
	})
	return unmet
}

// leasedConcurrency returns the concurrency of the latest lease.
func (h *holding) leasedConcurrency() int {
	if len(h.charges) == 0 {
		return 0
	}
	return h.charges[len(h.charges)-1].concurrency
}

// neededConcurrency returns the concurrency that the node can use now, for requests
// that run or wait only for a share.
func (h *holding) neededConcurrency() int {
	return h.usage.Running + h.usage.Waiting
}

// chargeGrant charges a granted lease to a node and takes its tokens from the bucket.
func (p *pool) chargeGrant(h *holding, l Lease, serial uint64, until time.Duration) {
	p.bucket.level -= l.Tokens
	h.charges = append(h.charges, charge{
		capacity:    capacity{l.Concurrency, l.Burst, l.Rate},
		serial:      serial,
		end:         until,
		minHeadroom: never.Seconds(),
	})
	p.resizeBucket()
	p.noteHeadroom()
}

// queueLimit returns how many requests may wait on a node. This is what the queues of
// the other nodes leave of the contract's limit, or, if that is less than the node has
// queued, its max-min fair share of the limit.
func (p *pool) queueLimit(h *holding) int {
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
	assignShares(p.limits.Queue, claims)
	at := slices.IndexFunc(claims, func(c claim) bool { return c.node == h.node })
	return claims[at].share
}

// desired returns the concurrency and burst that a node should hold, given the needs of
// all nodes. The concurrency includes an equal part of what no node needs; scarce
// reports that this part is zero.
func (p *pool) desired(h *holding) (want capacity, scarce bool) {
	concurrency, burst := p.claims()
	share, spare := shareOf(p.limits.Concurrency, concurrency, h)
	want.concurrency = share + spare
	want.burst, _ = shareOf(p.limits.Burst, burst, h)
	return want, spare == 0
}

// claims returns the concurrency and burst claims of all nodes that have reported and
// are not idle.
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

// burstNeed returns the burst that a node needs until its next report: its backlog and
// the arrivals expected within maxBurstSpan, or within the time in which the rate fills
// the whole burst if that is shorter. The rest of the tokens stays in the bucket of the
// pool, from which any node can get them with its next lease. The node's rate is in
// proportion to its burst.
func (p *pool) burstNeed(u Usage) int {
	if p.limits.Rate <= 0 {
		return 0
	}
	fillTime := float64(p.limits.Burst) / p.limits.Rate
	span := min(fillTime, maxBurstSpan.Seconds())
	need := math.Floor(u.Arrivals*span) + float64(u.Backlog)
	return int(min(need, float64(p.limits.Burst)))
}

// shareOf returns the share of a node in a total, and an equal part of what the claims
// leave over. One more such part stays free for a node that has not asked yet.
func shareOf(total int, claims []claim, h *holding) (share, spare int) {
	at := slices.IndexFunc(claims, func(c claim) bool { return c.node == h.node })
	if at < 0 {
		return 0, 0
	}
	assignShares(total, claims)
	return claims[at].share, leftover(total, claims) / (len(claims) + 1)
}
