package placement

import (
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

// Config holds the properties of the platform that the planner cannot observe.
type Config struct {
	// Store holds the limits of the weight store.
	Store StoreLimits
	// AdaptersInFlight bounds the adapter loads in progress over all upstreams.
	AdaptersInFlight int
}

// StoreLimits is the load that the weight store serves without slowing down.
type StoreLimits struct {
	// Width is the number of concurrent loads.
	Width int
	// Rate is the number of loads that may start per second.
	Rate float64
}

// Snapshot is the input of one planning round. The planner does not alter it.
type Snapshot struct {
	Leadership Leadership
	// Contracts are sorted by customer. Revision changes whenever they do.
	Contracts []contract.Contract
	Revision  uint64
	// Upstreams are sorted by ID.
	Upstreams []Upstream
	// Ledger is the applied ledger.
	Ledger *Ledger
	// Pending are the proposed changes whose outcome is not known yet.
	Pending []Change
	// Demand holds one row for each node, model and adapter, in any order.
	Demand []Demand
}

// Leadership describes the leader that the planner runs on.
type Leadership struct {
	// Lease reports whether a lease confirmed by a quorum covers the sending of orders.
	// Without it a plan holds no orders.
	Lease bool
	// Since is when this leadership began.
	Since Instant
	// LongestLease bounds how long after Since an earlier leader may still trust its lease.
	LongestLease time.Duration
	// OrderDeadline bounds the time from sending an order until it can no longer reach an
	// upstream.
	OrderDeadline time.Duration
}

// Upstream is the directory's view of one upstream.
type Upstream struct {
	// Announcement must not be altered after it was passed in.
	Announcement *directory.Announcement
	// Silent reports whether the announcement expired and no newer one arrived.
	Silent bool
	// Gone reports whether the incarnation is known to have ended, for example because its
	// VM was reported as reclaimed.
	Gone bool
}

// Demand is one entry node's demand for one model, or for one adapter of it.
type Demand struct {
	Key
	// Adapter is the adapter's name; empty for the model itself.
	Adapter string
	// Node is the reporting entry node.
	Node string
	// Waiting and Running are the present numbers of requests.
	Waiting int
	Running int
	// Remaining is the time from the instant of the planning round to the earliest deadline
	// of the waiting requests.
	Remaining time.Duration
	// Arrivals is the number of requests that arrived since this row was last passed to the
	// planner.
	Arrivals int
}
