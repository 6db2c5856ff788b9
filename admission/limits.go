// Package admission decides which requests run, which wait and which are refused. A
// Throttler on each node holds leased shares of each contract's capacity. An Allocator
// on the leader grants the leases so that their sum never exceeds the contract, even
// while nodes are disconnected. Callers pass the time as a monotonic duration; the
// package has no clock, goroutines or I/O.
package admission

import (
	"time"

	"github.com/agateslip/agateslip/contract"
)

// Limits is the capacity that one contract grants over all nodes together.
type Limits struct {
	// Customer is the contract's customer.
	Customer string
	// Concurrency bounds the requests that run at once.
	Concurrency int
	// Rate bounds the requests that start per second.
	Rate float64
	// Burst bounds the requests that start at one instant.
	Burst int
	// Queue bounds the requests that wait at once.
	Queue int
	// Wait bounds the time from arrival to start or refusal.
	Wait time.Duration
}

// LimitsOf returns the limits of a contract.
func LimitsOf(c contract.Contract) Limits {
	return Limits{
		Customer:    c.Customer,
		Concurrency: c.Capacity.Concurrency,
		Rate:        c.Capacity.Rate,
		Burst:       c.Capacity.Burst,
		Queue:       c.Capacity.Queue,
		Wait:        time.Duration(c.Wait),
	}
}

// rateOf returns the part of the rate in proportion to a part of the burst.
func (l Limits) rateOf(burst int) float64 {
	if l.Burst == 0 {
		return 0
	}
	return l.Rate * float64(burst) / float64(l.Burst)
}
