package directory

import (
	"container/list"
	"slices"
	"time"
)

// DefaultTTL is how long an upstream may stay unheard before it is silent.
const DefaultTTL = 2 * time.Second

// Outcome says what the directory did with an announcement.
type Outcome int

// Outcomes of an announcement.
const (
	// Accepted means that the announcement is now the upstream's state.
	Accepted Outcome = iota
	// Duplicate means that this announcement was known already.
	Duplicate
	// StaleSequence means that a later announcement of the same incarnation
	// was known already.
	StaleSequence
	// StaleIncarnation means that a later incarnation was known already.
	StaleIncarnation
	// Invalid means that a required field is missing.
	Invalid
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Duplicate:
		return "duplicate"
	case StaleSequence:
		return "stale sequence"
	case StaleIncarnation:
		return "stale incarnation"
	default:
		return "invalid"
	}
}

// Relayed is an announcement passed on by a peer. Clocks of two VMs are never
// compared, so it carries an age in place of a time.
type Relayed struct {
	// Announcement is the upstream's own state.
	Announcement Announcement `json:"announcement"`
	// Age is the time since a node heard the announcement, without the time
	// in transit.
	Age time.Duration `json:"age"`
}

// Directory holds the latest announcement of each upstream. It is not safe for
// concurrent use. Announcements in it are shared and must not be modified.
type Directory struct {
	ttl     time.Duration
	entries map[string]*entry
	ids     []string   // sorted
	changes *list.List // of *entry, by ascending version
	removed map[string]uint64
	version uint64
	events  []Event
}

// entry is one upstream.
type entry struct {
	state   Announcement
	heard   time.Duration
	silent  bool
	version uint64
	element *list.Element
}

// New returns an empty directory. An upstream unheard for longer than ttl is
// silent; DefaultTTL is used if ttl is zero.
func New(ttl time.Duration) *Directory {
	if ttl == 0 {
		ttl = DefaultTTL
	}
	return &Directory{
		ttl:     ttl,
		entries: map[string]*entry{},
		changes: list.New(),
		removed: map[string]uint64{},
	}
}

// Apply merges an announcement that came from the upstream itself.
func (d *Directory) Apply(a Announcement, now time.Duration) Outcome {
	return d.ApplyRelayed(Relayed{Announcement: a}, now)
}

// ApplyRelayed merges an announcement that a peer passed on. The result does
// not depend on the order in which announcements arrive.
func (d *Directory) ApplyRelayed(r Relayed, now time.Duration) Outcome {
	a := r.Announcement
	if !valid(a) || r.Age < 0 {
		return Invalid
	}
	if a.Incarnation <= d.removed[a.ID] {
		return StaleIncarnation
	}
	heard := now - r.Age
	e := d.entries[a.ID]
	switch {
	case e == nil:
		d.join(a, heard, now)
		return Accepted
	case a.Incarnation < e.state.Incarnation:
		return StaleIncarnation
	case a.Incarnation > e.state.Incarnation:
		d.restart(e, a, heard, now)
		return Accepted
	case a.Seq < e.state.Seq:
		d.keepLeaving(e, a.Leaving)
		return StaleSequence
	case a.Seq == e.state.Seq:
		d.keepLeaving(e, a.Leaving)
		// A copy that went round through peers lost its time in transit, so it
		// proves only that the announcement is at least this old.
		e.heard = min(e.heard, heard)
		d.checkSilent(e, now)
		return Duplicate
	}
	d.update(e, a, heard, now)
	return Accepted
}

// valid reports whether the fields that the directory needs are present.
func valid(a Announcement) bool {
	known := a.Kind == Engine || a.Kind == Service
	return a.ID != "" && a.Addr != "" && a.Incarnation > 0 && known
}

// join adds an upstream that was not known.
func (d *Directory) join(a Announcement, heard, now time.Duration) {
	e := &entry{state: a, heard: heard}
	d.entries[a.ID] = e
	at, _ := slices.BinarySearch(d.ids, a.ID)
	d.ids = slices.Insert(d.ids, at, a.ID)
	e.element = d.changes.PushBack(e)
	d.touch(e)
	d.enter(e, now)
}

// restart replaces an incarnation by a later one.
func (d *Directory) restart(e *entry, a Announcement, heard, now time.Duration) {
	d.emit(Gone, e)
	e.state, e.heard, e.silent = a, heard, false
	d.touch(e)
	d.enter(e, now)
}

// enter reports a new incarnation.
func (d *Directory) enter(e *entry, now time.Duration) {
	d.emit(Joined, e)
	if e.state.Leaving {
		d.emit(Leaving, e)
	}
	d.checkSilent(e, now)
}

// update replaces the state of an incarnation by a later one.
func (d *Directory) update(e *entry, a Announcement, heard, now time.Duration) {
	left := e.state.Leaving
	a.Leaving = a.Leaving || left
	e.state, e.heard = a, heard
	d.touch(e)
	if a.Leaving && !left {
		d.emit(Leaving, e)
	}
	if e.silent && now-e.heard <= d.ttl {
		e.silent = false
		d.emit(Returned, e)
	}
	d.checkSilent(e, now)
}

// keepLeaving makes a leaving flag stick that came with a late announcement.
func (d *Directory) keepLeaving(e *entry, leaving bool) {
	if !leaving || e.state.Leaving {
		return
	}
	e.state.Leaving = true
	d.touch(e)
	d.emit(Leaving, e)
}

// touch gives the entry the newest version.
func (d *Directory) touch(e *entry) {
	d.version++
	e.version = d.version
	d.changes.MoveToBack(e.element)
}

// Expire marks the upstreams silent that were not heard within the TTL. What
// they hold stays known: silence does not prove that a replica is gone.
func (d *Directory) Expire(now time.Duration) {
	for _, id := range d.ids {
		d.checkSilent(d.entries[id], now)
	}
}

// checkSilent marks one upstream silent if its TTL has passed.
func (d *Directory) checkSilent(e *entry, now time.Duration) {
	if !e.silent && now-e.heard > d.ttl {
		e.silent = true
		d.emit(Silent, e)
	}
}

// MarkSilent marks an incarnation silent before its TTL, as when its
// connections stopped answering. A later announcement brings it back.
func (d *Directory) MarkSilent(id string, incarnation uint64) {
	e := d.entries[id]
	if e == nil || e.silent || e.state.Incarnation != incarnation {
		return
	}
	e.silent = true
	d.emit(Silent, e)
}

// Remove deletes an upstream whose incarnation is known to have ended, and
// keeps late announcements of that incarnation from bringing it back.
func (d *Directory) Remove(id string, incarnation uint64) {
	d.removed[id] = max(d.removed[id], incarnation)
	e := d.entries[id]
	if e == nil || e.state.Incarnation > incarnation {
		return
	}
	d.emit(Gone, e)
	delete(d.entries, id)
	at, _ := slices.BinarySearch(d.ids, id)
	d.ids = slices.Delete(d.ids, at, at+1)
	d.changes.Remove(e.element)
}
