package admission

import "time"

// Readiness tells whether a target serves requests.
type Readiness int

// Readiness states.
const (
	// Unknown means that no estimate of when the target is ready has arrived yet.
	Unknown Readiness = iota
	// Expected means that the target is planned to be ready at ReadyAt.
	Expected
	// Ready means that the target serves requests.
	Ready
	// Gone means that the target will not become ready; RetryAfter tells when to ask
	// again.
	Gone
)

// TargetState is what a node knows about a model or service.
type TargetState struct {
	// Readiness tells whether the target serves requests.
	Readiness Readiness
	// Slots is how many requests this node may run on the target at once when it is
	// ready.
	Slots int
	// ReadyAt is when an Expected target is planned to be ready.
	ReadyAt time.Duration
	// RetryAfter is how long callers refused because the target is Gone should wait
	// before a retry.
	RetryAfter time.Duration
}

// target is the state of one model or service on this node.
type target struct {
	name             string
	state            TargetState
	running          int
	waiting          int
	queues           int           // number of customers with waiting requests for the target
	meanRunTime      time.Duration // mean time that a request runs
	awaitingSince    time.Duration // when awaitingEstimate became true
	awaitingEstimate bool          // an estimate is needed and has not arrived
	lastNamed        time.Duration // last time that a request or SetTarget named it
}

// hasFreeSlot reports whether the target can run one more request.
func (t *target) hasFreeSlot() bool {
	return t.state.Readiness == Ready && t.running < t.state.Slots
}

// estimateOverdue reports whether the wait for an estimate exceeds the timeout.
func (t *target) estimateOverdue(now, timeout time.Duration) bool {
	return t.awaitingEstimate && now-t.awaitingSince > timeout
}

// awaitEstimate starts the wait for an estimate if the target is Unknown and the wait
// has not started.
func (t *target) awaitEstimate(now time.Duration) {
	if t.state.Readiness == Unknown && !t.awaitingEstimate {
		t.awaitingEstimate, t.awaitingSince = true, now
	}
}

// runTimeWeight is the weight of a new observation in a mean run time.
const runTimeWeight = 0.2

// updateMean returns the mean after one more observation. A mean of 0 stands for no
// observations.
func updateMean(mean, observed time.Duration) time.Duration {
	if mean == 0 {
		return observed
	}
	return mean + time.Duration(runTimeWeight*float64(observed-mean))
}
