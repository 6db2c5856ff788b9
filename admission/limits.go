// Package admission decides which request runs, which waits and which is
// refused. A Throttler on each node holds leased shares of each contract's
// capacity; an Allocator on the leader hands the shares out, so that their sum
// never exceeds the contract, also while nodes are cut off. Time is an
// argument, a monotonic duration; the package has no clock, goroutine or I/O.
package admission

import (
	"time"

	"github.com/agateslip/agateslip/contract"
)

// Limits are what one contract grants over all nodes together.
type Limits struct {
	// Customer is the contract's customer.
	Customer string
	// Concurrency bounds the requests running at once.
	Concurrency int
	// Rate bounds the requests started a second.
	Rate float64
	// Burst bounds the requests started at one instant.
	Burst int
	// Queue bounds the requests waiting at once.
	Queue int
	// Wait bounds the time from arrival to start or refusal.
	Wait time.Duration
}

// LimitsOf derives the limits from a contract.
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

// rateOf returns the part of the rate that goes with a part of the burst.
func (l Limits) rateOf(burst int) float64 {
	if l.Burst == 0 {
		return 0
	}
	return l.Rate * float64(burst) / float64(l.Burst)
}
