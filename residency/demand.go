package residency

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/agateslip/agateslip/dispatch"
)

const (
	// rateMemory is the time constant of the arrival rates: demand that moves to
	// another model shows within a few calls.
	rateMemory = 5 * time.Second
	// silentNode is after how long a node's report counts no more.
	silentNode = 2 * time.Second
	// unseenRate is the rate, in calls a second, that a model is expected to have
	// before any call was seen; replicaRate is added for each engine that holds it
	// before traffic begins, because busy models are placed widely.
	unseenRate  = 0.03
	replicaRate = 1
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
	r.perSecond = r.value(now) + calls/rateMemory.Seconds()
	r.at = now
}

func (r *rate) value(now time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(now-r.at)/float64(rateMemory))
}

// demandBook holds the reports of all nodes.
type demandBook struct {
	byNode map[string]*nodeDemand
	rates  map[modelKey]*rate
	// total counts all calls seen.
	total uint64
}

type nodeDemand struct {
	heard   time.Duration
	waiting []dispatch.Demand
	// counts are the arrivals that were reported before.
	counts  map[Count]uint64
	running []Count
	quality map[string]Quality
}

func newDemandBook() demandBook {
	return demandBook{byNode: map[string]*nodeDemand{}, rates: map[modelKey]*rate{}}
}

// SetDemand takes the report of an entry node, which replaces its earlier one.
func (p *Planner) SetDemand(from string, r NodeReport, now time.Duration) {
	b := &p.demand
	known := b.byNode[from]
	if known == nil {
		known = &nodeDemand{counts: map[Count]uint64{}, quality: map[string]Quality{}}
		b.byNode[from] = known
	}
	known.heard = now
	known.waiting = r.Waiting
	for _, c := range r.Arrivals {
		b.arrived(known, c, now)
	}
	for _, q := range r.Quality {
		p.judge(known, q)
	}
	p.setRunning(known, r.Running, now)
}

// judge learns from streams that finished how calls at an engine slow each other
// down.
func (p *Planner) judge(n *nodeDemand, q Quality) {
	before := n.quality[q.Upstream]
	n.quality[q.Upstream] = q
	at := p.nodes[q.Upstream]
	if at == nil || q.Streams < before.Streams || q.Paused < before.Paused {
		return
	}
	p.pace.learn(at.rate, float64(q.Streams-before.Streams), float64(q.Paused-before.Paused))
}

// arrived adds the calls that came since the node's last report.
func (b *demandBook) arrived(n *nodeDemand, c Count, now time.Duration) {
	key := c
	key.Calls = 0
	before, ok := n.counts[key]
	n.counts[key] = c.Calls
	if !ok && b.total == 0 || c.Calls < before {
		before = 0
	}
	if c.Calls <= before {
		return
	}
	fresh := c.Calls - before
	b.total += fresh
	m := modelKey{c.Service, c.Model}
	if b.rates[m] == nil {
		b.rates[m] = &rate{at: now}
	}
	b.rates[m].add(float64(fresh), now)
}

// age drops the reports of nodes that fell silent.
func (p *Planner) age(now time.Duration) {
	for _, d := range p.demand.byNode {
		if now-d.heard > silentNode && (d.waiting != nil || d.running != nil) {
			d.waiting = nil
			p.setRunning(d, nil, now)
		}
	}
}

// measured is the expected calls a second for a model.
func (p *Planner) measured(service, model string, now time.Duration) float64 {
	if r := p.demand.rates[modelKey{service, model}]; r != nil {
		return max(unseenRate, r.value(now))
	}
	return unseenRate
}

// queue is the calls that wait for one model.
type queue struct {
	calls int
	// slacks are their times, one for each group of calls.
	slacks []slack
	// adapters are the calls that wait for an adapter.
	adapters map[string]int
}

// slack is the time until calls are late, and until they are given up.
type slack struct {
	calls       int
	late, given time.Duration
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
			since := now - d.heard
			q.slacks = append(q.slacks, slack{w.Waiting, w.Slack - since, w.Patience - since})
			if w.Adapter != "" {
				q.adapters[w.Adapter] += w.Waiting
			}
		}
	}
	return all
}

const (
	// lateWorth is what a call that will be late counts against one that can be on
	// time; routes pay about a third for a late answer.
	lateWorth = 0.35
	// againWorth is what a call counts that will have been turned away by then: its
	// caller may come back.
	againWorth = 0.15
)

// worth is what loading the model within the given time is worth to those who
// wait, in calls.
func (q *queue) worth(within time.Duration) float64 {
	if q == nil {
		return 0
	}
	total := 0.0
	for _, s := range q.slacks {
		share := againWorth
		switch {
		case s.late > within:
			share = 1
		case s.given > within:
			share = lateWorth
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
