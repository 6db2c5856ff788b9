package node

import (
	"sort"

	"github.com/agateslip/agateslip/placement"
)

// demandKey names one row of demand.
type demandKey struct {
	placement.Key
	Adapter string
}

// demand is what one model or adapter has on this node.
type demand struct {
	running  int
	arrivals int
}

func (l *loop) demandOf(k demandKey) *demand {
	d, ok := l.demands[k]
	if !ok {
		d = &demand{}
		l.demands[k] = d
	}
	return d
}

// takeDemand returns this node's demand and starts a new count of arrivals.
func (l *loop) takeDemand() []placement.Demand {
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

// returnDemand counts arrivals again whose report was lost.
func (l *loop) returnDemand(rows []placement.Demand) {
	for _, r := range rows {
		l.demandOf(demandKey{Key: r.Key, Adapter: r.Adapter}).arrivals += r.Arrivals
	}
}

// sortedDemand lists the rows of models, by key and adapter.
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
