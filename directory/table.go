package directory

import (
	"container/list"
	"slices"
	"time"
)

// DefaultTTL is the default time without an announcement after which an upstream is
// silent.
const DefaultTTL = 2 * time.Second

// Outcome is the result of merging an announcement.
type Outcome int

// Outcomes of an announcement.
const (
	// Accepted means that the announcement became the upstream's current state.
	Accepted Outcome = iota
	// Duplicate means that the directory already held this announcement.
	Duplicate
	// StaleSequence means that the directory held a later announcement of the same
	// incarnation. A leaving flag is merged all the same.
	StaleSequence
	// StaleIncarnation means that the directory held a later incarnation, or that the
	// incarnation was removed.
	StaleIncarnation
	// Invalid means that a required field is missing or the age is negative.
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

// Relayed is an announcement forwarded by a peer. It carries an age instead of a time,
// because the clocks of different VMs are never compared.
type Relayed struct {
	// Announcement is the upstream's own state.
	Announcement Announcement `json:"announcement"`
	// Age is the time since a node received the announcement from the upstream. It
	// excludes the time in transit between nodes.
	Age time.Duration `json:"age"`
}

// Directory holds the latest announcement of each upstream. It is not safe for
// concurrent use. Announcements in it are shared and must not be modified.
type Directory struct {
	ttl     time.Duration
	entries map[string]*entry
	ids     []string   // sorted
	changes *list.List // of *entry, by ascending version
	// removedIncarnations holds, by upstream ID, the latest incarnation that was removed.
	removedIncarnations map[string]uint64
	version             uint64
	events              []Event
}

// entry is the directory's record of one upstream.
type entry struct {
	state   Announcement
	heardAt time.Duration
	silent  bool
	version uint64
	element *list.Element
}

// New returns an empty directory. An upstream becomes silent when nothing has been heard
// from it for longer than ttl. If ttl is zero, DefaultTTL is used.
func New(ttl time.Duration) *Directory {
	if ttl == 0 {
		ttl = DefaultTTL
	}
	return &Directory{
		ttl:                 ttl,
		entries:             map[string]*entry{},
		changes:             list.New(),
		removedIncarnations: map[string]uint64{},
	}
}

// Apply merges an announcement received from the upstream itself at the time now.
func (d *Directory) Apply(a Announcement, now time.Duration) Outcome {
	return d.ApplyRelayed(Relayed{Announcement: a}, now)
}

// ApplyRelayed merges an announcement that a peer forwarded. The resulting state does not
// depend on the order in which announcements arrive.
func (d *Directory) ApplyRelayed(r Relayed, now time.Duration) Outcome {
	a := r.Announcement
	if !valid(a) || r.Age < 0 {
		return Invalid
	}
	if a.Incarnation <= d.removedIncarnations[a.ID] {
		return StaleIncarnation
	}
	heard := now - r.Age
	e := d.entries[a.ID]
	switch {
	case e == nil:
		d.add(a, heard, now)
		return Accepted
	case a.Incarnation < e.state.Incarnation:
		return StaleIncarnation
	case a.Incarnation > e.state.Incarnation:
		d.replaceIncarnation(e, a, heard, now)
		return Accepted
	case a.Seq < e.state.Seq:
		d.mergeLeaving(e, a.Leaving)
		return StaleSequence
	case a.Seq == e.state.Seq:
		d.mergeLeaving(e, a.Leaving)
		// An announcement that went through peers lost its time in transit, so its age is
		// a lower bound. The earlier of the two times is closer to the truth.
		e.heardAt = min(e.heardAt, heard)
		d.checkSilent(e, now)
		return Duplicate
	}
	d.update(e, a, heard, now)
	return Accepted
}

// valid reports whether the fields that the directory needs are set.
func valid(a Announcement) bool {
	known := a.Kind == Engine || a.Kind == Service
	return a.ID != "" && a.Addr != "" && a.Incarnation > 0 && known
}

// add inserts an unknown upstream.
func (d *Directory) add(a Announcement, heard, now time.Duration) {
	e := &entry{state: a, heardAt: heard}
	d.entries[a.ID] = e
	at, _ := slices.BinarySearch(d.ids, a.ID)
	d.ids = slices.Insert(d.ids, at, a.ID)
	e.element = d.changes.PushBack(e)
	d.markChanged(e)
	d.emitJoined(e, now)
}

// replaceIncarnation replaces the state of an incarnation by that of a later incarnation.
func (d *Directory) replaceIncarnation(e *entry, a Announcement, heard, now time.Duration) {
	d.emit(Gone, e)
	e.state, e.heardAt, e.silent = a, heard, false
	d.markChanged(e)
	d.emitJoined(e, now)
}

// emitJoined emits the events of a new incarnation. They include Silent if it was last
// heard from longer ago than the TTL.
func (d *Directory) emitJoined(e *entry, now time.Duration) {
	d.emit(Joined, e)
	if e.state.Leaving {
		d.emit(Leaving, e)
	}
	d.checkSilent(e, now)
}

// update replaces the state of an incarnation by a later state. A leaving flag stays set.
func (d *Directory) update(e *entry, a Announcement, heard, now time.Duration) {
	left := e.state.Leaving
	a.Leaving = a.Leaving || left
	e.state, e.heardAt = a, heard
	d.markChanged(e)
	if a.Leaving && !left {
		d.emit(Leaving, e)
	}
	if e.silent && now-e.heardAt <= d.ttl {
		e.silent = false
		d.emit(Returned, e)
	}
	d.checkSilent(e, now)
}

// mergeLeaving sets the leaving flag if a late announcement carries it. Leaving is final
// for an incarnation.
func (d *Directory) mergeLeaving(e *entry, leaving bool) {
	if !leaving || e.state.Leaving {
		return
	}
	e.state.Leaving = true
	d.markChanged(e)
	d.emit(Leaving, e)
}

// markChanged assigns the next version to the entry and moves it to the end of the change
// list.
func (d *Directory) markChanged(e *entry) {
	d.version++
	e.version = d.version
	d.changes.MoveToBack(e.element)
}

// Expire marks the upstreams silent from which nothing was heard within the TTL. Their
// replicas stay in the directory, because silence does not prove that a replica is gone.
func (d *Directory) Expire(now time.Duration) {
	for _, id := range d.ids {
		d.checkSilent(d.entries[id], now)
	}
}

// checkSilent marks one upstream silent if its TTL has expired.
func (d *Directory) checkSilent(e *entry, now time.Duration) {
	if !e.silent && now-e.heardAt > d.ttl {
		e.silent = true
		d.emit(Silent, e)
	}
}

// MarkSilent marks an incarnation silent before its TTL expires, for example when its
// connections stop responding. A later announcement ends the silence.
func (d *Directory) MarkSilent(id string, incarnation uint64) {
	e := d.entries[id]
	if e == nil || e.silent || e.state.Incarnation != incarnation {
		return
	}
	e.silent = true
	d.emit(Silent, e)
}

// Remove deletes an upstream whose incarnation is known to have ended. Late announcements
// of that incarnation or earlier ones are refused from then on.
func (d *Directory) Remove(id string, incarnation uint64) {
	d.removedIncarnations[id] = max(d.removedIncarnations[id], incarnation)
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
