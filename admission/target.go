package admission

import "time"

// Readiness says whether a target serves requests.
type Readiness int

// States of readiness.
const (
	// Unknown means that nobody has yet said when the target is ready.
	Unknown Readiness = iota
	// Expected means that the target is planned to be ready at ReadyAt.
	Expected
	// Ready means that the target serves requests.
	Ready
	// Gone means that the target will not be ready; RetryAfter says when to
	// ask again.
	Gone
)

// TargetState is what the node knows of a model or service.
type TargetState struct {
	// Readiness says whether the target serves requests.
	Readiness Readiness
	// Slots is how many requests this node may run on a ready target at once.
	Slots int
	// ReadyAt is when an expected target is ready.
	ReadyAt time.Duration
	// RetryAfter goes into the refusals of a target that is gone.
	RetryAfter time.Duration
}

// target is a model or service on this node.
type target struct {
	name    string
	state   TargetState
	running int
	waiting int
	lines   int           // lines with waiting requests
	service time.Duration // mean time that a request runs
	asked   time.Duration // since when an estimate is awaited
	asking  bool
	used    time.Duration // last time that a request named it
}

// free reports whether the target can run one more request.
func (t *target) free() bool {
	return t.state.Readiness == Ready && t.running < t.state.Slots
}

// overdue reports whether an estimate has been awaited for too long.
func (t *target) overdue(now, timeout time.Duration) bool {
	return t.asking && now-t.asked > timeout
}

// await starts the wait for an estimate, if there is none.
func (t *target) await(now time.Duration) {
	if t.state.Readiness == Unknown && !t.asking {
		t.asking, t.asked = true, now
	}
}

// serviceWeight is the weight of one more observation in a mean.
const serviceWeight = 0.2

// observe moves a mean by one observation.
func observe(mean, seen time.Duration) time.Duration {
	if mean == 0 {
		return seen
	}
	return mean + time.Duration(serviceWeight*float64(seen-mean))
}
