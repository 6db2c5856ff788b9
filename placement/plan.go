package placement

import (
	"time"

	"github.com/agateslip/agateslip/directory"
)

// Plan is the result of one planning round.
type Plan struct {
	// Changes are to be proposed to the replicated log in this order. The caller passes each
	// back in Snapshot.Pending until it is applied or refused.
	Changes []Change
	// Orders are to be sent now. Each is idempotent and may be lost.
	Orders []Order
	// Forecasts hold one row for each model under contract, sorted by key.
	Forecasts []Forecast
	// Next is the latest instant for the next planning round, even without new input.
	Next Instant
}

// OrderKind is the kind of an order.
type OrderKind uint8

// Kinds of order.
const (
	// LoadModel loads the replica of a grant.
	LoadModel OrderKind = iota + 1
	// UnloadModel unloads the replica after its running requests finished.
	UnloadModel
	// LoadAdapter loads an adapter onto a ready replica.
	LoadAdapter
)

// Order is an instruction to one upstream.
type Order struct {
	Kind        OrderKind
	Upstream    string
	Incarnation uint64
	// Grant is the ID of the replica's grant.
	Grant uint64
	// Fence is the fencing number, Ledger.Last at the time of sending.
	Fence uint64
	Key
	// Adapter is the adapter's name, for LoadAdapter only.
	Adapter string
	// Tier is, for LoadModel, the tier to read the checkpoint from.
	Tier directory.Tier
	// Memory is, for LoadModel, the accelerator memory in bytes that the replica may hold.
	Memory int64
}

// Readiness is the state of a model from the view of a new request.
type Readiness uint8

// Readiness values.
const (
	// Ready means that a replica serves requests.
	Ready Readiness = iota
	// Loading means that a load is granted, queued or in progress.
	Loading
	// Cold means that no load is requested and one could start.
	Cold
	// Blocked means that no load can start now for lack of memory or because of a replica
	// limit.
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

// Forecast tells admission when a model can serve. A request that can wait less than ReadyIn
// is refused on arrival, with RetryAfter.
type Forecast struct {
	Key
	Readiness Readiness
	// ReadyIn is the time until a replica serves a request that arrives now, computed with
	// the load time that few loads at the current level of load times exceed.
	ReadyIn time.Duration
	// RetryAfter is the time after which a refused caller may expect to be served.
	RetryAfter time.Duration
}
