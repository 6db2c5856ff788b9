package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/placement"
)

// gib is the number of bytes in one GiB.
const gib = int64(1) << 30

// entryNodes is the number of entry nodes at which requests arrive.
const entryNodes = 9

// Scenario describes the platform and the contracts of one deployment.
type Scenario struct {
	Name string
	// Engines is the number of model engines, spread over three failure domains.
	Engines int
	// Memory is the accelerator memory of one engine in bytes.
	Memory int64
	// DiskCache and MemoryCache bound the checkpoint copies of one engine in bytes.
	DiskCache   int64
	MemoryCache int64
	Store       placement.StoreLimits
	// FetchSpeed is the store's speed for one load at full speed in bytes per second.
	FetchSpeed float64
	// AdapterLoadTime holds the minimum and the maximum duration of an adapter load.
	AdapterLoadTime [2]time.Duration
	Contracts       []contract.Contract
	// Models describe the models beyond their contracts.
	Models []ModelSpec
}

// ModelSpec describes a model of a scenario.
type ModelSpec struct {
	placement.Key
	// Size is the checkpoint size and Memory the accelerator memory of a replica, in
	// bytes.
	Size   int64
	Memory int64
	// Slots is the number of concurrent requests of a replica, Replicas the maximum
	// number of replicas and Wait the time within which the contract promises the start
	// of an answer.
	Slots    int
	Replicas int
	Wait     time.Duration
	Adapters []string
	// SessionsPerDay is the mean number of sessions on an ordinary day.
	SessionsPerDay float64
	// NightlyAt is the time of day of the model's nightly job; zero if it has none.
	NightlyAt time.Duration
}

// Tonwerk returns the scenario of Tonwerk Süd Mastering: short waits and work mostly in
// office hours.
func Tonwerk() Scenario {
	s := Scenario{
		Name: "tonwerk", Engines: 9, Memory: 24 * gib, DiskCache: 100 * gib, MemoryCache: 32 * gib,
		Store: placement.StoreLimits{Width: 4, Rate: 4.5}, FetchSpeed: 4.5 * float64(gib),
		AdapterLoadTime: [2]time.Duration{5 * time.Millisecond, 15 * time.Millisecond},
	}
	waits := []time.Duration{8 * time.Second, 10 * time.Second, 15 * time.Second, 20 * time.Second, 30 * time.Second}
	s.addModels(50, 40, 0.2, 40, waits)
	return s
}

// Pecan returns the scenario of Pecan Ledger: longer waits and many nightly jobs.
func Pecan() Scenario {
	s := Scenario{
		Name: "pecan", Engines: 18, Memory: 24 * gib, DiskCache: 100 * gib, MemoryCache: 32 * gib,
		Store: placement.StoreLimits{Width: 4, Rate: 7.5}, FetchSpeed: 7.5 * float64(gib),
		AdapterLoadTime: [2]time.Duration{7 * time.Millisecond, 13 * time.Millisecond},
	}
	waits := []time.Duration{15 * time.Second, 20 * time.Second, 30 * time.Second, 30 * time.Second, time.Minute, time.Minute}
	s.addModels(105, 100, 0.7, 30, waits)
	return s
}

// addModels adds contracts with the given waits and draws the models. Popularity follows
// Zipf's law; checkpoint sizes are lognormal with a median of 5 GiB before they are
// limited. The draw does not depend on the seed of a run.
func (s *Scenario) addModels(models, adapters int, nightlyShare float64, topSessions float64, waits []time.Duration) {
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
		size = min(max(size, 2*gib), 16*gib, s.maxCheckpointSize(time.Duration(c.Wait)))
		spec := ModelSpec{
			Key:  placement.Key{Customer: c.Customer, Model: fmt.Sprintf("model-%03d", i)},
			Size: size, Memory: size + size/4, Slots: 8, Replicas: 1, Wait: time.Duration(c.Wait),
			SessionsPerDay: topSessions / math.Pow(float64(i+1), 0.9),
		}
		if i < models/10 {
			spec.Replicas = 2
		}
		if rng.Float64() < nightlyShare {
			spec.NightlyAt = 2*time.Hour + time.Duration(rng.Float64()*float64(10*time.Minute))
		}
		for a := i; a < adapters; a += models {
			spec.Adapters = append(spec.Adapters, fmt.Sprintf("adapter-%03d", a))
		}
		s.Models = append(s.Models, spec)
		c.Models = append(c.Models, contract.Model{
			Name: spec.Model, Memory: contract.Bytes(spec.Memory), Replicas: spec.Replicas, Slots: spec.Slots, Adapters: spec.Adapters,
		})
	}
}

// minWaitRatio is the minimum ratio of a contract's wait to the nominal time of a load
// from the store in the scenarios' contracts.
const minWaitRatio = 2.2

// maxCheckpointSize returns the largest checkpoint in bytes that keeps minWaitRatio for a
// wait.
func (s *Scenario) maxCheckpointSize(wait time.Duration) int64 {
	transfer := wait.Seconds()/minWaitRatio - setUpBaseTime.Seconds()
	return int64(transfer / (1/s.FetchSpeed + 1/setUpSpeed))
}
