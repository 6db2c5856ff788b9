package routes

import "time"

// Kind says what may be done with a call whose outcome is unknown.
type Kind uint8

// Kinds of call.
const (
	// Repeatable calls may run more than once.
	Repeatable Kind = iota + 1
	// RunOnce calls run at most once for each attempt of a caller.
	RunOnce
	// Stream calls answer with a series of events and run at most once, unless
	// their route is resumable.
	Stream
)

// Configuration is everything that operators decide, as one version.
type Configuration struct {
	// Version orders configurations; the highest accepted one is in force.
	Version uint64
	// Routes are in the operators' order, which does not matter.
	Routes []Route
	// Services are the groups of upstreams that routes name.
	Services []Service
	// Limits bound what a caller may send.
	Limits Limits
}

// Limits bound callers' connections.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request; zero means no bound is stated.
	HeaderBytes, BodyBytes int64
	// HeaderTime is how long a caller may take to send a header.
	HeaderTime time.Duration
	// IdleTime is how long a caller may keep an idle connection.
	IdleTime time.Duration
}

// Backend is one service of a route with its share of the calls.
type Backend struct {
	Service string
	// Weight is relative to the route's other backends.
	Weight float64
}

// Route sends the calls of a host below a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer, or a stream's first event, is
	// on time.
	Target time.Duration
	// StartPatience is how long callers wait for the first event of a stream; zero
	// where they wait for as long as the whole answer may take.
	StartPatience time.Duration
	// PauseTarget is the longest pause between two events of a stream that is on
	// time; zero where the route states none.
	PauseTarget time.Duration
	// Priority is the rank of the route's calls; zero is the most urgent.
	Priority int
	// Attempts is how many upstreams one call may run on.
	Attempts int
	// Affinity asks for upstreams that hold the prompt's cached prefix.
	Affinity bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
}

// MayRepeat reports whether a call may be sent again although an earlier
// attempt may have run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service is a group of upstreams that answer the same calls.
type Service struct {
	Name string
	// HealthPath is the path of an upstream's health check.
	HealthPath string
	// Connections is the most that one upstream accepts from all callers.
	Connections int
	// Engine is set for services whose upstreams run models.
	Engine *Engine
}

// Engine describes the model engines of one service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the memory for running requests and cached prefixes.
	CacheTokens int
	// WeightsMB is the memory for weights and adapters.
	WeightsMB float64
	// AdapterPlaces is the number of adapters that an engine holds at once.
	AdapterPlaces int
	// StoreLoadsPerSecond is the rate of loads that the weight store allows over
	// all engines of the service.
	StoreLoadsPerSecond float64
	// HostMB and DiskMB are the room for copies of weights.
	HostMB, DiskMB float64
	Models         []Model
}

// Model is one model that the engines of a service can hold.
type Model struct {
	Name string
	// SizeMB is the size of its weights.
	SizeMB float64
	// StoreLoad, DiskLoad and MemoryLoad are the times of a load from the weight
	// store, from the engine's disk and from its host memory.
	StoreLoad, DiskLoad, MemoryLoad time.Duration
	// Adapters is the number of adapters.
	Adapters int
	// AdapterMB is the size of one adapter.
	AdapterMB float64
}

// Model finds a model by name; nil when the engine has no such model.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}
