package directory

// EventKind says what happened to an upstream.
type EventKind int

// Kinds of event.
const (
	// Joined means that a new incarnation was heard for the first time.
	Joined EventKind = iota
	// Leaving means that the incarnation takes no new work from now on.
	Leaving
	// Silent means that the incarnation was not heard in time. It takes no
	// new work; what it holds stays charged.
	Silent
	// Returned means that a silent incarnation was heard again.
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

// Event is a change in an upstream's life.
type Event struct {
	// Kind says what happened.
	Kind EventKind
	// ID is the upstream.
	ID string
	// Incarnation is the incarnation that it happened to.
	Incarnation uint64
}

// TakeEvents returns the events since the last call, oldest first.
func (d *Directory) TakeEvents() []Event {
	events := d.events
	d.events = nil
	return events
}

// emit records an event.
func (d *Directory) emit(kind EventKind, e *entry) {
	event := Event{Kind: kind, ID: e.state.ID, Incarnation: e.state.Incarnation}
	d.events = append(d.events, event)
}
