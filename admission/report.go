package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minReportGap is the shortest time between two reports.
	minReportGap = 10 * time.Millisecond
	// waitingReportGap is the time between reports while requests wait for a
	// share.
	waitingReportGap = 50 * time.Millisecond
	// rateWindow is the time over which arrivals are averaged.
	rateWindow = time.Second
	// maxSent bounds the reports whose answers are still accepted.
	maxSent = 256
)

// sentReport remembers when a report was sent.
type sentReport struct {
	seq uint64
	at  time.Duration
}

// reporter is the node's side of the exchange with the allocator.
type reporter struct {
	term   uint64
	seq    uint64
	serial uint64 // of the latest grant in this term
	last   time.Duration
	sent   []sentReport
	urgent bool
}

// SetTerm names the leader's term that reports are meant for. Leases of an
// earlier term stay in force until they end; grants of that term are no longer
// accepted.
func (t *Throttler) SetTerm(term uint64) {
	if term <= t.reports.term {
		return
	}
	t.reports = reporter{term: term, seq: t.reports.seq, last: t.reports.last, urgent: true}
	for _, c := range t.customers {
		c.serial = 0
	}
}

// ReportDue reports whether a report is to be sent now.
func (t *Throttler) ReportDue(now time.Duration) bool {
	since := now - t.reports.last
	if t.reports.urgent {
		return since >= minReportGap
	}
	if len(t.active) > 0 {
		return since >= waitingReportGap
	}
	return since >= t.config.ReportInterval
}

// Report returns the report to send now. The leases that answer it count from
// this call.
func (t *Throttler) Report(now time.Duration) Report {
	s := &t.reports
	elapsed := now - s.last
	s.seq++
	s.last = now
	s.urgent = false
	s.sent = append(s.sent, sentReport{seq: s.seq, at: now})
	if len(s.sent) > maxSent {
		s.sent = slices.Delete(s.sent, 0, len(s.sent)-maxSent)
	}
	report := Report{Node: t.config.Node, Term: s.term, Seq: s.seq}
	for _, c := range slices.Clone(t.live) {
		c.advance(now)
		c.averageRate(elapsed)
		usage := c.usage(now, t.config.IdleAfter)
		if usage.Idle && !c.leased(now) {
			t.live = removeCustomer(t.live, c)
			c.asking = false
		}
		report.Customers = append(report.Customers, usage)
	}
	return report
}

// averageRate updates the arrival rate after the time since the last report.
func (c *customer) averageRate(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	seen := float64(c.arrivals) / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/rateWindow.Seconds())
	c.rate += weight * (seen - c.rate)
	c.arrivals = 0
}

// usage returns the customer's part of a report.
func (c *customer) usage(now, idleAfter time.Duration) Usage {
	u := Usage{
		Customer: c.limits.Customer,
		Serial:   c.serial,
		Running:  c.running,
		Queued:   c.queued,
		Arrivals: c.rate,
		Tokens:   c.bucket.level,
		Returned: c.returned,
		Idle:     c.running == 0 && c.queued == 0 && now-c.used > idleAfter,
	}
	if c.leased(now) {
		u.Concurrency = c.lease.Concurrency
		u.Rate = c.lease.Rate
		u.Burst = c.lease.Burst
		u.Queue = c.lease.Queue
	}
	u.Slack = never
	for _, l := range c.lines {
		waiting := min(len(l.waiting), l.target.room())
		if waiting > 0 {
			u.Slack = min(u.Slack, l.waiting[0].Deadline-now)
		}
		u.Waiting += waiting
	}
	return u
}

// room returns how many more requests a ready target can run.
func (t *target) room() int {
	if t.state.Readiness != Ready {
		return 0
	}
	return max(0, t.state.Slots-t.running)
}

// Accept takes the leases of a grant. It reports whether the grant answers a
// report of this node and term.
func (t *Throttler) Accept(g Grant, now time.Duration) bool {
	if g.Node != t.config.Node || g.Term != t.reports.term {
		return false
	}
	at, found := slices.BinarySearchFunc(t.reports.sent, g.Report, compareSent)
	if !found {
		return false
	}
	t.reports.serial = max(t.reports.serial, g.Serial)
	sent := t.reports.sent[at].at
	for _, l := range g.Leases {
		c := t.customers[l.Customer]
		if c == nil || c.serial >= g.Serial {
			continue
		}
		c.serial = g.Serial
		c.accept(l, sent+l.Duration, now)
		t.freed = true
	}
	return true
}

// compareSent orders sent reports.
func compareSent(s sentReport, seq uint64) int {
	switch {
	case s.seq < seq:
		return -1
	case s.seq > seq:
		return 1
	default:
		return 0
	}
}

// accept replaces the lease.
func (c *customer) accept(l Lease, until, now time.Duration) {
	c.advance(now)
	c.lease, c.until = l, until
	c.returned += c.bucket.resize(float64(l.Burst), l.Rate)
	c.returned += c.bucket.add(l.Tokens)
	c.clip()
	c.advance(now)
	if c.leased(now) {
		c.asking = false
	}
	c.swept = -never
}

// Demand is what waits for or runs on one target for one customer.
type Demand struct {
	// Customer is the customer.
	Customer string
	// Target is the model or service.
	Target string
	// Waiting is the number of requests that wait.
	Waiting int
	// Slack is the time to the earliest deadline among them.
	Slack time.Duration
}

// Demands returns what waits on this node, sorted by customer and target.
func (t *Throttler) Demands(now time.Duration) []Demand {
	var demands []Demand
	for _, c := range t.active {
		for _, l := range c.lines {
			demands = append(demands, Demand{
				Customer: c.limits.Customer,
				Target:   l.target.name,
				Waiting:  len(l.waiting),
				Slack:    l.waiting[0].Deadline - now,
			})
		}
	}
	return demands
}
