package residency

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
)

const (
	// rateTimeConstant is the time constant of the arrival rates. It is short enough
	// that demand which moves to another model shows within a few calls.
	rateTimeConstant = 5 * time.Second
	// reportTimeout is the age at which an entry node's waiting and running calls are
	// dropped.
	reportTimeout = 2 * time.Second
	// minRate is the lowest rate, in calls per second, that is expected for a model,
	// also before its first call.
	minRate = 0.03
)

// NodeReport is the demand that one entry node sees.
type NodeReport struct {
	// CountedFor is the time since the first call that Arrivals counts.
	CountedFor time.Duration `json:"for,omitempty"`
	// Waiting holds the calls that wait for a model.
	Waiting []dispatch.Demand `json:"waiting,omitempty"`
	// Arrivals counts the calls for each model since the node started.
	Arrivals []Count `json:"arrivals,omitempty"`
	// Running counts the running calls at each upstream.
	Running []Count `json:"running,omitempty"`
	// Quality counts the streams that upstreams have finished since the node
	// started.
	Quality []Quality `json:"quality,omitempty"`
	// Unreachable lists the upstreams that the node could not reach when it last tried.
	Unreachable []fleet.Incarnation `json:"unreachable,omitempty"`
}

// Quality counts the streams that an upstream finished, and those of them that paused
// for longer than their route's target.
type Quality struct {
	Upstream string `json:"u"`
	Streams  uint64 `json:"n"`
	Paused   uint64 `json:"p"`
}

// Count is a number of calls for a model or an adapter, at one upstream where
// Upstream is set.
type Count struct {
	Service  string `json:"s"`
	Upstream string `json:"u,omitempty"`
	Model    string `json:"m"`
	Adapter  string `json:"a,omitempty"`
	Calls    uint64 `json:"n"`
	// Tokens are those of the calls, where they run.
	Tokens dispatch.EngineTokens `json:"t,omitzero"`
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// rate is an exponentially decaying average of arrivals.
type rate struct {
	// perSecond is the rate at time at, in calls per second.
	perSecond float64
	at        time.Duration
}

// add counts calls that arrived since the last update.
func (r *rate) add(calls float64, now time.Duration) {
	r.perSecond = r.value(now) + calls/rateTimeConstant.Seconds()
	r.at = now
}

// value returns the rate at the given time, in calls per second.
func (r *rate) value(now time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(now-r.at)/float64(rateTimeConstant))
}

// demandState holds the latest reports of all entry nodes and the arrival rates.
type demandState struct {
	byNode map[string]*nodeDemand
	rates  map[modelKey]*rate
	// total counts all arrivals reported so far. firstArrival is when the first of them
	// arrived at a node.
	total        uint64
	firstArrival time.Duration
}

// nodeDemand is the latest report of one entry node.
type nodeDemand struct {
	reportedAt time.Duration
	// followed is set once the node has reported to this planner.
	followed bool
	waiting  []dispatch.Demand
	// arrivals holds the last reported counts, by Count with zero Calls.
	arrivals map[Count]uint64
	running  []Count
	// quality holds the last reported stream counts by upstream.
	quality     map[string]Quality
	unreachable []fleet.Incarnation
}

func newDemandState() demandState {
	return demandState{byNode: map[string]*nodeDemand{}, rates: map[modelKey]*rate{}}
}

// SetDemand takes the report of an entry node, which replaces the node's earlier one.
func (p *Planner) SetDemand(from string, r NodeReport, now time.Duration) {
	demand := &p.demand
	report := demand.byNode[from]
	if report == nil {
		report = &nodeDemand{arrivals: map[Count]uint64{}, quality: map[string]Quality{}}
		demand.byNode[from] = report
	}
	report.reportedAt = now
	report.waiting, report.unreachable = r.Waiting, r.Unreachable
	for _, c := range r.Arrivals {
		demand.addArrivals(report, c, r.CountedFor, now)
	}
	report.followed = true
	for _, q := range r.Quality {
		p.learnSlowdown(report, q)
	}
	p.setRunning(report, r.Running, now)
}

// learnSlowdown updates the slowdown model with the streams that an upstream has
// finished since the node's last report.
func (p *Planner) learnSlowdown(d *nodeDemand, q Quality) {
	before := d.quality[q.Upstream]
	d.quality[q.Upstream] = q
	e := p.engines[q.Upstream]
	if e == nil || q.Streams < before.Streams || q.Paused < before.Paused {
		return
	}
	p.slowdown.observe(e.rate, float64(q.Streams-before.Streams), float64(q.Paused-before.Paused))
}

// addArrivals adds the calls for a model since the node's last report to its arrival
// rate. A count that went down started again from zero. A node's first report after this
// planner started counts calls over a longer time, countedFor, over which they are spread.
func (d *demandState) addArrivals(report *nodeDemand, c Count, countedFor, now time.Duration) {
	key := c
	key.Calls = 0
	before := report.arrivals[key]
	report.arrivals[key] = c.Calls
	if c.Calls < before {
		before = 0
	}
	if c.Calls <= before {
		return
	}
	arrived := float64(c.Calls - before)
	if start := now - countedFor; d.total == 0 || start < d.firstArrival {
		d.firstArrival = start
	}
	d.total += c.Calls - before
	if !report.followed {
		arrived *= rateTimeConstant.Seconds() / max(countedFor, rateTimeConstant).Seconds()
	}
	m := modelKey{c.Service, c.Model}
	if d.rates[m] == nil {
		d.rates[m] = &rate{at: now}
	}
	d.rates[m].add(arrived, now)
}

// expireReports drops the waiting and running calls of entry nodes that have not
// reported within reportTimeout.
func (p *Planner) expireReports(now time.Duration) {
	for _, d := range p.demand.byNode {
		if now-d.reportedAt > reportTimeout && (d.waiting != nil || d.running != nil || d.unreachable != nil) {
			d.waiting, d.unreachable = nil, nil
			p.setRunning(d, nil, now)
		}
	}
}

// expectedRate returns the calls per second expected for a model.
func (p *Planner) expectedRate(service, model string, now time.Duration) float64 {
	key := modelKey{service, model}
	expected := p.priorRate(key, now)
	if r := p.demand.rates[key]; r != nil {
		expected += r.value(now)
	}
	return max(minRate, expected)
}

// queue holds the calls of all entry nodes that wait for one model.
type queue struct {
	calls int
	// groups holds the deadlines of the calls, one entry per reported group.
	groups []waitingGroup
	// adapters counts the waiting calls by adapter.
	adapters map[string]int
	// pinned holds the calls that can run only at upstreams with one version of their software,
	// by that version; they do not count in the fields above. served is set in such a queue if
	// an engine of the version will serve its calls.
	pinned map[string]*queue
	served bool
}

func newQueue() *queue { return &queue{adapters: map[string]int{}} }

// waitingGroup is a number of waiting calls, with the time until they are late and
// the time until they are given up. Both are negative once they have passed.
type waitingGroup struct {
	calls                   int
	untilLate, untilGivenUp time.Duration
}

// queues returns the waiting calls of all entry nodes by model.
func (p *Planner) queues(now time.Duration) map[modelKey]*queue {
	all := map[modelKey]*queue{}
	for _, d := range p.demand.byNode {
		for _, w := range d.waiting {
			key := modelKey{w.Service, w.Model}
			q := all[key]
			if q == nil {
				q = newQueue()
				all[key] = q
			}
			if w.Pinned {
				q = q.pinnedTo(w.Software)
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
	// lateCallValue is the value of a call that will be late, relative to one on
	// time: routes pay about a third for a late answer.
	lateCallValue = 0.35
	// turnedAwayValue is the value of a call that will have been turned away before
	// the model is loaded: its caller may retry.
	turnedAwayValue = 0.15
)

// loadValue returns the value, in calls, that a load which ends within the given time
// has for the waiting calls.
func (q *queue) loadValue(within time.Duration) float64 {
	if q == nil {
		return 0
	}
	total := 0.0
	for _, g := range q.groups {
		share := turnedAwayValue
		switch {
		case g.untilLate > within:
			share = 1
		case g.untilGivenUp > within:
			share = lateCallValue
		}
		total += share * float64(g.calls)
	}
	return total
}

// waitingAdapters returns the adapters that calls wait for, most calls first, then by
// name.
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
