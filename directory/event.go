package directory

// EventKind is the kind of an Event.
type EventKind int

// Kinds of event.
const (
	// Joined means that an incarnation was heard from for the first time.
	Joined EventKind = iota
	// Leaving means that the incarnation announced that it takes no new work.
	Leaving
	// Silent means that nothing was heard from the incarnation within the TTL, or that it
	// was marked silent. It gets no new work, but the memory of its replicas still counts
	// as used.
	Silent
	// Returned means that a silent incarnation was heard from again.
	Returned
	// Gone means that the incarnation has ended and holds nothing.
	Gone
)

// String returns the kind's name.
func (k EventKind) String() string {
	switch k {
	case Joined:
		return "joined"
	case Leaving:
		return "leaving"
	case Silent:
		return "silent"
	case Returned:
		return "returned"
	default:
		return "gone"
	}
}

// Event is a change in the life cycle of an upstream.
type Event struct {
	// Kind is the kind of the change.
	Kind EventKind
	// ID is the ID of the upstream.
	ID string
	// Incarnation is the incarnation that the event concerns.
	Incarnation uint64
}

// TakeEvents returns the events since the last call and clears them, oldest first.
func (d *Directory) TakeEvents() []Event {
	events := d.events
	d.events = nil
	return events
}

// emit queues an event for TakeEvents.
func (d *Directory) emit(kind EventKind, e *entry) {
	event := Event{Kind: kind, ID: e.state.ID, Incarnation: e.state.Incarnation}
	d.events = append(d.events, event)
}
