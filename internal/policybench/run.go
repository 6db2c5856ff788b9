package policybench

import "time"

// warmup is the time at the start of a run that the metrics exclude. During it, caches fill
// and the planner learns the models' usage patterns.
const warmup = 2 * dayLength

// Policies are the names of the available policies.
var Policies = []string{"contract", "on-demand", "keep-alive", "lru"}

// keepAliveTimeout is the idle timeout of the keep-alive baseline.
const keepAliveTimeout = 10 * time.Minute

// Result holds the results of all policies for one scenario.
type Result struct {
	Scenario string     `json:"scenario"`
	Seed     uint64     `json:"seed"`
	Days     int        `json:"days"`
	Policies []*Metrics `json:"policies"`
}

// Run runs the same calls through each of the named policies.
func Run(s Scenario, options Options, names []string) Result {
	calls := Workload(&s, options.Days, options.Seed)
	result := Result{Scenario: s.Name, Seed: options.Seed, Days: options.Days}
	for _, name := range names {
		result.Policies = append(result.Policies, RunPolicy(&s, options, calls, name))
	}
	return result
}

// RunPolicy runs calls through the named policy.
func RunPolicy(s *Scenario, options Options, calls []Call, name string) *Metrics {
	w := newWorld(s, options)
	m := w.run(calls, newPolicy(w, name))
	m.Policy = name
	return m
}

// newPolicy returns the named policy. Any name that is not a baseline's selects the policy
// of package placement.
func newPolicy(w *world, name string) policy {
	switch name {
	case "on-demand":
		return &baseline{world: w, perNode: true}
	case "keep-alive":
		return &baseline{world: w, idleTimeout: keepAliveTimeout}
	case "lru":
		return &baseline{world: w, idleTimeout: -1}
	default:
		return newPlannerPolicy(w)
	}
}

// WarmupFor returns how much time at the start of a run of the given number of days the
// metrics exclude: warmup, but at most half of the run.
func WarmupFor(days int) time.Duration {
	return min(warmup, time.Duration(days)*dayLength/2)
}
