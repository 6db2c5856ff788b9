// Package standin has small stand-ins for what surrounds the system: a model
// engine, a plain service and the weight store. They speak the protocol of
// package engine on loopback ports, take scripted faults, and keep a journal of
// the requests that they ran. They are test support: in process, or as
// processes of cmd/standin.
package standin

import "time"

// HTTP paths that every stand-in serves besides its work.
const (
	// PathJournal lists the journal as a JSON array of Entry.
	PathJournal = "/journal"
	// PathFaults takes Faults by PUT and replaces those in force.
	PathFaults = "/faults"
	// PathStats answers with the counters of the stand-in.
	PathStats = "/stats"
)

// Scale shortens simulated durations: 0.01 runs a 10 s load in 100 ms. Zero
// means 1. Protocol intervals are not scaled.
type Scale float64

// of is the real duration of a simulated one.
func (s Scale) of(d time.Duration) time.Duration {
	if s <= 0 {
		return d
	}
	return time.Duration(float64(d) * float64(s))
}
