package policybench

import "time"

// FaultKind is the kind of a Fault.
type FaultKind string

// Fault kinds.
const (
	// SlowStore slows the weight store down by Factor.
	SlowStore FaultKind = "slow-store"
	// KillEngine ends an engine's process, which restarts after Duration.
	KillEngine FaultKind = "kill-engine"
	// FailLoads makes the next Factor loads of an engine fail.
	FailLoads FaultKind = "fail-loads"
	// ChangeLeader replaces the planner after a pause of Duration. Baselines have no
	// leader and ignore it.
	ChangeLeader FaultKind = "change-leader"
	// CutNode disconnects an entry node for Duration.
	CutNode FaultKind = "cut-node"
)

// Fault is a fault injected into a run.
type Fault struct {
	Kind     FaultKind     `json:"kind"`
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"lasting"`
	// Target is the index of the engine or entry node.
	Target int `json:"target"`
	// Factor is the slowdown of SlowStore and the number of loads of FailLoads.
	Factor float64 `json:"factor"`
}

// schedule schedules the begin and the end of the fault.
func (f Fault) schedule(w *world) {
	w.clock.at(f.At, func() { f.inject(w) })
	w.clock.at(f.At+f.Duration, func() { f.revert(w) })
}

// inject starts the effect of the fault.
func (f Fault) inject(w *world) {
	switch f.Kind {
	case SlowStore:
		w.store.setSlowdown(f.Factor)
	case KillEngine:
		w.engines[f.Target].kill(f.Duration)
	case FailLoads:
		w.engines[f.Target].loadsToFail += int(f.Factor)
	case ChangeLeader:
		if p, ok := w.policy.(*plannerPolicy); ok {
			p.changeLeader(f.Duration)
		}
	case CutNode:
		w.cutOffNode = f.Target
		w.clock.after(cutDetectionTime, func() { w.cutOffWaiting(f.Target) })
	}
}

// revert ends the effect of the faults that do not end by themselves.
func (f Fault) revert(w *world) {
	switch f.Kind {
	case SlowStore:
		w.store.setSlowdown(1)
	case CutNode:
		w.cutOffNode = -1
	}
}

// cutOffWaiting ends the requests that wait at a disconnected entry node.
func (w *world) cutOffWaiting(node int) {
	for m, queue := range w.queues {
		for _, q := range queue {
			if q.Node == node && q.outcome == pending {
				w.finish(q, cutOff)
			}
		}
		w.policy.requestEnded(m)
	}
}
