package policybench

import "time"

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of fault.
const (
	// SlowStore makes the store slower by Factor.
	SlowStore FaultKind = "slow-store"
	// KillEngine ends an engine's process, which restarts after Lasting.
	KillEngine FaultKind = "kill-engine"
	// FailLoads makes an engine fail its next Factor loads.
	FailLoads FaultKind = "fail-loads"
	// ChangeLeader replaces the decision point after a pause of Lasting.
	ChangeLeader FaultKind = "change-leader"
	// CutNode cuts one entry node off.
	CutNode FaultKind = "cut-node"
)

// Fault is one fault of a run.
type Fault struct {
	Kind    FaultKind     `json:"kind"`
	At      time.Duration `json:"at"`
	Lasting time.Duration `json:"lasting"`
	// Target is the index of an engine or node.
	Target int     `json:"target"`
	Factor float64 `json:"factor"`
}

func (f Fault) schedule(w *world) {
	w.clock.at(f.At, func() { f.begin(w) })
	w.clock.at(f.At+f.Lasting, func() { f.end(w) })
}

func (f Fault) begin(w *world) {
	switch f.Kind {
	case SlowStore:
		w.store.setSlowdown(f.Factor)
	case KillEngine:
		w.engines[f.Target].kill(f.Lasting)
	case FailLoads:
		w.engines[f.Target].failing += int(f.Factor)
	case ChangeLeader:
		if p, ok := w.policy.(*planned); ok {
			p.changeLeader(f.Lasting)
		}
	case CutNode:
		w.cut = f.Target
		w.clock.after(cutNoticed, func() { w.refuseCut(f.Target) })
	}
}

func (f Fault) end(w *world) {
	switch f.Kind {
	case SlowStore:
		w.store.setSlowdown(1)
	case CutNode:
		w.cut = -1
	}
}

// refuseCut ends the requests that wait at a cut-off node.
func (w *world) refuseCut(node int) {
	for m, queue := range w.queues {
		for _, q := range queue {
			if q.Node == node && q.outcome == open {
				w.finish(q, cutOff)
			}
		}
		w.policy.ended(m)
	}
}
