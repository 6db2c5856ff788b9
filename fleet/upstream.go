package fleet

import (
	"slices"
	"time"
)

// Resident is a model that an upstream holds, with its adapters.
type Resident struct {
	Model string `json:"m"`
	// Version is the version of the weights.
	Version  int      `json:"v,omitempty"`
	Adapters []string `json:"a,omitempty"`
}

// Upstream is one incarnation of an upstream as it describes itself.
type Upstream struct {
	// ID names the upstream; a restart may keep it.
	ID string `json:"id"`
	// Born is when this incarnation started, in milliseconds since 1970 by its
	// own clock; zero where it does not say.
	Born int64 `json:"born,omitempty"`
	// Seq grows with each announcement of one incarnation.
	Seq     uint64 `json:"seq,omitempty"`
	Service string `json:"service"`
	// Addr is the IP address and port that takes requests.
	Addr string `json:"addr"`
	// Domain is the failure domain.
	Domain string `json:"domain,omitempty"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots,omitempty"`
	// Leaving says that it takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// EndsIn is how long a leaving upstream still exists; zero when it does not
	// say.
	EndsIn time.Duration `json:"endsIn,omitempty"`
	// Residents are the models that it holds.
	Residents []Resident `json:"residents,omitempty"`
	// InMemory and OnDisk are the models of which it has copies at hand.
	InMemory []string `json:"inMemory,omitempty"`
	OnDisk   []string `json:"onDisk,omitempty"`
	// Closing are the models, or MODEL/ADAPTER, that are about to be unloaded and
	// get no new calls. The planner sets it.
	Closing []string `json:"closing,omitempty"`
	// Gone marks an incarnation that has ended or said that it leaves.
	Gone bool `json:"gone,omitempty"`
	// Silent says that it counts as gone because it said nothing for long. Unlike
	// one that left, it comes back with its next announcement.
	Silent bool `json:"silent,omitempty"`
	// Revision is the registry's number of the latest change.
	Revision uint64 `json:"rev"`
}

// sameTo reports whether two descriptions mean the same to those who send
// requests and orders.
func (u *Upstream) sameTo(o *Upstream) bool {
	sameResidents := slices.EqualFunc(u.Residents, o.Residents, func(a, b Resident) bool {
		return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
	})
	return sameResidents && u.Born == o.Born && u.Service == o.Service && u.Addr == o.Addr &&
		u.Domain == o.Domain && u.Slots == o.Slots && u.Leaving == o.Leaving && u.Gone == o.Gone &&
		slices.Equal(u.Closing, o.Closing) && slices.Equal(u.InMemory, o.InMemory) && slices.Equal(u.OnDisk, o.OnDisk)
}

// Holds reports whether the upstream holds a model, and the adapter where one is
// named.
func (u *Upstream) Holds(model, adapter string) bool {
	for i := range u.Residents {
		if r := &u.Residents[i]; r.Model == model {
			return adapter == "" || slices.Contains(r.Adapters, adapter)
		}
	}
	return false
}

// Closes reports whether a model, or the adapter where one is named, is about to
// be unloaded.
func (u *Upstream) Closes(model, adapter string) bool {
	if len(u.Closing) == 0 {
		return false
	}
	return slices.Contains(u.Closing, model) ||
		adapter != "" && slices.Contains(u.Closing, model+"/"+adapter)
}
