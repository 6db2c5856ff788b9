package policybench

import "time"

// warmup is the time at the start of a run that is not measured, in which
// caches fill and patterns are learned.
const warmup = 2 * dayLength

// Policies are the names of the policies that Run compares.
var Policies = []string{"contract", "on-demand", "keep-alive", "lru"}

// keepAlive is the idle time of the fixed keep-alive baseline.
const keepAlive = 10 * time.Minute

// Result is the comparison for one scenario.
type Result struct {
	Scenario string     `json:"scenario"`
	Seed     uint64     `json:"seed"`
	Days     int        `json:"days"`
	Policies []*Metrics `json:"policies"`
}

// Run drives the same calls through each of the named policies.
func Run(s Scenario, options Options, names []string) Result {
	calls := Workload(&s, options.Days, options.Seed)
	result := Result{Scenario: s.Name, Seed: options.Seed, Days: options.Days}
	for _, name := range names {
		result.Policies = append(result.Policies, RunPolicy(&s, options, calls, name))
	}
	return result
}

// RunPolicy drives calls through one policy.
func RunPolicy(s *Scenario, options Options, calls []Call, name string) *Metrics {
	w := newWorld(s, options)
	m := w.run(calls, newPolicy(w, name))
	m.Policy = name
	return m
}

func newPolicy(w *world, name string) policy {
	switch name {
	case "on-demand":
		return &baseline{world: w, perRouter: true}
	case "keep-alive":
		return &baseline{world: w, keep: keepAlive}
	case "lru":
		return &baseline{world: w, keep: -1}
	default:
		return newPlanned(w)
	}
}

// WarmupFor returns the part of a horizon that is not measured.
func WarmupFor(days int) time.Duration {
	return min(warmup, time.Duration(days)*dayLength/2)
}
