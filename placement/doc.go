// Package placement decides which model replica is loaded where and when. It runs on the
// leading control node and turns contracts, demand, announced upstreams and the ledger of
// grants into ledger changes, orders to upstreams and forecasts for admission.
//
// The package is deterministic: time is an argument, nothing reads a clock, starts a
// goroutine or does I/O, and equal inputs give equal plans.
//
// # Grants
//
// A grant is the right of one upstream incarnation to hold one replica. It is committed to
// the replicated log (Ledger.Apply) before its load order is sent. It stays charged against
// the replica limits and the upstream's memory until that incarnation reports the replica as
// failed or unloaded, or is known to be gone. Lost answers, timeouts, silence and leader
// changes release nothing.
package placement

import "time"

// Instant is a reading of the caller's monotonic clock, counted from an arbitrary start.
// Instants of different processes are not comparable.
type Instant = time.Duration

// Key identifies one model of one customer. A replica belongs to one customer.
type Key struct {
	Customer string `json:"customer"`
	Model    string `json:"model"`
}

// Less reports whether k sorts before other, by customer and then by model.
func (k Key) Less(other Key) bool {
	if k.Customer != other.Customer {
		return k.Customer < other.Customer
	}
	return k.Model < other.Model
}
