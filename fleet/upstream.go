package fleet

import (
	"slices"
	"time"
)

// Resident is a model that an upstream holds, with its adapters.
type Resident struct {
	Model string `json:"m"`
	// Version is the version of the weights.
	Version int `json:"v,omitempty"`
	// Adapters lists the model's adapters that are loaded.
	Adapters []string `json:"a,omitempty"`
}

// Upstream describes one incarnation of an upstream. Most of it comes from the upstream's
// own announcements.
type Upstream struct {
	// ID identifies the upstream; it may keep its ID when it restarts.
	ID string `json:"id"`
	// Born is when this incarnation started, in milliseconds since 1970 by the
	// upstream's own clock; zero if it does not say.
	Born int64 `json:"born,omitempty"`
	// Seq grows with each announcement of an incarnation.
	Seq     uint64 `json:"seq,omitempty"`
	Service string `json:"service"`
	// Addr is the IP address and port that requests are sent to.
	Addr string `json:"addr"`
	// Domain is the failure domain.
	Domain string `json:"domain,omitempty"`
	// Software is the version of the upstream's software; empty if it does not say.
	Software string `json:"software,omitempty"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int `json:"slots,omitempty"`
	// Leaving is set when the upstream is about to end and takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// EndsIn is the time after which a leaving upstream ends, counted from its latest
	// announcement; zero if it does not say.
	EndsIn time.Duration `json:"endsIn,omitempty"`
	// Residents lists the models that the upstream holds.
	Residents []Resident `json:"residents,omitempty"`
	// InMemory and OnDisk list the models of which the upstream has a copy in host memory
	// or on disk, from which it can load them faster.
	InMemory []string `json:"inMemory,omitempty"`
	OnDisk   []string `json:"onDisk,omitempty"`
	// Closing lists the models (MODEL) and adapters (MODEL/ADAPTER) that are about to be
	// unloaded and get no new calls. The planner sets it.
	Closing []string `json:"closing,omitempty"`
	// RateLimit is the limit that the upstream named with its answers. The leader sets it.
	RateLimit RateLimit `json:"limit,omitzero"`
	// Gone is set when the incarnation has ended, has announced its departure, or has
	// fallen silent.
	Gone bool `json:"gone,omitempty"`
	// Silent is set when the upstream is gone because no announcement arrived for too
	// long. Unlike one that left, it returns with its next announcement.
	Silent bool `json:"silent,omitempty"`
	// Revision is the number of the upstream's latest change in the registry.
	Revision uint64 `json:"rev"`
}

// equivalent reports whether two descriptions are the same for the nodes that send
// requests and orders. It ignores Seq, EndsIn, Silent and Revision.
func (u *Upstream) equivalent(o *Upstream) bool {
	sameResidents := slices.EqualFunc(u.Residents, o.Residents, func(a, b Resident) bool {
		return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
	})
	return sameResidents && u.Born == o.Born && u.Service == o.Service && u.Addr == o.Addr &&
		u.Domain == o.Domain && u.Software == o.Software && u.Slots == o.Slots && u.RateLimit == o.RateLimit && u.Leaving == o.Leaving && u.Gone == o.Gone &&
		slices.Equal(u.Closing, o.Closing) && slices.Equal(u.InMemory, o.InMemory) && slices.Equal(u.OnDisk, o.OnDisk)
}

// Holds reports whether the upstream holds a model, and its adapter unless that is empty.
func (u *Upstream) Holds(model, adapter string) bool {
	for i := range u.Residents {
		if r := &u.Residents[i]; r.Model == model {
			return adapter == "" || slices.Contains(r.Adapters, adapter)
		}
	}
	return false
}

// IsClosing reports whether a model, or its adapter unless that is empty, is about to be
// unloaded.
func (u *Upstream) IsClosing(model, adapter string) bool {
	if len(u.Closing) == 0 {
		return false
	}
	return slices.Contains(u.Closing, model) ||
		adapter != "" && slices.Contains(u.Closing, model+"/"+adapter)
}

// Incarnation identifies an upstream from its start to its end.
type Incarnation struct {
	ID string `json:"id"`
	// Born is when the upstream started, in Unix milliseconds.
	Born int64 `json:"born"`
}
