// Package routing chooses the upstream of a request from load reports that
// lag, cache events that come late and with gaps, and what this node sent
// itself; it also decides on retries and circuit breaking. Time and randomness
// are arguments; the package has no clock, goroutine or I/O.
package routing

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Priority is a request's rank at its upstream.
type Priority int

// Priorities.
const (
	// Interactive requests have a caller who waits.
	Interactive Priority = iota
	// Batch requests leave room for interactive ones.
	Batch
	// Urgent requests pass those that wait inside the upstream.
	Urgent
)

// Query is what a request needs of its upstream.
type Query struct {
	// Customer is the customer whose request it is.
	Customer string
	// Model is the model, or empty for a plain service.
	Model string
	// Service is the plain service, or empty for a model.
	Service string
	// Adapter is the adapter, or empty.
	Adapter string
	// Prefix are the block hashes of the prompt.
	Prefix []BlockHash
	// Priority is the request's rank.
	Priority Priority
	// Domain is the failure domain of this node.
	Domain string
	// Exclude are upstreams that have been tried already.
	Exclude []string
}

// Choice is the upstream chosen for a request.
type Choice struct {
	// Upstream is the upstream's ID.
	Upstream string
	// Incarnation is the upstream's incarnation.
	Incarnation uint64
	// Addr takes the request.
	Addr string
	// Grant is the grant of the chosen replica, or 0 for a plain service.
	Grant uint64
	// HasAdapter says that the adapter is loaded there.
	HasAdapter bool
}

// Result says whether an upstream was chosen, and if not, why.
type Result int

// Results, the most hopeful cause last.
const (
	// Chosen means that an upstream was chosen.
	Chosen Result = iota
	// NoReplica means that no upstream serves the target.
	NoReplica
	// NotTaking means that all upstreams of the target are leaving or silent.
	NotTaking
	// Excluded means that all others have been tried.
	Excluded
	// Broken means that the circuit breakers of all others are open.
	Broken
	// Overloaded means that all others have as much work as they may.
	Overloaded
)

// String returns the result's name.
func (r Result) String() string {
	names := [...]string{
		"chosen", "no replica", "not taking", "excluded", "broken", "overloaded",
	}
	return names[r]
}

// Costs weigh the candidates of a request. The one with the least expected
// time to the first token is chosen.
type Costs struct {
	// Service is the mean time that a request takes.
	Service time.Duration
	// Block is the time to compute one prompt block that is not cached.
	Block time.Duration
	// Adapter is the time to load an adapter.
	Adapter time.Duration
	// Crossing is the time lost by leaving the failure domain.
	Crossing time.Duration
}

// Config configures a Selector. Zero fields take their defaults.
type Config struct {
	// Costs weigh the candidates.
	Costs Costs
	// Sample is how many candidates are drawn by lot and compared, besides the
	// ones that the prompt or the adapter point to.
	Sample int
	// Overload is how many requests for each slot an upstream may have.
	Overload float64
	// Breaker configures the circuit breakers.
	Breaker BreakerConfig
	// PrefixBlocks bounds the cached blocks known for each upstream.
	PrefixBlocks int
	// PrefixHalfLife is the age at which a cache fact counts half.
	PrefixHalfLife time.Duration
}

// Defaults of Config.
const (
	DefaultSample         = 2
	DefaultOverload       = 2.0
	DefaultPrefixBlocks   = 1024
	DefaultPrefixHalfLife = time.Minute
)

// DefaultCosts are for engines with answers of about a second.
var DefaultCosts = Costs{
	Service:  time.Second,
	Block:    10 * time.Millisecond,
	Adapter:  15 * time.Millisecond,
	Crossing: time.Millisecond,
}

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	c.Costs = cmp.Or(c.Costs, DefaultCosts)
	c.Sample = cmp.Or(c.Sample, DefaultSample)
	c.Overload = cmp.Or(c.Overload, DefaultOverload)
	c.Breaker = cmp.Or(c.Breaker, DefaultBreaker)
	c.PrefixBlocks = cmp.Or(c.PrefixBlocks, DefaultPrefixBlocks)
	c.PrefixHalfLife = cmp.Or(c.PrefixHalfLife, DefaultPrefixHalfLife)
	return c
}

// Selector chooses upstreams. It is not safe for concurrent use.
type Selector struct {
	config    Config
	random    *rand.Rand
	upstreams map[string]*upstream
	models    map[string][]*upstream     // sorted by ID
	services  map[string][]*upstream     // sorted by ID
	adapters  map[adapterKey][]*upstream // that have it loaded, sorted by ID
	prefixes  *PrefixIndex
}

// NewSelector returns a Selector without upstreams, which draws from random.
func NewSelector(config Config, random *rand.Rand) *Selector {
	config = config.withDefaults()
	return &Selector{
		config:    config,
		random:    random,
		upstreams: map[string]*upstream{},
		models:    map[string][]*upstream{},
		services:  map[string][]*upstream{},
		adapters:  map[adapterKey][]*upstream{},
		prefixes:  NewPrefixIndex(config.PrefixBlocks, config.PrefixHalfLife),
	}
}

// Prefixes returns the index of cached prompt prefixes, which cache events are
// applied to.
func (s *Selector) Prefixes() *PrefixIndex {
	return s.prefixes
}
