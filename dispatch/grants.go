package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/ratelimit"
)

// wantsByUpstream collects what this node asks the leader for, by upstream.
type wantsByUpstream[W any] struct {
	byUpstream map[*upstream]*W
	// create returns a want for an upstream without any counts.
	create func(fleet.Incarnation) W
}

func newWants[W any](create func(fleet.Incarnation) W) wantsByUpstream[W] {
	return wantsByUpstream[W]{byUpstream: map[*upstream]*W{}, create: create}
}

// of returns the want for an upstream.
func (w wantsByUpstream[W]) of(u *upstream) *W {
	if w.byUpstream[u] == nil {
		want := w.create(u.incarnation())
		w.byUpstream[u] = &want
	}
	return w.byUpstream[u]
}

// sorted returns all wants by the ID of their upstream.
func (w wantsByUpstream[W]) sorted() []W {
	all := make([]W, 0, len(w.byUpstream))
	for _, u := range slices.SortedFunc(maps.Keys(w.byUpstream), byID) {
		all = append(all, *w.byUpstream[u])
	}
	return all
}

// applyGrants adds the leader's grants for upstreams that have not started again since, and returns the
// decisions on waiting calls that follow.
func (d *Dispatcher) applyGrants(grants []ratelimit.Grant, add func(*upstream, ratelimit.Grant), now time.Duration) []Verdict {
	for _, g := range grants {
		if u := d.upstreams[g.Upstream.ID]; u != nil && u.desc.Born == g.Upstream.Born {
			add(u, g)
		}
	}
	if len(grants) == 0 {
		return nil
	}
	return d.processQueue(now)
}
