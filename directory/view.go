package directory

import (
	"slices"
	"time"
)

// View is the state of one upstream as the directory knows it.
type View struct {
	// Announcement is the upstream's latest announcement.
	Announcement Announcement
	// Silent reports whether nothing was heard from the upstream within the TTL, or it was
	// marked silent.
	Silent bool
	// Age is the time since the announcement was received.
	Age time.Duration
	// Version is the directory's version at the latest change of the upstream.
	Version uint64
}

// AcceptsWork reports whether the upstream may get new work.
func (v View) AcceptsWork() bool {
	return !v.Silent && !v.Announcement.Leaving
}

// Summary identifies the state that a directory holds of one upstream.
type Summary struct {
	// ID is the ID of the upstream.
	ID string `json:"id"`
	// Incarnation is its latest incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Seq is the latest sequence number of that incarnation.
	Seq uint64 `json:"seq"`
	// Leaving reports whether the incarnation is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Len returns the number of upstreams.
func (d *Directory) Len() int {
	return len(d.ids)
}

// Version returns the version of the latest change.
func (d *Directory) Version() uint64 {
	return d.version
}

// Get returns an upstream by its ID. It reports false if the upstream is unknown.
func (d *Directory) Get(id string, now time.Duration) (View, bool) {
	e := d.entries[id]
	if e == nil {
		return View{}, false
	}
	return e.view(now), true
}

// Snapshot returns all upstreams, sorted by ID.
func (d *Directory) Snapshot(now time.Duration) []View {
	views := make([]View, 0, len(d.ids))
	for _, id := range d.ids {
		views = append(views, d.entries[id].view(now))
	}
	return views
}

// view returns the entry as a View.
func (e *entry) view(now time.Duration) View {
	return View{
		Announcement: e.state,
		Silent:       e.silent,
		Age:          now - e.heardAt,
		Version:      e.version,
	}
}

// relayed returns the entry in the form that is sent to peers.
func (e *entry) relayed(now time.Duration) Relayed {
	return Relayed{Announcement: e.state, Age: max(0, now-e.heardAt)}
}

// ChangedSince returns the upstreams that changed after the given version, in the order
// of their latest changes, and the version to pass to the next call. Removed upstreams
// are not included.
func (d *Directory) ChangedSince(version uint64, now time.Duration) ([]Relayed, uint64) {
	var changed []Relayed
	for el := d.changes.Back(); el != nil; el = el.Prev() {
		e := el.Value.(*entry)
		if e.version <= version {
			break
		}
		changed = append(changed, e.relayed(now))
	}
	slices.Reverse(changed)
	return changed, d.version
}

// Digest summarizes what this directory holds, sorted by ID. A peer passes the digest to
// NewerThan to find what this directory lacks.
func (d *Directory) Digest() []Summary {
	digest := make([]Summary, 0, len(d.ids))
	for _, id := range d.ids {
		digest = append(digest, d.entries[id].summary())
	}
	return digest
}

// NewerThan returns the states that this directory holds and the sender of the digest
// lacks, sorted by ID. The digest may be in any order.
func (d *Directory) NewerThan(digest []Summary, now time.Duration) []Relayed {
	known := make(map[string]Summary, len(digest))
	for _, s := range digest {
		known[s.ID] = s
	}
	var newer []Relayed
	for _, id := range d.ids {
		e := d.entries[id]
		if e.summary().newerThan(known[id]) {
			newer = append(newer, e.relayed(now))
		}
	}
	return newer
}

// summary returns the summary of the entry's state.
func (e *entry) summary() Summary {
	return Summary{
		ID:          e.state.ID,
		Incarnation: e.state.Incarnation,
		Seq:         e.state.Seq,
		Leaving:     e.state.Leaving,
	}
}

// newerThan reports whether s is a later state than other, or the same state with a
// leaving flag that other lacks.
func (s Summary) newerThan(other Summary) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	if s.Seq != other.Seq {
		return s.Seq > other.Seq
	}
	return s.Leaving && !other.Leaving
}
