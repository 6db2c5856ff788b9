// Package placement decides which model replica is loaded where and when. It
// runs at the one decision point of the system and turns contracts, demand,
// announced upstreams and the ledger of grants into ledger changes, orders to
// upstreams and a forecast for admission.
//
// The package is pure: time is an argument, nothing reads a clock, starts a
// goroutine or does I/O, and equal inputs give equal plans.
//
// # Order of events
//
// A grant is the right of one upstream incarnation to hold one replica. It is
// committed to the replicated log (Ledger.Apply) before its load order is
// sent, and stays charged against the replica limits and the upstream's memory
// until that incarnation reports the replica as failed or unloaded, or is
// known to be gone. Lost answers, timeouts, silence and new leaders release
// nothing.
package placement

import "time"

// Instant is the caller's monotonic time since an arbitrary start. Instants of
// different processes are never compared.
type Instant = time.Duration

// Key names one model of one customer. Replicas are held for one customer.
type Key struct {
	Customer string `json:"customer"`
	Model    string `json:"model"`
}

// Less orders keys by customer, then by model.
func (k Key) Less(other Key) bool {
	if k.Customer != other.Customer {
		return k.Customer < other.Customer
	}
	return k.Model < other.Model
}
