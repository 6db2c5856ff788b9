package confstate

import "github.com/agateslip/agateslip/fleet"

// maxDepartures bounds the departures that are kept. They matter until every node knows of them and no
// announcement from before can arrive any more.
const maxDepartures = 1024

// Departure is the acknowledged word of an upstream that it wants no new calls or is gone.
type Departure struct {
	Upstream fleet.Incarnation `json:"upstream"`
	// Gone is set if the upstream ends, and not set if it only drains.
	Gone bool `json:"gone,omitempty"`
	// Index is the log index of the command; it is set when that is applied.
	Index uint64 `json:"index,omitempty"`
}

// Covers reports whether d says all that o says: of the same incarnation as much, or of a later one anything.
func (d Departure) Covers(o Departure) bool {
	if d.Upstream.ID != o.Upstream.ID || d.Upstream.Born != o.Upstream.Born {
		return d.Upstream.ID == o.Upstream.ID && d.Upstream.Born > o.Upstream.Born
	}
	return d.Gone || !o.Gone
}

// depart records a departure and drops the oldest one beyond maxDepartures.
func (s *State) depart(index uint64, d Departure) {
	if known, ok := s.Departures[d.Upstream.ID]; ok && known.Covers(d) {
		return
	}
	d.Index = index
	s.Departures[d.Upstream.ID] = d
	if len(s.Departures) <= maxDepartures {
		return
	}
	oldest := d
	for _, other := range s.Departures {
		if other.Index < oldest.Index {
			oldest = other
		}
	}
	delete(s.Departures, oldest.Upstream.ID)
}
