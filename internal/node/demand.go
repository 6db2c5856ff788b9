package node

import (
	"sort"

	"github.com/agateslip/agateslip/placement"
)

// demandKey identifies one row of demand: a customer's model, and an adapter of it if
// not empty.
type demandKey struct {
	placement.Key
	Adapter string
}

// demandCounts counts the running calls for one model or adapter on this node, and the
// arrivals since the last report.
type demandCounts struct {
	running  int
	arrivals int
}

// demandOf returns the counters for a key and creates them if needed.
func (l *controlLoop) demandOf(k demandKey) *demandCounts {
	d, ok := l.demands[k]
	if !ok {
		d = &demandCounts{}
		l.demands[k] = d
	}
	return d
}

// collectDemand returns this node's demand for the next report and resets the arrival
// counts.
func (l *controlLoop) collectDemand() []placement.Demand {
	now := l.now()
	rows := map[demandKey]*placement.Demand{}
	for k, d := range l.demands {
		if d.running == 0 && d.arrivals == 0 {
			delete(l.demands, k)
		}
		rows[k] = &placement.Demand{Key: k.Key, Adapter: k.Adapter, Node: l.node.cfg.Node, Running: d.running, Arrivals: d.arrivals}
		d.arrivals = 0
	}
	for _, w := range l.waiters {
		row, ok := rows[w.key]
		if !ok {
			row = &placement.Demand{Key: w.key.Key, Adapter: w.key.Adapter, Node: l.node.cfg.Node}
			rows[w.key] = row
		}
		left := w.deadline - now
		if row.Waiting == 0 || left < row.Remaining {
			row.Remaining = left
		}
		row.Waiting++
	}
	return sortedDemand(rows)
}

// restoreArrivals adds the arrivals of a report that failed back to the counts.
func (l *controlLoop) restoreArrivals(rows []placement.Demand) {
	for _, r := range rows {
		l.demandOf(demandKey{Key: r.Key, Adapter: r.Adapter}).arrivals += r.Arrivals
	}
}

// sortedDemand returns the rows that name a model, sorted by key and adapter. Calls to
// services have no model and are left out.
func sortedDemand(rows map[demandKey]*placement.Demand) []placement.Demand {
	list := make([]placement.Demand, 0, len(rows))
	for _, r := range rows {
		if r.Model != "" {
			list = append(list, *r)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Key != list[j].Key {
			return list[i].Less(list[j].Key)
		}
		return list[i].Adapter < list[j].Adapter
	})
	return list
}
