package admission

import (
	"math"
	"slices"
	"time"
)

// amount is a part of a contract.
type amount struct {
	concurrency, burst, queue int
	rate                      float64
}

// most returns the larger of each part.
func (a amount) most(b amount) amount {
	return amount{
		concurrency: max(a.concurrency, b.concurrency),
		burst:       max(a.burst, b.burst),
		queue:       max(a.queue, b.queue),
		rate:        max(a.rate, b.rate),
	}
}

// plus returns the sum.
func (a amount) plus(b amount) amount {
	return amount{
		concurrency: a.concurrency + b.concurrency,
		burst:       a.burst + b.burst,
		queue:       a.queue + b.queue,
		rate:        a.rate + b.rate,
	}
}

// charge is a lease that its holder may be using.
type charge struct {
	amount
	serial uint64
	until  time.Duration
}

// holding is one node's part of a pool.
type holding struct {
	node    string
	seq     uint64 // of the latest report
	usage   Usage
	known   bool // a report has been seen
	charges []charge
}

// charged returns the most that the node may be using.
func (h *holding) charged() amount {
	var most amount
	for _, c := range h.charges {
		most = most.most(c.amount)
	}
	most.concurrency = max(most.concurrency, h.usage.Running)
	most.queue = max(most.queue, h.usage.Queued)
	return most
}

// expire drops the charges that have ended.
func (h *holding) expire(now time.Duration) {
	h.charges = slices.DeleteFunc(h.charges, func(c charge) bool {
		return c.until <= now
	})
}

// acknowledge drops the charges that a later lease has replaced.
func (h *holding) acknowledge(serial uint64) {
	h.charges = slices.DeleteFunc(h.charges, func(c charge) bool {
		return c.serial < serial
	})
}

// pool is one contract's capacity and its shares. Its bucket holds the tokens
// that are in no node's bucket.
type pool struct {
	limits   Limits
	holdings []*holding // sorted by node
	bucket   bucket
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
		p.expire(next)
		p.resize()
	}
	p.bucket.advance(now)
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

// observe takes a node's report.
func (p *pool) observe(h *holding, u Usage, now time.Duration) {
	h.acknowledge(u.Serial)
	if h.known && u.Returned > h.usage.Returned {
		p.resize()
		p.bucket.add(u.Returned - h.usage.Returned)
	}
	h.known = true
	h.usage = u
	h.expire(now)
	p.resize()
}

// share decides a node's next lease. While leases of earlier terms may be in
// use, a node gets no more than it holds, which is safe because that is part
// of an earlier leader's sum.
func (p *pool) share(h *holding, unsettled bool) Lease {
	others := p.charged(h)
	free := amount{
		concurrency: max(0, p.limits.Concurrency-others.concurrency),
		burst:       max(0, p.limits.Burst-others.burst),
		queue:       max(0, p.limits.Queue-others.queue),
		rate:        max(0, p.limits.Rate-others.rate),
	}
	want, most := p.want(h)
	got := amount{
		concurrency: min(want.concurrency, free.concurrency),
		burst:       min(want.burst, free.burst),
		queue:       min(want.queue, free.queue),
	}
	got.rate = min(p.limits.rateOf(got.burst), free.rate)
	if unsettled {
		got.concurrency = min(got.concurrency, h.usage.Concurrency)
		got.burst = min(got.burst, h.usage.Burst)
		got.rate = min(got.rate, h.usage.Rate)
		got.queue = min(got.queue, h.usage.Queue)
		free.queue = got.queue
	}
	tokens := 0.0
	if !unsettled {
		tokens = max(0, min(p.bucket.level, float64(got.burst)-h.usage.Tokens))
	}
	return Lease{
		Customer:       p.limits.Customer,
		Concurrency:    got.concurrency,
		Rate:           got.rate,
		Burst:          got.burst,
		Queue:          got.queue,
		Tokens:         tokens,
		MaxConcurrency: max(most.concurrency, min(1, p.limits.Concurrency)),
		MaxRate:        max(p.limits.rateOf(most.burst), p.limits.Rate/float64(len(p.holdings))),
		MaxQueue:       free.queue,
	}
}

// give charges a lease to a node.
func (p *pool) give(h *holding, l Lease, serial uint64, until time.Duration) {
	p.bucket.level -= l.Tokens
	h.charges = append(h.charges, charge{
		amount: amount{l.Concurrency, l.Burst, l.Queue, l.Rate},
		serial: serial,
		until:  until,
	})
	p.resize()
}

// want returns what a node should hold by all nodes' needs, with a part of
// what nobody needs, and the most it could get if it needed everything.
func (p *pool) want(h *holding) (want, most amount) {
	concurrency, burst, queue := p.claims()
	want.concurrency, most.concurrency = divide(p.limits.Concurrency, concurrency, h)
	want.burst, most.burst = divide(p.limits.Burst, burst, h)
	want.queue, most.queue = divide(p.limits.Queue, queue, h)
	return want, most
}

// claims returns what the nodes that need the contract ask of each part.
func (p *pool) claims() (concurrency, burst, queue []claim) {
	for _, h := range p.holdings {
		if !h.known || h.usage.Idle {
			continue
		}
		u := h.usage
		c := claim{node: h.node, slack: u.Slack}
		c.demand = u.Running + u.Waiting
		concurrency = append(concurrency, c)
		c.demand = p.burstNeed(u)
		burst = append(burst, c)
		c.demand = u.Queued
		queue = append(queue, c)
	}
	return concurrency, burst, queue
}

// burstNeed returns the part of the burst that a node needs, which brings the
// part of the rate that it needs.
func (p *pool) burstNeed(u Usage) int {
	if p.limits.Rate <= 0 {
		return 0
	}
	need := math.Ceil(u.Arrivals * float64(p.limits.Burst) / p.limits.Rate)
	need = max(need, float64(u.Waiting))
	return int(min(need, float64(p.limits.Burst)))
}

// divide returns the share of a node with a part of the leftover, and the
// share that it would have if it asked for everything.
func divide(total int, claims []claim, h *holding) (want, most int) {
	at := slices.IndexFunc(claims, func(c claim) bool { return c.node == h.node })
	if at < 0 {
		return 0, 0
	}
	fill(total, claims)
	// One part of the leftover stays for a node that has not asked yet.
	want = claims[at].share + leftover(total, claims)/(len(claims)+1)
	claims[at].demand = total
	fill(total, claims)
	return want, claims[at].share
}
