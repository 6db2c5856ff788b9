package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// victim is a model that could make room.
type victim struct {
	name string
	size float64
	loss float64
	wait time.Duration
}

// room is what an engine has free, and what it could give up, the least loss
// first.
type room struct {
	free    float64
	victims []victim
}

// room looks at one engine.
func (p *Planner) room(n *node, now time.Duration) room {
	r := room{free: n.spec().WeightsMB - n.service.reserved}
	for name := range n.held.models {
		m := n.service.byName[name]
		if m == nil {
			continue
		}
		r.free -= m.spec.SizeMB
		if since, offered := n.held.offered[name]; !offered || now-since < p.limits.MinStay {
			continue
		}
		r.victims = append(r.victims, p.victim(n, m))
	}
	slices.SortFunc(r.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss+a.wait.Seconds(), b.loss+b.wait.Seconds()), strings.Compare(a.name, b.name))
	})
	return r
}

// least is the least loss that makes any room.
func (r *room) least() float64 {
	least := math.Inf(1)
	for i := range r.victims {
		least = min(least, r.victims[i].loss)
	}
	return least
}

// give chooses what is given up for a model of a size.
func (r *room) give(size float64) (evict []string, loss float64, wait time.Duration, ok bool) {
	free := r.free
	if free >= size {
		return nil, 0, 0, true
	}
	for _, v := range r.victims {
		evict = append(evict, v.name)
		loss += v.loss
		wait = max(wait, v.wait)
		if free += v.size; free >= size {
			return needed(evict, r.victims, free-size), loss, wait, true
		}
	}
	return nil, 0, 0, false
}

// needed drops victims that turned out not to be needed for the room.
func needed(evict []string, victims []victim, over float64) []string {
	kept := evict[:0:0]
	for _, name := range evict {
		i := slices.IndexFunc(victims, func(v victim) bool { return v.name == name })
		if victims[i].size <= over {
			over -= victims[i].size
			continue
		}
		kept = append(kept, name)
	}
	return kept
}

// victim says what the loss of a model at an engine would cost.
func (p *Planner) victim(n *node, m *modelState) victim {
	v := victim{name: m.spec.Name, size: m.spec.SizeMB}
	if len(m.holders) > 1 {
		v.loss = max(0, p.burden(n, m)*p.limits.Horizon.Seconds())
	} else {
		v.loss = m.rate * p.limits.Horizon.Seconds()
	}
	if calls := n.running.byName[v.name]; calls > 0 {
		v.wait = p.limits.CallTime
		v.loss += float64(calls) * runningLoss
	}
	return v
}
