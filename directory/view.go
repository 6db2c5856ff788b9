package directory

import (
	"slices"
	"time"
)

// View is what the directory knows of one upstream.
type View struct {
	// Announcement is the latest state that the upstream announced.
	Announcement Announcement
	// Silent says that the upstream was not heard in time.
	Silent bool
	// Age is the time since the announcement was heard.
	Age time.Duration
	// Version is the directory's version at the upstream's last change.
	Version uint64
}

// Takes reports whether the upstream may be given new work.
func (v View) Takes() bool {
	return !v.Silent && !v.Announcement.Leaving
}

// Summary names the state that a directory holds of one upstream.
type Summary struct {
	// ID is the upstream.
	ID string `json:"id"`
	// Incarnation is its latest incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Seq is that incarnation's latest sequence number.
	Seq uint64 `json:"seq"`
	// Leaving says that the incarnation is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Len returns the number of upstreams.
func (d *Directory) Len() int {
	return len(d.ids)
}

// Version returns the version of the last change.
func (d *Directory) Version() uint64 {
	return d.version
}

// Get returns one upstream.
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

// view returns the entry as callers see it.
func (e *entry) view(now time.Duration) View {
	return View{
		Announcement: e.state,
		Silent:       e.silent,
		Age:          now - e.heard,
		Version:      e.version,
	}
}

// relayed returns the entry as it is passed to peers.
func (e *entry) relayed(now time.Duration) Relayed {
	return Relayed{Announcement: e.state, Age: max(0, now-e.heard)}
}

// ChangedSince returns what changed after the given version, oldest first,
// and the version to ask from next time.
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

// Digest names what this directory holds, sorted by ID. A peer answers with
// NewerThan.
func (d *Directory) Digest() []Summary {
	digest := make([]Summary, 0, len(d.ids))
	for _, id := range d.ids {
		digest = append(digest, d.entries[id].summary())
	}
	return digest
}

// NewerThan returns what this directory holds and the digest's owner lacks,
// sorted by ID. The digest may have any order.
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

// summary names the entry's state.
func (e *entry) summary() Summary {
	return Summary{
		ID:          e.state.ID,
		Incarnation: e.state.Incarnation,
		Seq:         e.state.Seq,
		Leaving:     e.state.Leaving,
	}
}

// newerThan reports whether s tells something that other does not.
func (s Summary) newerThan(other Summary) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	if s.Seq != other.Seq {
		return s.Seq > other.Seq
	}
	return s.Leaving && !other.Leaving
}
