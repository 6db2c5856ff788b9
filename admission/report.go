package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minReportGap is the shortest time between two reports on a customer, except for
	// complete reports.
	minReportGap = 5 * time.Millisecond
	// waitingReportGap is the time between reports on a customer with waiting requests.
	waitingReportGap = 100 * time.Millisecond
	// rateWindow is the time constant of the exponential average of arrival rates.
	rateWindow = time.Second
	// maxSentReports bounds the number of sent reports whose answers are still
	// accepted.
	maxSentReports = 256
)

// sentReport records when a report was sent and whether it was complete.
type sentReport struct {
	seq      uint64
	sentAt   time.Duration
	complete bool
}

// reportState is the node's state of the exchange with the allocator.
type reportState struct {
	term             uint64
	seq              uint64
	lastSerial       uint64        // of the latest grant in this term
	lastComplete     time.Duration // time of the last complete report
	sent             []sentReport  // sorted by seq
	completeAnswered bool          // the leader of this term has answered a complete report
	urgent           []*customer   // customers with an urgent report, sorted by name
}

// SetTerm sets the term of the leader to which reports are addressed, if it is later
// than the present one. Leases of earlier terms stay in force until they end, but
// grants of those terms are no longer accepted.
func (t *Throttler) SetTerm(term uint64) {
	if term <= t.reports.term {
		return
	}
	t.reports = reportState{term: term, seq: t.reports.seq, lastComplete: -never, urgent: t.reports.urgent}
	for _, c := range t.customers {
		c.leaseSerial = 0
	}
}

// markUrgent makes a report on the customer due as soon as minReportGap allows.
func (t *Throttler) markUrgent(c *customer) {
	if !c.urgent {
		c.urgent = true
		t.reports.urgent = insertCustomer(t.reports.urgent, c)
	}
}

// reportDue reports whether a report on the customer should be sent now.
func (c *customer) reportDue(now time.Duration) bool {
	since := now - c.lastReport
	return c.urgent && since >= minReportGap || c.queued > 0 && since >= waitingReportGap
}

// ReportDue reports whether a report should be sent now.
func (t *Throttler) ReportDue(now time.Duration) bool {
	if now-t.reports.lastComplete >= t.config.ReportInterval {
		return true
	}
	due := func(c *customer) bool { return c.reportDue(now) }
	return slices.ContainsFunc(t.reports.urgent, due) || slices.ContainsFunc(t.withQueue, due)
}

// Report returns the report to send now. It is complete once per ReportInterval, and
// until the leader of the term has answered a complete report. Otherwise it covers only
// the customers with a due report. The leases that answer it count from this call.
func (t *Throttler) Report(now time.Duration) Report {
	state := &t.reports
	state.seq++
	complete := !state.completeAnswered || now-state.lastComplete >= t.config.ReportInterval
	if complete {
		state.lastComplete = now
	}
	state.sent = append(state.sent, sentReport{seq: state.seq, sentAt: now, complete: complete})
	if len(state.sent) > maxSentReports {
		state.sent = slices.Delete(state.sent, 0, len(state.sent)-maxSentReports)
	}
	report := Report{Node: t.config.Node, Term: state.term, Seq: state.seq, Complete: complete}
	for _, c := range slices.Clone(t.reportable) {
		if complete || c.reportDue(now) {
			report.Customers = append(report.Customers, t.usage(c, now))
		}
	}
	return report
}

// usage returns the part of a report on one customer and records that it is sent now.
func (t *Throttler) usage(c *customer, now time.Duration) Usage {
	c.advance(now)
	c.averageRate(now - c.lastReport)
	c.lastReport = now
	c.urgent = false
	c.giveUpUnused()
	t.reports.urgent = removeCustomer(t.reports.urgent, c)
	usage := c.usage(now, t.config.IdleAfter)
	c.reportedWaiting = usage.Waiting
	if usage.Idle && usage.Concurrency == 0 && usage.Burst == 0 {
		t.reportable = removeCustomer(t.reportable, c)
		c.awaitingShare = false
	}
	return usage
}

// hasUnusedConcurrency reports whether the lease has more concurrency than the customer
// has running and waiting requests.
func (c *customer) hasUnusedConcurrency() bool {
	return c.running+c.queued < c.lease.Concurrency
}

// giveUpUnused lowers the concurrency of a scarce lease to the number of running and
// waiting requests, so that the report frees the rest for other nodes.
func (c *customer) giveUpUnused() {
	if c.lease.Scarce {
		c.lease.Concurrency = min(c.lease.Concurrency, c.running+c.queued)
	}
}

// averageRate updates the average arrival rate; elapsed is the time since the last
// report.
func (c *customer) averageRate(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	observed := float64(c.arrivals) / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/rateWindow.Seconds())
	c.arrivalRate += weight * (observed - c.arrivalRate)
	c.arrivals = 0
}

// usage returns the part of a report on the customer.
func (c *customer) usage(now, idleAfter time.Duration) Usage {
	u := Usage{
		Customer: c.limits.Customer,
		Serial:   c.leaseSerial,
		Running:  c.running,
		Queued:   c.queued,
		Arrivals: c.arrivalRate,
		Tokens:   c.bucket.level,
		Returned: c.returned,
		Overflow: c.overflow,
		Idle:     c.running == 0 && c.queued == 0 && now-c.lastArrival > idleAfter,
	}
	if c.leased(now) {
		u.Concurrency = c.lease.Concurrency
		u.Rate = c.lease.Rate
		u.Burst = c.lease.Burst
	}
	u.Waiting = c.waitingForShare()
	for _, tq := range c.queues {
		slack := tq.waiting[0].Deadline - now
		if tq.target.freeSlots() > 0 && (u.Slack == 0 || slack < u.Slack) {
			u.Slack = slack
		}
		if tq.target.state.Readiness == Ready {
			u.Backlog += len(tq.waiting)
		}
	}
	return u
}

// freeSlots returns how many more requests the target can run, which is 0 if it is not
// ready.
func (t *target) freeSlots() int {
	if t.state.Readiness != Ready {
		return 0
	}
	return max(0, t.state.Slots-t.running)
}

// Accept takes the leases of a grant, except those older than the held lease. It
// reports whether the grant answers a remembered report of this node in the present
// term.
func (t *Throttler) Accept(g Grant, now time.Duration) bool {
	if g.Node != t.config.Node || g.Term != t.reports.term {
		return false
	}
	at, found := slices.BinarySearchFunc(t.reports.sent, g.Report, compareSent)
	if !found {
		return false
	}
	t.reports.lastSerial = max(t.reports.lastSerial, g.Serial)
	t.reports.completeAnswered = t.reports.completeAnswered || t.reports.sent[at].complete
	sentAt := t.reports.sent[at].sentAt
	for _, l := range g.Leases {
		c := t.customers[l.Customer]
		if c == nil || c.leaseSerial >= g.Serial {
			continue
		}
		c.leaseSerial = g.Serial
		if l.Concurrency > 0 || l.Burst > 0 {
			t.reportable = insertCustomer(t.reportable, c)
		}
		held := c.lease.Concurrency
		c.acceptLease(l, sentAt+l.Duration, now)
		if l.Concurrency < held || l.Scarce && c.hasUnusedConcurrency() {
			t.markUrgent(c)
		}
		t.capacityFreed = true
	}
	return true
}

// compareSent compares a sent report with a sequence number in a binary search.
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

// acceptLease replaces the lease and adds its tokens to the bucket. Tokens that do not
// fit count as returned.
func (c *customer) acceptLease(l Lease, until, now time.Duration) {
	c.advance(now)
	c.lease, c.leaseEnd = l, until
	c.returned += c.bucket.resize(float64(l.Burst), l.Rate)
	c.returned += c.bucket.add(l.Tokens)
	c.clipLease()
	c.advance(now)
	c.awaitingShare = false
	c.lastSweep = -never
}

// Demand describes the requests of one customer that wait for one target.
type Demand struct {
	// Customer is the name of the customer.
	Customer string
	// Target is the name of the model or service.
	Target string
	// Waiting is the number of waiting requests.
	Waiting int
	// Slack is the time to the earliest deadline among them.
	Slack time.Duration
}

// Demands returns the demands of the requests that wait on this node, sorted by
// customer and target.
func (t *Throttler) Demands(now time.Duration) []Demand {
	var demands []Demand
	for _, c := range t.withQueue {
		for _, tq := range c.queues {
			demands = append(demands, Demand{
				Customer: c.limits.Customer,
				Target:   tq.target.name,
				Waiting:  len(tq.waiting),
				Slack:    tq.waiting[0].Deadline - now,
			})
		}
	}
	return demands
}
