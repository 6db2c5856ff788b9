// Package routing chooses the upstream of a request. It uses load reports that lag, cache
// events that arrive late and with gaps, and the requests that this node itself has sent.
// It also decides on retries and circuit breaking. Time and randomness are arguments; the
// package has no clock, goroutine or I/O.
package routing

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Priority is the priority of a request at its upstream.
type Priority int

// Priority values.
const (
	// Interactive requests have a caller who waits for the answer.
	Interactive Priority = iota
	// Batch requests are sent only to upstreams with a free slot.
	Batch
	// Urgent requests overtake those that wait in the upstream's queue.
	Urgent
)

// Query describes what a request needs from its upstream.
type Query struct {
	// Customer is the ID of the customer who sent the request.
	Customer string
	// Model is the name of the model; empty for a plain service.
	Model string
	// Service is the name of the plain service; empty for a model.
	Service string
	// Adapter is the name of the model's adapter; empty for none.
	Adapter string
	// Prefix holds the block hashes of the prompt, as HashPrompt returns them.
	Prefix []BlockHash
	// Priority is the request's priority.
	Priority Priority
	// Domain is the failure domain of this node.
	Domain string
	// Software is the version of its software that the upstream must have, because the request
	// goes on with a stream; nil for any.
	Software *string
	// Exclude lists the IDs of upstreams that have been tried already.
	Exclude []string
}

// Choice is the upstream chosen for a request.
type Choice struct {
	// Upstream is the upstream's ID.
	Upstream string
	// Incarnation is the upstream's incarnation.
	Incarnation uint64
	// Addr is the address that the request is sent to.
	Addr string
	// Software is the version of the upstream's software.
	Software string
	// Grant is the grant of the chosen replica; zero for a plain service.
	Grant uint64
	// HasAdapter is set when the query's adapter is loaded there.
	HasAdapter bool
}

// Result is Chosen, or the reason why no upstream was chosen.
type Result int

// The results. When candidates are ineligible for different reasons, the one listed last
// here is returned, as the likeliest to pass soon.
const (
	// Chosen means that an upstream was chosen.
	Chosen Result = iota
	// NoReplica means that no upstream serves the model or service.
	NoReplica
	// NotTaking means that all upstreams of the model or service take no new work: they
	// are leaving or silent.
	NotTaking
	// OtherSoftware means that no upstream has the version of the software that the request needs.
	OtherSoftware
	// Excluded means that all others have been tried already.
	Excluded
	// Broken means that the circuit breakers of all others are open.
	Broken
	// Overloaded means that all others have reached their maximum load.
	Overloaded
)

// String returns the result's name.
func (r Result) String() string {
	names := [...]string{
		"chosen", "no replica", "not taking", "other software", "excluded", "broken", "overloaded",
	}
	return names[r]
}

// Costs are the times from which the expected time to the first token is computed. The
// candidate where it is shortest is chosen.
type Costs struct {
	// ServiceTime is the mean time that a request runs.
	ServiceTime time.Duration
	// BlockTime is the time to compute one prompt block that is not cached.
	BlockTime time.Duration
	// AdapterLoadTime is the time to load an adapter.
	AdapterLoadTime time.Duration
	// CrossDomainTime is the time added by an upstream in another failure domain.
	CrossDomainTime time.Duration
}

// Config configures a Selector. Fields that are zero get their defaults.
type Config struct {
	// Costs are the times by which candidates are compared.
	Costs Costs
	// SampleSize is the number of candidates that are drawn at random and compared,
	// besides those chosen by the prompt or the adapter.
	SampleSize int
	// MaxRequestsPerSlot is the load, in requests per slot, at which an upstream counts
	// as overloaded.
	MaxRequestsPerSlot float64
	// Breaker configures the circuit breakers.
	Breaker BreakerConfig
	// PrefixBlocks is the largest number of cached blocks kept for each upstream.
	PrefixBlocks int
	// PrefixHalfLife is the age at which a cached block counts half.
	PrefixHalfLife time.Duration
}

// Defaults of Config.
const (
	DefaultSampleSize         = 2
	DefaultMaxRequestsPerSlot = 2.0
	DefaultPrefixBlocks       = 1024
	DefaultPrefixHalfLife     = time.Minute
)

// DefaultCosts are the costs of engines whose answers take about a second.
var DefaultCosts = Costs{
	ServiceTime:     time.Second,
	BlockTime:       10 * time.Millisecond,
	AdapterLoadTime: 15 * time.Millisecond,
	CrossDomainTime: time.Millisecond,
}

// withDefaults returns the configuration with its zero fields set to the defaults.
func (c Config) withDefaults() Config {
	c.Costs = cmp.Or(c.Costs, DefaultCosts)
	c.SampleSize = cmp.Or(c.SampleSize, DefaultSampleSize)
	c.MaxRequestsPerSlot = cmp.Or(c.MaxRequestsPerSlot, DefaultMaxRequestsPerSlot)
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
	adapters  map[adapterKey][]*upstream // those that have it loaded, sorted by ID
	prefixes  *PrefixIndex
}

// NewSelector returns a Selector without upstreams. random is its source of randomness.
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

// Prefixes returns the index of cached prompt prefixes. The caller applies cache events to
// it.
func (s *Selector) Prefixes() *PrefixIndex {
	return s.prefixes
}
