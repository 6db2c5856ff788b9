package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/agateslip/agateslip/internal/changelog"
)

// Outcome is what became of an announcement or a departure.
type Outcome uint8

// The outcomes.
const (
	// Taken means that the registry accepted the announcement or departure as new.
	Taken Outcome = iota + 1
	// Stale means that the announcement or departure is not newer than what the registry
	// knows and changed nothing.
	Stale
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	if o == Taken {
		return "taken"
	}
	return "stale"
}

// Timeouts are the time limits of a registry.
type Timeouts struct {
	// Silence is the time without an announcement after which an upstream counts as gone.
	Silence time.Duration
	// Tombstone is how long an ended incarnation is remembered, so that its late
	// announcements are recognized as stale.
	Tombstone time.Duration
}

// entry is an upstream and the registry's own state of it.
type entry struct {
	Upstream
	// lastHeard is when the latest announcement or another registry's description
	// arrived, or when the upstream ended.
	lastHeard time.Duration
}

// Registry is the set of known upstreams. It is not safe for concurrent use.
type Registry struct {
	timeouts Timeouts
	byID     map[string]*entry
	// byAddr holds the upstream at each address, without those that have ended.
	byAddr  map[string]*entry
	changes *changelog.Log
}

// NewRegistry returns an empty registry.
func NewRegistry(t Timeouts) *Registry {
	return &Registry{timeouts: t, byID: map[string]*entry{}, byAddr: map[string]*entry{}, changes: changelog.New()}
}

// Announce applies an upstream's announcement, which arrived at now. An older upstream at
// the same address is marked as gone. Only a changed description counts as a change.
func (r *Registry) Announce(u Upstream, now time.Duration) Outcome {
	known := r.byID[u.ID]
	if known != nil && known.supersedes(&u) {
		return Stale
	}
	if known != nil && known.Born == u.Born && known.Software != "" {
		if u.Software != "" && u.Software != known.Software {
			return Stale // an incarnation runs one version of its software
		}
		u.Software = known.Software
	}
	if holder := r.otherAt(u.Addr, u.ID); holder != nil {
		if holder.Born > u.Born {
			return Stale
		}
		r.markGone(holder, now)
	}
	u.Gone, u.Silent = false, false
	if known != nil && known.Born == u.Born && known.Leaving {
		u.Leaving = true // an incarnation that leaves does not stay after all
	}
	if known != nil && known.Born == u.Born {
		u.RateLimit = known.RateLimit // announcements do not name it
	}
	if known != nil && known.equivalent(&u) {
		known.Seq, known.lastHeard, known.EndsIn = u.Seq, now, u.EndsIn
		return Taken
	}
	r.store(&entry{Upstream: u, lastHeard: now})
	return Taken
}

// supersedes reports whether the entry is at least as new as u, an announcement of the
// same upstream. An upstream that left stays gone for the rest of its incarnation; one
// that fell silent returns with a newer announcement.
func (e *entry) supersedes(u *Upstream) bool {
	if u.Born != e.Born {
		return u.Born < e.Born
	}
	return e.Gone && !e.Silent || u.Seq <= e.Seq
}

// otherAt returns the upstream at an address unless it is the one with the given ID, or
// nil if there is none.
func (r *Registry) otherAt(addr, id string) *entry {
	if e := r.byAddr[addr]; e != nil && e.ID != id {
		return e
	}
	return nil
}

// Leave marks an incarnation of an upstream as gone. If born is zero, the upstream did not
// name the incarnation, and the known one is meant.
func (r *Registry) Leave(id string, born int64, now time.Duration) Outcome {
	e := r.byID[id]
	switch {
	case e == nil:
		// A late announcement of this incarnation may still arrive and must be stale.
		r.store(&entry{Upstream: Upstream{ID: id, Born: born, Gone: true}, lastHeard: now})
		return Taken
	case born != 0 && born < e.Born, e.Gone && !e.Silent:
		return Stale
	}
	r.markGone(e, now)
	return Taken
}

// MarkLeaving records that an incarnation of an upstream takes no new work although its
// announcements do not say so yet. It reports whether that was new.
func (r *Registry) MarkLeaving(id string, born int64) bool {
	e := r.byID[id]
	if e == nil || e.Gone || e.Born != born || e.Leaving {
		return false
	}
	leaving := *e
	leaving.Leaving = true
	r.store(&leaving)
	return true
}

// SetRateLimit records what an entry node knows of the limit of an incarnation. It reports
// whether that was new.
func (r *Registry) SetRateLimit(i Incarnation, limit RateLimit) bool {
	e := r.byID[i.ID]
	if e == nil || e.Gone || e.Born != i.Born || !limit.Supersedes(e.RateLimit) {
		return false
	}
	limited := *e
	limited.RateLimit = limit
	r.store(&limited)
	return true
}

// markGone stores e as ended at now.
func (r *Registry) markGone(e *entry, now time.Duration) {
	ended := *e
	ended.Gone, ended.Silent, ended.lastHeard = true, false, now
	r.store(&ended)
}

// store records e as a change, in place of the entry with the same ID.
func (r *Registry) store(e *entry) {
	if known := r.byID[e.ID]; known != nil && r.byAddr[known.Addr] == known {
		delete(r.byAddr, known.Addr)
	}
	e.Revision = r.changes.Record(e.ID)
	r.byID[e.ID] = e
	if !e.Gone {
		r.byAddr[e.Addr] = e
	}
}

// Expire marks the upstreams that have fallen silent as gone and returns their IDs, sorted.
// It removes those that ended longer ago than Tombstone.
func (r *Registry) Expire(now time.Duration) []string {
	var silent []string
	for id, e := range r.byID {
		switch age := now - e.lastHeard; {
		case e.Gone && age > r.timeouts.Tombstone:
			delete(r.byID, id)
			r.changes.Forget(id)
		case !e.Gone && age > r.timeouts.Silence:
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		r.markGone(r.byID[id], now)
		r.byID[id].Silent = true
	}
	return silent
}

// Merge applies the upstreams of another registry that are unknown here, of a later
// incarnation, or gone. Their Silence timeout starts at now.
func (r *Registry) Merge(others []Upstream, now time.Duration) {
	for _, u := range others {
		known := r.byID[u.ID]
		if known != nil && (known.Born > u.Born || known.Born == u.Born && !known.endedBy(&u)) {
			continue
		}
		r.store(&entry{Upstream: u, lastHeard: now})
	}
}

// endedBy reports whether u, a description of the same incarnation, says that it ended and
// the entry does not, or only that it fell silent where u says that it left.
func (e *entry) endedBy(u *Upstream) bool {
	return u.Gone && (!e.Gone || e.Silent && !u.Silent)
}

// Replace stores the upstreams of the registry that this one is a copy of, whatever is
// known of them here.
func (r *Registry) Replace(others []Upstream, now time.Duration) {
	for _, u := range others {
		r.store(&entry{Upstream: u, lastHeard: now})
	}
}

// Revision returns the number of the latest change.
func (r *Registry) Revision() uint64 { return r.changes.Revision() }

// Since returns the upstreams that changed after a revision, including those that ended,
// in the order of their latest changes.
func (r *Registry) Since(revision uint64) []Upstream {
	var changed []Upstream
	r.changes.Since(revision, func(id string) { changed = append(changed, r.byID[id].Upstream) })
	return changed
}

// Live returns the upstreams that have not ended, sorted by ID.
func (r *Registry) Live() []Upstream {
	var live []Upstream
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		if e := r.byID[id]; !e.Gone {
			live = append(live, e.Upstream)
		}
	}
	return live
}

// Get returns an upstream by its ID. It reports false if the upstream is unknown or has
// ended.
func (r *Registry) Get(id string) (Upstream, bool) {
	e := r.byID[id]
	if e == nil || e.Gone {
		return Upstream{}, false
	}
	return e.Upstream, true
}

// Heard returns when an upstream's latest announcement arrived, or when it ended; zero if
// it is unknown.
func (r *Registry) Heard(id string) time.Duration {
	if e := r.byID[id]; e != nil {
		return e.lastHeard
	}
	return 0
}

// SetResidents replaces the models that an upstream holds and those about to be unloaded,
// where the planner knows more than the latest announcement says. It ignores unknown and
// ended upstreams.
func (r *Registry) SetResidents(id string, residents []Resident, closing []string) {
	e := r.byID[id]
	if e == nil || e.Gone {
		return
	}
	next := *e
	next.Residents, next.Closing = residents, closing
	if !e.equivalent(&next.Upstream) {
		r.store(&next)
	}
}
