package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/agateslip/agateslip/internal/changelog"
)

// Outcome says what became of an announcement.
type Outcome uint8

// Outcomes of an announcement.
const (
	// Taken announcements changed or confirmed the registry.
	Taken Outcome = iota + 1
	// Stale announcements come from before what is known and changed nothing.
	Stale
)

// String names the outcome for logs and metrics.
func (o Outcome) String() string {
	if o == Taken {
		return "taken"
	}
	return "stale"
}

// Bounds are the registry's times.
type Bounds struct {
	// Silence is how long an upstream may say nothing before it counts as gone.
	Silence time.Duration
	// Tombstone is how long an ended incarnation is remembered.
	Tombstone time.Duration
}

// entry is one upstream with what the registry alone needs.
type entry struct {
	Upstream
	// heard is when it last said something, or ended.
	heard time.Duration
}

// Registry is the set of upstreams. One goroutine uses it.
type Registry struct {
	bounds Bounds
	byID   map[string]*entry
	// byAddr is the upstream at each address that has not ended.
	byAddr  map[string]*entry
	changes *changelog.Log
}

// NewRegistry returns an empty registry.
func NewRegistry(b Bounds) *Registry {
	return &Registry{bounds: b, byID: map[string]*entry{}, byAddr: map[string]*entry{}, changes: changelog.New()}
}

// Announce takes note of what an upstream said of itself, which arrived at now.
func (r *Registry) Announce(u Upstream, now time.Duration) Outcome {
	known := r.byID[u.ID]
	if known != nil && known.supersedes(&u) {
		return Stale
	}
	if holder := r.holderOf(u.Addr, u.ID); holder != nil {
		if holder.Born > u.Born {
			return Stale
		}
		r.end(holder, now)
	}
	u.Gone, u.Silent = false, false
	if known != nil && known.sameTo(&u) {
		known.Seq, known.heard, known.EndsIn = u.Seq, now, u.EndsIn
		return Taken
	}
	r.put(&entry{Upstream: u, heard: now})
	return Taken
}

// supersedes reports whether the entry is as new as what the same upstream says.
func (e *entry) supersedes(u *Upstream) bool {
	if u.Born != e.Born {
		return u.Born < e.Born
	}
	return e.Gone && !e.Silent || u.Seq <= e.Seq
}

// holderOf is the upstream other than id that has an address.
func (r *Registry) holderOf(addr, id string) *entry {
	if e := r.byAddr[addr]; e != nil && e.ID != id {
		return e
	}
	return nil
}

// Leave marks an incarnation as gone. born is zero where the upstream did not
// say which incarnation it is; that means the one that is known.
func (r *Registry) Leave(id string, born int64, now time.Duration) Outcome {
	e := r.byID[id]
	switch {
	case e == nil:
		// The upstream may still be announced by a late message.
		r.put(&entry{Upstream: Upstream{ID: id, Born: born, Gone: true}, heard: now})
		return Taken
	case born != 0 && born < e.Born, e.Gone:
		return Stale
	}
	r.end(e, now)
	return Taken
}

func (r *Registry) end(e *entry, now time.Duration) {
	ended := *e
	ended.Gone, ended.heard = true, now
	r.put(&ended)
}

func (r *Registry) put(e *entry) {
	if known := r.byID[e.ID]; known != nil && r.byAddr[known.Addr] == known {
		delete(r.byAddr, known.Addr)
	}
	e.Revision = r.changes.Note(e.ID)
	r.byID[e.ID] = e
	if !e.Gone {
		r.byAddr[e.Addr] = e
	}
}

// Expire ends the upstreams that fell silent, which it returns, and forgets
// those that ended long ago.
func (r *Registry) Expire(now time.Duration) []string {
	var silent []string
	for id, e := range r.byID {
		switch age := now - e.heard; {
		case e.Gone && age > r.bounds.Tombstone:
			delete(r.byID, id)
			r.changes.Forget(id)
		case !e.Gone && age > r.bounds.Silence:
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		r.end(r.byID[id], now)
		r.byID[id].Silent = true
	}
	return silent
}

// Merge takes the upstreams that another registry knows, where it knows them
// better. Their silence counts from now.
func (r *Registry) Merge(others []Upstream, now time.Duration) {
	for _, u := range others {
		known := r.byID[u.ID]
		if known != nil && (known.Born > u.Born || known.Born == u.Born && (known.Gone || !u.Gone)) {
			continue
		}
		r.put(&entry{Upstream: u, heard: now})
	}
}

// Replace takes the upstreams as a registry that this one copies has them.
func (r *Registry) Replace(others []Upstream, now time.Duration) {
	for _, u := range others {
		r.put(&entry{Upstream: u, heard: now})
	}
}

// Revision is the number of the latest change.
func (r *Registry) Revision() uint64 { return r.changes.Revision() }

// Since returns the upstreams that changed after a revision, ended ones
// included, in the order of their changes.
func (r *Registry) Since(revision uint64) []Upstream {
	var changed []Upstream
	r.changes.Since(revision, func(id string) { changed = append(changed, r.byID[id].Upstream) })
	return changed
}

// Live returns the upstreams that have not ended, by id.
func (r *Registry) Live() []Upstream {
	var live []Upstream
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		if e := r.byID[id]; !e.Gone {
			live = append(live, e.Upstream)
		}
	}
	return live
}

// Get returns an upstream that has not ended.
func (r *Registry) Get(id string) (Upstream, bool) {
	e := r.byID[id]
	if e == nil || e.Gone {
		return Upstream{}, false
	}
	return e.Upstream, true
}

// Heard is when an upstream last said something, or ended; zero if it is unknown.
func (r *Registry) Heard(id string) time.Duration {
	if e := r.byID[id]; e != nil {
		return e.heard
	}
	return 0
}

// Adjust replaces what an upstream is known to hold, where the planner knows
// better than its latest announcement.
func (r *Registry) Adjust(id string, residents []Resident, closing []string) {
	e := r.byID[id]
	if e == nil || e.Gone {
		return
	}
	next := *e
	next.Residents, next.Closing = residents, closing
	if !e.sameTo(&next.Upstream) {
		r.put(&next)
	}
}
