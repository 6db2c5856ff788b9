// Package routing chooses the upstream of a request from load reports that
// lag, cache events that come late and with gaps, and what this node sent
// itself; it also decides on retries and circuit breaking. Time and randomness
// are arguments; the package has no clock, goroutine or I/O.
package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
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
	// Sample is how many candidates are looked at when there are more.
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
	DefaultSample         = 32
	DefaultOverload       = 2.0
	DefaultPrefixBlocks   = 4096
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
	models    map[string][]*upstream // sorted by ID
	services  map[string][]*upstream // sorted by ID
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
		prefixes:  NewPrefixIndex(config.PrefixBlocks, config.PrefixHalfLife),
	}
}

// Prefixes returns the index of cached prompt prefixes, which cache events are
// applied to.
func (s *Selector) Prefixes() *PrefixIndex {
	return s.prefixes
}

// Select chooses the upstream of a request. The caller notes with Sent that it
// sends the request there.
func (s *Selector) Select(q Query, now time.Duration) (Choice, Result) {
	candidates := s.candidates(q)
	if len(candidates) == 0 {
		return Choice{}, NoReplica
	}
	if len(candidates) > s.config.Sample {
		if best, _ := s.sample(candidates, q, now); best != nil {
			return best.choice(q), Chosen
		}
	}
	best, result := s.scan(candidates, q, now)
	if best == nil {
		return Choice{}, result
	}
	return best.choice(q), Chosen
}

// candidates returns the upstreams that serve the target.
func (s *Selector) candidates(q Query) []*upstream {
	if q.Service != "" {
		return s.services[q.Service]
	}
	return s.models[q.Model]
}

// scan returns the best candidate. Equal ones are chosen by lot, so that nodes
// with the same view do not all choose the same.
func (s *Selector) scan(candidates []*upstream, q Query, now time.Duration) (*upstream, Result) {
	best, least, ties := (*upstream)(nil), time.Duration(math.MaxInt64), 0
	result := NotTaking
	for _, u := range candidates {
		if r := s.usable(u, q, now); r != Chosen {
			result = max(result, r)
			continue
		}
		cost := s.cost(u, q, now)
		if cost == least {
			ties++
			if s.random.IntN(ties+1) == 0 {
				best = u
			}
		}
		if cost < least {
			best, least, ties = u, cost, 0
		}
	}
	return best, result
}

// sample returns the best of a few candidates drawn by lot.
func (s *Selector) sample(candidates []*upstream, q Query, now time.Duration) (*upstream, time.Duration) {
	var best *upstream
	least := time.Duration(math.MaxInt64)
	for range s.config.Sample {
		u := candidates[s.random.IntN(len(candidates))]
		if s.usable(u, q, now) != Chosen {
			continue
		}
		if cost := s.cost(u, q, now); cost < least {
			best, least = u, cost
		}
	}
	return best, least
}

// usable reports whether the upstream may be given the request, or why not.
func (s *Selector) usable(u *upstream, q Query, now time.Duration) Result {
	switch {
	case !u.takes:
		return NotTaking
	case slices.Contains(q.Exclude, u.id):
		return Excluded
	case !u.breaker.Allows(now):
		return Broken
	case s.overloaded(u, q):
		return Overloaded
	default:
		return Chosen
	}
}

// overloaded reports whether the upstream has as much work as it may. Batch
// requests leave it at its slots.
func (s *Selector) overloaded(u *upstream, q Query) bool {
	bound := s.config.Overload * float64(u.slots)
	if q.Priority == Batch {
		bound = float64(u.slots)
	}
	return float64(u.load()) >= bound
}

// cost is the expected time to the first token.
func (s *Selector) cost(u *upstream, q Query, now time.Duration) time.Duration {
	costs := s.config.Costs
	load := u.load()
	if q.Priority == Urgent {
		load = min(load, u.slots)
	}
	// A batch slows down as it fills, and what exceeds it waits.
	cost := time.Duration(float64(costs.Service) * float64(load) / float64(max(1, u.slots)))
	if u.domain != q.Domain {
		cost += costs.Crossing
	}
	if q.Adapter != "" && !u.hasAdapter(q.Model, q.Adapter) {
		cost += costs.Adapter
	}
	if len(q.Prefix) > 0 {
		missing := float64(len(q.Prefix)) - s.prefixes.Match(u.id, q.Prefix, now)
		cost += time.Duration(missing * float64(costs.Block))
	}
	return cost
}

// decay halves a weight each half-life.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
