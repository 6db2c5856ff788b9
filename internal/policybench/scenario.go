package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/placement"
)

const gib = int64(1) << 30

// nodes is the number of entry nodes that requests arrive at.
const nodes = 9

// Scenario is the platform and the contracts of one user.
type Scenario struct {
	Name string
	// Runners is the number of model engines, spread over three domains.
	Runners int
	// Memory is the accelerator memory of one runner in bytes.
	Memory int64
	// DiskCache and MemoryCache bound a runner's checkpoint copies in bytes.
	DiskCache   int64
	MemoryCache int64
	Store       placement.StoreLimits
	// Fetch is the store's full speed for one load in bytes a second.
	Fetch float64
	// AdapterTime bounds the time of one adapter load.
	AdapterTime [2]time.Duration
	Contracts   []contract.Contract
	// Models hold what is known of each model besides its contract.
	Models []ModelFacts
}

// ModelFacts is one model of a scenario.
type ModelFacts struct {
	placement.Key
	// Size is the checkpoint's size in bytes.
	Size     int64
	Memory   int64
	Slots    int
	Replicas int
	Wait     time.Duration
	Adapters []string
	// Sessions is the mean number of sessions on a working day.
	Sessions float64
	// Nightly is the time of day of the model's nightly job; zero if none.
	Nightly time.Duration
}

// Tonwerk returns the scenario of Tonwerk Süd Mastering: short waits, work in
// office hours.
func Tonwerk() Scenario {
	s := Scenario{
		Name: "tonwerk", Runners: 9, Memory: 24 * gib, DiskCache: 100 * gib, MemoryCache: 32 * gib,
		Store: placement.StoreLimits{Width: 4, Rate: 4.5}, Fetch: 4.5 * float64(gib),
		AdapterTime: [2]time.Duration{5 * time.Millisecond, 15 * time.Millisecond},
	}
	waits := []time.Duration{8 * time.Second, 10 * time.Second, 15 * time.Second, 20 * time.Second, 30 * time.Second}
	s.addModels(50, 40, 0.2, 40, waits)
	return s
}

// Pecan returns the scenario of Pecan Ledger: longer waits, many nightly jobs.
func Pecan() Scenario {
	s := Scenario{
		Name: "pecan", Runners: 18, Memory: 24 * gib, DiskCache: 100 * gib, MemoryCache: 32 * gib,
		Store: placement.StoreLimits{Width: 4, Rate: 7.5}, Fetch: 7.5 * float64(gib),
		AdapterTime: [2]time.Duration{7 * time.Millisecond, 13 * time.Millisecond},
	}
	waits := []time.Duration{15 * time.Second, 20 * time.Second, 30 * time.Second, 30 * time.Second, time.Minute, time.Minute}
	s.addModels(105, 100, 0.7, 30, waits)
	return s
}

// addModels draws the models. Popularity follows Zipf's law; sizes are
// lognormal with a median of 5 GiB. The draw is the same in every run.
func (s *Scenario) addModels(models, adapters int, nightly float64, topSessions float64, waits []time.Duration) {
	rng := rand.New(rand.NewPCG(uint64(models), 7))
	for i, wait := range waits {
		s.Contracts = append(s.Contracts, contract.Contract{
			Customer: fmt.Sprintf("customer-%d", i+1), Wait: contract.Duration(wait),
			Capacity: contract.Capacity{Replicas: models, Concurrency: 200, Rate: 5, Burst: 100, Queue: 500},
		})
	}
	for i := range models {
		size := int64(5 * float64(gib) * math.Exp(0.6*rng.NormFloat64()))
		c := &s.Contracts[i%len(waits)]
		size = min(max(size, 2*gib), 16*gib, s.largestFor(time.Duration(c.Wait)))
		f := ModelFacts{
			Key:  placement.Key{Customer: c.Customer, Model: fmt.Sprintf("model-%03d", i)},
			Size: size, Memory: size + size/4, Slots: 8, Replicas: 1, Wait: time.Duration(c.Wait),
			Sessions: topSessions / math.Pow(float64(i+1), 0.9),
		}
		if i < models/10 {
			f.Replicas = 2
		}
		if rng.Float64() < nightly {
			f.Nightly = 2*time.Hour + time.Duration(rng.Float64()*float64(10*time.Minute))
		}
		for a := i; a < adapters; a += models {
			f.Adapters = append(f.Adapters, fmt.Sprintf("adapter-%03d", a))
		}
		s.Models = append(s.Models, f)
		c.Models = append(c.Models, contract.Model{
			Name: f.Model, Memory: contract.Bytes(f.Memory), Replicas: f.Replicas, Slots: f.Slots, Adapters: f.Adapters,
		})
	}
}

// waitMargin is the least ratio of a contract's wait to the nominal time of a
// load from the store that the scenarios' contracts were agreed with.
const waitMargin = 2.2

// largestFor returns the largest checkpoint that a wait was agreed for.
func (s *Scenario) largestFor(wait time.Duration) int64 {
	transfer := wait.Seconds()/waitMargin - initTime.Seconds()
	return int64(transfer / (1/s.Fetch + 1/initSpeed))
}
