package placement

import "time"

// serviceDecay is the factor by which each ended request reduces the weight of earlier
// requests in the mean service time.
const serviceDecay = 0.98

// serviceTime estimates how long a model's requests run, by Little's law: the time integral
// of the running requests divided by the number of ended requests.
type serviceTime struct {
	// running and inSystem are the running requests, and the waiting and running requests, at
	// observedAt.
	running    int
	inSystem   int
	observedAt Instant
	// busySeconds is the decayed time integral of running requests, and endedCount the
	// decayed number of ended requests.
	busySeconds float64
	endedCount  float64
}

// observe records one round's counts. Requests that left the queue without running count as
// ended, so the estimate is slightly low.
func (s *serviceTime) observe(now Instant, waiting, running, arrived int) {
	s.busySeconds += float64(s.running) * (now - s.observedAt).Seconds()
	ended := max(s.inSystem+arrived-waiting-running, 0)
	s.endedCount += float64(ended)
	for range ended {
		s.busySeconds *= serviceDecay
		s.endedCount *= serviceDecay
	}
	s.running, s.inSystem, s.observedAt = running, waiting+running, now
}

// mean returns the mean service time, and whether it is known.
func (s *serviceTime) mean() (time.Duration, bool) {
	if s.endedCount < 1 {
		return 0, false
	}
	return seconds(s.busySeconds / s.endedCount), true
}
