package residency

import "time"

const (
	// minWitnesses is the number of entry nodes that must have failed to reach an engine before
	// it is doubted; fewer where fewer report.
	minWitnesses = 2
	// maxUnreachableShare is the share of the engines that a node may fail to reach before its
	// reports say more about the node than about the engines.
	maxUnreachableShare = 0.5
)

// doubtUnreachable sets which engines are doubted: several entry nodes could not reach them. An engine
// that has crashed is announced as long as it may just be silent, and the models that it held are
// missed meanwhile.
func (p *Planner) doubtUnreachable(now time.Duration) {
	for _, e := range p.byID {
		e.doubted = false
	}
	nodes, witnesses := 0, map[*engine]int{}
	for _, d := range p.demand.byNode {
		if now-d.reportedAt > reportTimeout {
			continue
		}
		nodes++
		if float64(len(d.unreachable)) > maxUnreachableShare*float64(len(p.byID)) {
			continue
		}
		for _, u := range d.unreachable {
			if e := p.engines[u.ID]; e != nil && e.desc.Born == u.Born {
				witnesses[e]++
			}
		}
	}
	for e, count := range witnesses {
		e.doubted = count >= min(minWitnesses, nodes)
	}
}
