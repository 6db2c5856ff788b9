package residency

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/agateslip/agateslip/dispatch"
)

const (
	// rateTimeConstant is the time constant of the arrival rates: demand that moves to
	// another model shows within a few calls.
	rateTimeConstant = 5 * time.Second
	// reportTimeout is after how long a node's report counts no more.
	reportTimeout = 2 * time.Second
	// minRate is the rate, in calls a second, that a model is expected to have
	// before any call was seen; replicaRate is added for each engine that holds it
	// before traffic begins, because busy models are placed widely.
	minRate           = 0.03
	initialHolderRate = 1
)

// NodeReport is what one entry node knows of demand.
type NodeReport struct {
	// Waiting are the calls that wait for a model.
	Waiting []dispatch.Demand `json:"waiting,omitempty"`
	// Arrivals counts the calls for each model since the node started.
	Arrivals []Count `json:"arrivals,omitempty"`
	// Running counts the calls at each upstream.
	Running []Count `json:"running,omitempty"`
	// Quality counts the streams that upstreams have finished since the node
	// started.
	Quality []Quality `json:"quality,omitempty"`
}

// Quality is how many streams an upstream finished, and how many of them paused
// for longer than their route's target.
type Quality struct {
	Upstream string `json:"u"`
	Streams  uint64 `json:"n"`
	Paused   uint64 `json:"p"`
}

// Count is a number of calls for a model or adapter.
type Count struct {
	Service  string `json:"s"`
	Upstream string `json:"u,omitempty"`
	Model    string `json:"m"`
	Adapter  string `json:"a,omitempty"`
	Calls    uint64 `json:"n"`
}

type modelKey struct{ service, model string }

// rate is an exponentially weighted arrival rate.
type rate struct {
	// perSecond is the rate at the time at.
	perSecond float64
	at        time.Duration
}

func (r *rate) add(calls float64, now time.Duration) {
	r.perSecond = r.value(now) + calls/rateTimeConstant.Seconds()
	r.at = now
}

func (r *rate) value(now time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(now-r.at)/float64(rateTimeConstant))
}

// demandState holds the reports of all nodes.
type demandState struct {
	byNode map[string]*nodeDemand
	rates  map[modelKey]*rate
	// total counts all calls seen.
	total uint64
}

type nodeDemand struct {
	reportedAt time.Duration
	waiting    []dispatch.Demand
	// arrivals are the arrivals that were reported before.
	arrivals map[Count]uint64
	running  []Count
	quality  map[string]Quality
}

func newDemandState() demandState {
	return demandState{byNode: map[string]*nodeDemand{}, rates: map[modelKey]*rate{}}
}

// SetDemand takes the report of an entry node, which replaces its earlier one.
func (p *Planner) SetDemand(from string, r NodeReport, now time.Duration) {
	b := &p.demand
	report := b.byNode[from]
	if report == nil {
		report = &nodeDemand{arrivals: map[Count]uint64{}, quality: map[string]Quality{}}
		b.byNode[from] = report
	}
	report.reportedAt = now
	report.waiting = r.Waiting
	for _, c := range r.Arrivals {
		b.addArrivals(report, c, now)
	}
	for _, q := range r.Quality {
		p.learnSlowdown(report, q)
	}
	p.setRunning(report, r.Running, now)
}

// learnSlowdown learns from streams that finished how calls at an engine slow each other
// down.
func (p *Planner) learnSlowdown(n *nodeDemand, q Quality) {
	before := n.quality[q.Upstream]
	n.quality[q.Upstream] = q
	e := p.engines[q.Upstream]
	if e == nil || q.Streams < before.Streams || q.Paused < before.Paused {
		return
	}
	p.slowdown.observe(e.rate, float64(q.Streams-before.Streams), float64(q.Paused-before.Paused))
}

// addArrivals adds the calls that came since the node's last report.
func (b *demandState) addArrivals(n *nodeDemand, c Count, now time.Duration) {
	key := c
	key.Calls = 0
	before, ok := n.arrivals[key]
	n.arrivals[key] = c.Calls
	if !ok && b.total == 0 || c.Calls < before {
		before = 0
	}
	if c.Calls <= before {
		return
	}
	arrived := c.Calls - before
	b.total += arrived
	m := modelKey{c.Service, c.Model}
	if b.rates[m] == nil {
		b.rates[m] = &rate{at: now}
	}
	b.rates[m].add(float64(arrived), now)
}

// expireReports drops the reports of nodes that fell silent.
func (p *Planner) expireReports(now time.Duration) {
	for _, d := range p.demand.byNode {
		if now-d.reportedAt > reportTimeout && (d.waiting != nil || d.running != nil) {
			d.waiting = nil
			p.setRunning(d, nil, now)
		}
	}
}

// expectedRate is the expected calls a second for a model.
func (p *Planner) expectedRate(service, model string, now time.Duration) float64 {
	if r := p.demand.rates[modelKey{service, model}]; r != nil {
		return max(minRate, r.value(now))
	}
	return minRate
}

// queue is the calls that wait for one model.
type queue struct {
	calls int
	// groups are their times, one for each group of calls.
	groups []waitingGroup
	// adapters are the calls that wait for an adapter.
	adapters map[string]int
}

// waitingGroup is the time until calls are late, and until they are given up.
type waitingGroup struct {
	calls                   int
	untilLate, untilGivenUp time.Duration
}

// queues adds up the waiting calls of all nodes by model.
func (p *Planner) queues(now time.Duration) map[modelKey]*queue {
	all := map[modelKey]*queue{}
	for _, d := range p.demand.byNode {
		for _, w := range d.waiting {
			key := modelKey{w.Service, w.Model}
			q := all[key]
			if q == nil {
				q = &queue{adapters: map[string]int{}}
				all[key] = q
			}
			q.calls += w.Waiting
			age := now - d.reportedAt
			q.groups = append(q.groups, waitingGroup{w.Waiting, w.Slack - age, w.Patience - age})
			if w.Adapter != "" {
				q.adapters[w.Adapter] += w.Waiting
			}
		}
	}
	return all
}

const (
	// lateCallValue is what a call that will be late counts against one that can be on
	// time; routes pay about a third for a late answer.
	lateCallValue = 0.35
	// turnedAwayValue is what a call counts that will have been turned away by then: its
	// caller may come back.
	turnedAwayValue = 0.15
)

// loadValue is what loading the model within the given time is loadValue to those who
// wait, in calls.
func (q *queue) loadValue(within time.Duration) float64 {
	if q == nil {
		return 0
	}
	total := 0.0
	for _, s := range q.groups {
		share := turnedAwayValue
		switch {
		case s.untilLate > within:
			share = 1
		case s.untilGivenUp > within:
			share = lateCallValue
		}
		total += share * float64(s.calls)
	}
	return total
}

// waitingAdapters returns the adapters asked for, the most wanted first.
func (q *queue) waitingAdapters() []string {
	names := make([]string, 0, len(q.adapters))
	for a := range q.adapters {
		names = append(names, a)
	}
	slices.SortFunc(names, func(a, b string) int {
		if q.adapters[a] != q.adapters[b] {
			return q.adapters[b] - q.adapters[a]
		}
		return strings.Compare(a, b)
	})
	return names
}
