package node

import (
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
)

const (
	// nodeSilence is how long a node may be silent before the calls that it
	// claimed count as unknown.
	nodeSilence = 10 * time.Second
	// bootSettle is how long a node must go on reporting as another process before
	// a claim's owner counts as ended: the reports of a restart may come after its
	// first claim.
	bootSettle = 2 * time.Second
	// demandLife is how long a node's reported demand counts.
	demandLife = 2 * time.Second
)

// presence is a node as the leader last heard it.
type presence struct {
	boot string
	at   time.Duration
}

// nodeDemand is a node's reported demand.
type nodeDemand struct {
	rows []placement.Demand
	at   time.Duration
}

// leadership is the soft state of the leader. It belongs to the control loop
// and starts anew with each term.
type leadership struct {
	// peers are the names of all nodes.
	peers     []string
	term      uint64
	since     time.Duration
	limits    map[string]admission.Limits
	allocator *admission.Allocator
	nodes     map[string]presence
	// suspects are the owners of claims whose node reports as another process,
	// and since when.
	suspects  map[ledger.Owner]time.Duration
	demand    map[string]*nodeDemand
	forecasts map[placement.Key]placement.Forecast
	// learned is the latest planner's experience, heard at learnedAt; nil where
	// there has been none. It outlives the term.
	learned   *placement.LearnedPatterns
	learnedAt time.Duration
	// kick asks for a plan now.
	kick chan struct{}
}

func newLeadership(peers []string) *leadership {
	return &leadership{peers: peers, limits: map[string]admission.Limits{}, kick: make(chan struct{}, 1)}
}

// begin starts the soft state of a term.
func (ld *leadership) begin(term uint64, now time.Duration) {
	if ld.term == term && ld.allocator != nil {
		return
	}
	ld.term = term
	ld.since = now
	ld.allocator = admission.NewAllocator(admission.AllocatorConfig{Term: term, Since: now, Nodes: ld.peers})
	for _, l := range ld.limits {
		ld.allocator.SetLimits(l, now)
	}
	ld.nodes = map[string]presence{}
	ld.suspects = nil
	ld.demand = map[string]*nodeDemand{}
	ld.forecasts = map[placement.Key]placement.Forecast{}
}

func (ld *leadership) setLimits(l admission.Limits, now time.Duration) {
	ld.limits[l.Customer] = l
	if ld.allocator != nil {
		ld.allocator.SetLimits(l, now)
	}
}

func (ld *leadership) removeLimits(customer string, now time.Duration) {
	delete(ld.limits, customer)
	if ld.allocator != nil {
		ld.allocator.RemoveLimits(customer, now)
	}
}

// kickPlan asks for a plan now.
func (ld *leadership) kickPlan() {
	select {
	case ld.kick <- struct{}{}:
	default:
	}
}

// sync takes a node's report under a confirmed lease and answers it.
func (ld *leadership) sync(req syncRequest, now time.Duration) syncReply {
	ld.nodes[req.Node] = presence{boot: req.Boot, at: now}
	ld.takeDemand(req, now)
	reply := syncReply{Leads: true, Term: ld.term, Grant: ld.allocator.Report(req.Report, now)}
	for _, d := range req.Demand {
		if f, ok := ld.forecasts[d.Key]; ok {
			reply.Forecasts = append(reply.Forecasts, f)
		}
	}
	return reply
}

// takeDemand replaces a node's demand and keeps arrivals not yet planned for.
func (ld *leadership) takeDemand(req syncRequest, now time.Duration) {
	old := ld.demand[req.Node]
	fresh := &nodeDemand{rows: req.Demand, at: now}
	if old != nil {
		fresh.rows = mergeArrivals(fresh.rows, old.rows)
	}
	ld.demand[req.Node] = fresh
	for _, d := range req.Demand {
		if d.Waiting > 0 {
			ld.kickPlan()
			return
		}
	}
}

// mergeArrivals adds the arrivals of old rows to the fresh ones.
func mergeArrivals(fresh, old []placement.Demand) []placement.Demand {
	for _, o := range old {
		if o.Arrivals == 0 {
			continue
		}
		found := false
		for i := range fresh {
			if fresh[i].Key == o.Key && fresh[i].Adapter == o.Adapter {
				fresh[i].Arrivals += o.Arrivals
				found = true
				break
			}
		}
		if !found {
			fresh = append(fresh, placement.Demand{Key: o.Key, Adapter: o.Adapter, Node: o.Node, Arrivals: o.Arrivals})
		}
	}
	return fresh
}

// planDemand returns all nodes' demand at this instant and counts its arrivals
// as planned for.
func (ld *leadership) planDemand(now time.Duration) []placement.Demand {
	var rows []placement.Demand
	for _, nd := range ld.demand {
		age := now - nd.at
		for i := range nd.rows {
			row := nd.rows[i]
			row.Remaining -= age
			if age > demandLife {
				row.Waiting, row.Running = 0, 0
			}
			rows = append(rows, row)
			nd.rows[i].Arrivals = 0
		}
	}
	return rows
}

// lost returns the claim owners that are known to have ended, or that were not
// heard for nodeSilence.
func (ld *leadership) lost(owners []ledger.Owner, now time.Duration) []ledger.Owner {
	var lost []ledger.Owner
	suspects := map[ledger.Owner]time.Duration{}
	for _, o := range owners {
		p, heard := ld.nodes[o.Node]
		if heard && p.boot != o.Boot {
			suspects[o] = ld.suspectedSince(o, now)
		}
		if ld.ended(o, suspects, now) {
			lost = append(lost, o)
		}
	}
	ld.suspects = suspects
	return lost
}

func (ld *leadership) suspectedSince(o ledger.Owner, now time.Duration) time.Duration {
	if since, known := ld.suspects[o]; known {
		return since
	}
	return now
}

func (ld *leadership) ended(o ledger.Owner, suspects map[ledger.Owner]time.Duration, now time.Duration) bool {
	p, heard := ld.nodes[o.Node]
	since, suspected := suspects[o]
	switch {
	case suspected:
		return p.at-since >= bootSettle || now-since > nodeSilence
	case heard:
		return now-p.at > nodeSilence
	default:
		return now-ld.since > nodeSilence
	}
}
