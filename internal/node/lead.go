package node

import (
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
)

const (
	// nodeSilenceLimit is how long a node may be silent before the outcome of the calls
	// that it claimed counts as unknown.
	nodeSilenceLimit = 10 * time.Second
	// restartConfirmTime is how long a node must keep reporting under another boot ID
	// before the owner of a claim counts as ended. After a restart, the new process may
	// claim a call before its first report arrives, while the last report is still that of
	// the old process.
	restartConfirmTime = 2 * time.Second
	// demandLifetime is how long the waiting and running calls of a report count.
	demandLifetime = 2 * time.Second
)

// lastReport records which process sent a node's last report, by its boot ID, and when the
// report arrived.
type lastReport struct {
	boot       string
	receivedAt time.Duration
}

// nodeDemand is the demand in a node's last report, and when the report arrived.
type nodeDemand struct {
	rows       []placement.Demand
	receivedAt time.Duration
}

// leaderState is the leader's state that is not replicated. Except for the channel
// planNow, it is accessed on the control goroutine only. A new term resets it, except
// for the limits and the learned patterns.
type leaderState struct {
	// peers are the names of all nodes, this one included.
	peers []string
	term  uint64
	// termStart is when this node began to act as leader of the term.
	termStart time.Duration
	limits    map[string]admission.Limits
	allocator *admission.Allocator
	// nodes holds the last report of each node in this term, by node name.
	nodes map[string]lastReport
	// suspects are the owners of claims whose node reports under another boot ID, with
	// the time at which that was first seen.
	suspects  map[ledger.Owner]time.Duration
	demand    map[string]*nodeDemand
	forecasts map[placement.Key]placement.Forecast
	// learned holds the patterns that the latest planner learned, received at
	// learnedAt; nil if there are none. They are kept across terms.
	learned   *placement.LearnedPatterns
	learnedAt time.Duration
	// crashes finds the calls that crash upstreams.
	crashes crashJudge
	// planNow wakes the planner before its next regular round.
	planNow chan struct{}
}

func newLeaderState(peers []string) *leaderState {
	return &leaderState{peers: peers, limits: map[string]admission.Limits{}, planNow: make(chan struct{}, 1)}
}

// beginTerm resets the state for a new term. It does nothing if the term has already
// begun.
func (ld *leaderState) beginTerm(term uint64, now time.Duration) {
	if ld.term == term && ld.allocator != nil {
		return
	}
	ld.term = term
	ld.termStart = now
	ld.allocator = admission.NewAllocator(admission.AllocatorConfig{Term: term, Since: now, Nodes: ld.peers})
	for _, l := range ld.limits {
		ld.allocator.SetLimits(l, now)
	}
	ld.nodes = map[string]lastReport{}
	ld.suspects = nil
	ld.crashes = newCrashJudge(now)
	ld.demand = map[string]*nodeDemand{}
	ld.forecasts = map[placement.Key]placement.Forecast{}
}

func (ld *leaderState) setLimits(l admission.Limits, now time.Duration) {
	ld.limits[l.Customer] = l
	if ld.allocator != nil {
		ld.allocator.SetLimits(l, now)
	}
}

func (ld *leaderState) removeLimits(customer string, now time.Duration) {
	delete(ld.limits, customer)
	if ld.allocator != nil {
		ld.allocator.RemoveLimits(customer, now)
	}
}

// requestPlan wakes the planner. It does not block.
func (ld *leaderState) requestPlan() {
	select {
	case ld.planNow <- struct{}{}:
	default:
	}
}

// acceptReport records a node's report and returns the answer. The caller has checked
// that this node leads under a valid lease.
func (ld *leaderState) acceptReport(req syncRequest, now time.Duration) syncReply {
	ld.nodes[req.Node] = lastReport{boot: req.Boot, receivedAt: now}
	ld.recordDemand(req, now)
	reply := syncReply{
		Leads: true, Term: ld.term, Grant: ld.allocator.Report(req.Report, now), Crashes: ld.crashes.accept(req.Crashes, now),
	}
	for _, d := range req.Demand {
		if f, ok := ld.forecasts[d.Key]; ok {
			reply.Forecasts = append(reply.Forecasts, f)
		}
	}
	return reply
}

// recordDemand replaces a node's demand and keeps the arrivals that no plan has counted
// yet. Waiting calls wake the planner.
func (ld *leaderState) recordDemand(req syncRequest, now time.Duration) {
	old := ld.demand[req.Node]
	fresh := &nodeDemand{rows: req.Demand, receivedAt: now}
	if old != nil {
		fresh.rows = mergeArrivals(fresh.rows, old.rows)
	}
	ld.demand[req.Node] = fresh
	for _, d := range req.Demand {
		if d.Waiting > 0 {
			ld.requestPlan()
			return
		}
	}
}

// mergeArrivals adds the arrivals of the old rows to the fresh ones and returns the
// fresh rows.
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

// planDemand returns the demand of all nodes as of now and resets the arrival counts.
func (ld *leaderState) planDemand(now time.Duration) []placement.Demand {
	var rows []placement.Demand
	for _, nd := range ld.demand {
		age := now - nd.receivedAt
		for i := range nd.rows {
			row := nd.rows[i]
			row.Remaining -= age
			if age > demandLifetime {
				row.Waiting, row.Running = 0, 0
			}
			rows = append(rows, row)
			nd.rows[i].Arrivals = 0
		}
	}
	return rows
}

// lostOwners returns the claim owners whose process has ended, or whose node has been
// silent for longer than nodeSilenceLimit.
func (ld *leaderState) lostOwners(owners []ledger.Owner, now time.Duration) []ledger.Owner {
	var lost []ledger.Owner
	suspects := map[ledger.Owner]time.Duration{}
	for _, o := range owners {
		report, heard := ld.nodes[o.Node]
		if heard && report.boot != o.Boot {
			suspects[o] = ld.suspectedSince(o, now)
		}
		if ld.ownerEnded(o, suspects, now) {
			lost = append(lost, o)
		}
	}
	ld.suspects = suspects
	return lost
}

// suspectedSince returns when the owner's node was first seen to report under another
// boot ID.
func (ld *leaderState) suspectedSince(o ledger.Owner, now time.Duration) time.Duration {
	if since, known := ld.suspects[o]; known {
		return since
	}
	return now
}

// ownerEnded reports whether a claim owner counts as ended. A node that has not reported
// in this term counts as silent since the term began.
func (ld *leaderState) ownerEnded(o ledger.Owner, suspects map[ledger.Owner]time.Duration, now time.Duration) bool {
	report, heard := ld.nodes[o.Node]
	since, suspected := suspects[o]
	switch {
	case suspected:
		return report.receivedAt-since >= restartConfirmTime || now-since > nodeSilenceLimit
	case heard:
		return now-report.receivedAt > nodeSilenceLimit
	default:
		return now-ld.termStart > nodeSilenceLimit
	}
}
