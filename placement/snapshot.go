package placement

import (
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

// Config holds the facts of the platform that the planner does not observe.
type Config struct {
	// Store is what the weight store carries.
	Store StoreLimits
	// AdaptersInFlight bounds the adapter loads that run at once over all
	// upstreams.
	AdaptersInFlight int
}

// StoreLimits is what the weight store carries without slowing down.
type StoreLimits struct {
	// Width is the number of loads that run at once at full speed.
	Width int
	// Rate is the number of loads that may start a second.
	Rate float64
}

// Snapshot is the immutable input of one planning round.
type Snapshot struct {
	Leadership Leadership
	// Contracts are sorted by customer. Revision changes whenever they do.
	Contracts []contract.Contract
	Revision  uint64
	// Upstreams are sorted by ID.
	Upstreams []Upstream
	// Ledger is the applied ledger. The planner does not alter it.
	Ledger *Ledger
	// Pending are proposed changes whose outcome is not yet known.
	Pending []Change
	// Demand holds one row a node, model and adapter; the order is free.
	Demand []Demand
}

// Leadership is the standing of the decision point.
type Leadership struct {
	// Lease says that a quorum-confirmed lease covers the sending of orders.
	// Without it a plan holds no orders.
	Lease bool
	// Since is when this leadership began.
	Since Instant
	// LongestLease bounds how long an earlier leader could trust its lease
	// after this leadership began.
	LongestLease time.Duration
	// OrderDeadline bounds the time from an order's sending until it can no
	// longer reach an upstream.
	OrderDeadline time.Duration
}

// Upstream is what the directory holds about one upstream.
type Upstream struct {
	// Announcement is never altered after it was passed in.
	Announcement *directory.Announcement
	// Silent says that the announcement expired without a successor.
	Silent bool
	// Gone says that the incarnation is known to have ended, as when its VM
	// was reported as reclaimed.
	Gone bool
}

// Demand is what one node has for one model, or one adapter of it.
type Demand struct {
	Key
	// Adapter is the adapter's name; empty for the model itself.
	Adapter string
	// Node is the reporting entry node.
	Node string
	// Waiting and Running count requests at this moment.
	Waiting int
	Running int
	// Remaining is the time left to the earliest deadline of the waiting
	// requests, at the instant of the planning round.
	Remaining time.Duration
	// Arrivals counts the requests that arrived since the row was last passed
	// to the planner.
	Arrivals int
}
