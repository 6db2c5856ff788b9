package placement

import (
	"time"

	"github.com/agateslip/agateslip/directory"
)

// Plan is the outcome of one planning round.
type Plan struct {
	// Changes are to be proposed to the replicated log in this order. Until
	// each is applied or refused it is passed back in Snapshot.Pending.
	Changes []Change
	// Orders are to be sent now. Each is idempotent and may be lost.
	Orders []Order
	// Forecasts hold one row for each model under contract, sorted by key.
	Forecasts []Forecast
	// Next is the latest instant at which to plan again without new input.
	Next Instant
}

// OrderKind says what an upstream is told to do.
type OrderKind uint8

// Kinds of order.
const (
	// LoadModel loads the replica of a grant.
	LoadModel OrderKind = iota + 1
	// UnloadModel lets running requests finish and unloads the replica.
	UnloadModel
	// LoadAdapter loads an adapter onto a ready replica.
	LoadAdapter
)

// Order is one instruction to one upstream.
type Order struct {
	Kind        OrderKind
	Upstream    string
	Incarnation uint64
	// Grant identifies the replica.
	Grant uint64
	// Fence is the fencing number.
	Fence uint64
	Key
	// Adapter is set for LoadAdapter.
	Adapter string
	// Tier is, for LoadModel, the tier to read the checkpoint from.
	Tier directory.Tier
	// Memory is, for LoadModel, the memory in bytes the replica may hold.
	Memory int64
}

// Readiness says how soon a model can serve.
type Readiness uint8

// Readiness values.
const (
	// Ready means that a replica serves.
	Ready Readiness = iota
	// Loading means that a load is granted or runs.
	Loading
	// Cold means that a load can be started.
	Cold
	// Blocked means that no load can be started now, as no memory or replica
	// limit is free.
	Blocked
)

// String returns the readiness in lower case.
func (r Readiness) String() string {
	switch r {
	case Ready:
		return "ready"
	case Loading:
		return "loading"
	case Cold:
		return "cold"
	default:
		return "blocked"
	}
}

// Forecast tells admission when a model can serve. A request whose remaining
// wait is below ReadyIn is refused on arrival with RetryAfter.
type Forecast struct {
	Key
	Readiness Readiness
	// ReadyIn bounds, at the tail of the load times now seen, the time until a
	// replica serves a request that arrives now.
	ReadyIn time.Duration
	// RetryAfter is when a refused caller may expect to be served.
	RetryAfter time.Duration
}
