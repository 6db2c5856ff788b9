package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minReportGap is the shortest time between two reports on a customer.
	minReportGap = 5 * time.Millisecond
	// waitingReportGap is the time between reports on a customer whose
	// requests wait.
	waitingReportGap = 100 * time.Millisecond
	// rateWindow is the time over which arrivals are averaged.
	rateWindow = time.Second
	// maxSent bounds the reports whose answers are still accepted.
	maxSent = 256
)

// sentReport remembers when a report was sent.
type sentReport struct {
	seq   uint64
	at    time.Duration
	whole bool
}

// reporter is the node's side of the exchange with the allocator.
type reporter struct {
	term   uint64
	seq    uint64
	serial uint64        // of the latest grant in this term
	last   time.Duration // last report on all customers
	sent   []sentReport
	known  bool        // the leader of this term has answered a whole report
	urgent []*customer // sorted by name
}

// SetTerm names the leader's term that reports are meant for. Leases of an
// earlier term stay in force until they end; grants of that term are no longer
// accepted.
func (t *Throttler) SetTerm(term uint64) {
	if term <= t.reports.term {
		return
	}
	t.reports = reporter{term: term, seq: t.reports.seq, last: -never, urgent: t.reports.urgent}
	for _, c := range t.customers {
		c.serial = 0
	}
}

// hurry has the next report on a customer sent as soon as may be.
func (t *Throttler) hurry(c *customer) {
	if !c.urgent {
		c.urgent = true
		t.reports.urgent = insertCustomer(t.reports.urgent, c)
	}
}

// due reports whether a report on the customer is to be sent now.
func (c *customer) due(now time.Duration) bool {
	since := now - c.reported
	return c.urgent && since >= minReportGap || c.queued > 0 && since >= waitingReportGap
}

// ReportDue reports whether a report is to be sent now.
func (t *Throttler) ReportDue(now time.Duration) bool {
	if now-t.reports.last >= t.config.ReportInterval {
		return true
	}
	due := func(c *customer) bool { return c.due(now) }
	return slices.ContainsFunc(t.reports.urgent, due) || slices.ContainsFunc(t.active, due)
}

// Report returns the report to send now, on all customers once in an interval
// and on those that are due between. The leases that answer it count from this
// call.
func (t *Throttler) Report(now time.Duration) Report {
	s := &t.reports
	s.seq++
	all := !s.known || now-s.last >= t.config.ReportInterval
	if all {
		s.last = now
	}
	s.sent = append(s.sent, sentReport{seq: s.seq, at: now, whole: all})
	if len(s.sent) > maxSent {
		s.sent = slices.Delete(s.sent, 0, len(s.sent)-maxSent)
	}
	report := Report{Node: t.config.Node, Term: s.term, Seq: s.seq, Whole: all}
	for _, c := range slices.Clone(t.live) {
		if all || c.due(now) {
			report.Customers = append(report.Customers, t.usage(c, now))
		}
	}
	return report
}

// usage returns the customer's part of a report that is sent now.
func (t *Throttler) usage(c *customer, now time.Duration) Usage {
	c.advance(now)
	c.averageRate(now - c.reported)
	c.reported = now
	c.urgent = false
	c.giveUp()
	t.reports.urgent = removeCustomer(t.reports.urgent, c)
	usage := c.usage(now, t.config.IdleAfter)
	c.told = usage.Waiting
	if usage.Idle && usage.Concurrency == 0 && usage.Burst == 0 {
		t.live = removeCustomer(t.live, c)
		c.asking = false
	}
	return usage
}

// unused reports whether the lease is for more than is needed now.
func (c *customer) unused() bool {
	return c.running+c.queued < c.lease.Concurrency
}

// giveUp lowers a scarce lease to what is used, so that the report frees the
// rest for other nodes.
func (c *customer) giveUp() {
	if c.lease.Scarce {
		c.lease.Concurrency = min(c.lease.Concurrency, c.running+c.queued)
	}
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
		Overflow: c.overflow,
		Idle:     c.running == 0 && c.queued == 0 && now-c.used > idleAfter,
	}
	if c.leased(now) {
		u.Concurrency = c.lease.Concurrency
		u.Rate = c.lease.Rate
		u.Burst = c.lease.Burst
	}
	u.Waiting = c.waiting()
	for _, l := range c.lines {
		left := l.waiting[0].Deadline - now
		if l.target.room() > 0 && (u.Slack == 0 || left < u.Slack) {
			u.Slack = left
		}
		if l.target.state.Readiness == Ready {
			u.Backlog += len(l.waiting)
		}
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
	t.reports.known = t.reports.known || t.reports.sent[at].whole
	sent := t.reports.sent[at].at
	for _, l := range g.Leases {
		c := t.customers[l.Customer]
		if c == nil || c.serial >= g.Serial {
			continue
		}
		c.serial = g.Serial
		if l.Concurrency > 0 || l.Burst > 0 {
			t.live = insertCustomer(t.live, c)
		}
		held := c.lease.Concurrency
		c.accept(l, sent+l.Duration, now)
		if l.Concurrency < held || l.Scarce && c.unused() {
			t.hurry(c)
		}
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
	c.asking = false
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
