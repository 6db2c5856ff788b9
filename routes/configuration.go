package routes

import "time"

// Kind determines whether a call whose outcome is unknown may be retried.
type Kind uint8

// Kinds of call.
const (
	// Repeatable calls may run more than once.
	Repeatable Kind = iota + 1
	// RunOnce calls run at most once each time a caller sends them.
	RunOnce
	// Stream calls are answered with a stream of events. They run at most once, unless
	// their route is resumable.
	Stream
)

// String returns the kind in words.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case RunOnce:
		return "run once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Configuration is one version of everything that operators configure.
type Configuration struct {
	// Version orders configurations. The highest accepted version is active.
	Version uint64
	// Routes are in the order in which operators wrote them. The order has no effect.
	Routes []Route
	// Services are the groups of upstreams that routes refer to by name.
	Services []Service
	// Limits bound the requests and connections of callers.
	Limits Limits
	// Keyed is set if calls need the key of a tenant, except on public routes. Without it, Tenants is empty.
	Keyed   bool
	Tenants []Tenant
}

// LongestStream returns the longest time that a caller waits for a stream; zero without routes for any.
func (c *Configuration) LongestStream() time.Duration {
	longest := time.Duration(0)
	for i := range c.Routes {
		if c.Routes[i].Kind == Stream {
			longest = max(longest, c.Routes[i].Timeout)
		}
	}
	return longest
}

// Limits bound the requests and connections of callers. Entry nodes enforce BodyBytes
// only; callers are expected to keep to the others.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request. Zero means that the
	// configuration sets no bound.
	HeaderBytes, BodyBytes int64
	// HeaderTime is the time limit for receiving a request header.
	HeaderTime time.Duration
	// IdleTime is how long an idle connection of a caller is kept open.
	IdleTime time.Duration
}

// Backend is a service of a route with its share of the calls.
type Backend struct {
	Service string
	// Weight is the backend's share of the calls relative to the route's other backends.
	Weight float64
}

// Route maps the calls for a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// Target is the latency target: an answer, or the first event of a stream, within
	// this time counts as on time.
	Target time.Duration
	// StartPatience is how long callers wait for the first event of a stream. Zero means
	// that they wait for up to Timeout.
	StartPatience time.Duration
	// PauseTarget is the longest pause between two events of a stream that still counts
	// as on time. Zero means that the route sets no target.
	PauseTarget time.Duration
	// Priority is the priority of the route's calls. Zero is the most urgent, higher
	// numbers are less urgent.
	Priority int
	// Attempts is the maximum number of upstreams that one call may be run on.
	Attempts int
	// Affinity makes calls prefer upstreams that hold the cached prefix of their prompt.
	Affinity bool
	// Resumable reports whether a broken stream may be resumed on another upstream after
	// its last event.
	Resumable bool
	// Public routes take calls without a key.
	Public bool
}

// MayRepeat reports whether a call may be sent again although an earlier attempt may have
// run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service is a group of upstreams that answer the same calls.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// Connections is the maximum number of connections that one upstream accepts from all
	// entry nodes together.
	Connections int
	// Engine describes the model engines of the service. It is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of one service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity for running requests and cached prefixes, in tokens.
	CacheTokens int
	// WeightsMB is the engine's memory for weights and adapters, in megabytes.
	WeightsMB float64
	// AdapterPlaces is the maximum number of adapters that an engine holds at once.
	AdapterPlaces int
	// StoreLoadsPerSecond is the rate of loads that the weight store allows for all
	// engines of the service together.
	StoreLoadsPerSecond float64
	// HostMB and DiskMB are the capacities for copies of weights in host memory and on
	// disk, in megabytes.
	HostMB, DiskMB float64
	Models         []Model
}

// Model is a model that the engines of a service can load.
type Model struct {
	Name string
	// SizeMB is the size of the model's weights, in megabytes.
	SizeMB float64
	// StoreLoad, DiskLoad and MemoryLoad are the durations of a load from the weight
	// store, from the engine's disk and from its host memory.
	StoreLoad, DiskLoad, MemoryLoad time.Duration
	// Adapters is the number of adapters that exist for the model.
	Adapters int
	// AdapterMB is the size of one adapter, in megabytes.
	AdapterMB float64
}

// Model returns the model with the given name, or nil if the engine has none.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}
