// Package standin provides stand-ins for the external parts of the system: a model
// engine, a plain service and the weight store. They speak the protocol of package
// engine over HTTP, inject scripted faults and keep a journal of the requests that
// they ran. Tests and the demo run them in process or as processes of cmd/standin.
package standin

import "time"

// HTTP paths for test control. Every stand-in serves the journal and the faults.
const (
	// PathJournal lists the journal as a JSON array of Entry.
	PathJournal = "/journal"
	// PathFaults takes Faults by PUT and replaces those in force.
	PathFaults = "/faults"
	// PathStats returns the counters of an Engine or a Store as JSON.
	PathStats = "/stats"
)

// Scale is the factor from simulated to real durations: 0.01 runs a 10 s load in
// 100 ms. Zero means 1. Protocol intervals, such as heartbeats, are not scaled.
type Scale float64

// apply converts a simulated duration to a real one.
func (s Scale) apply(d time.Duration) time.Duration {
	if s <= 0 {
		return d
	}
	return time.Duration(float64(d) * float64(s))
}
