package placement

import "time"

// serviceDecay is the weight that earlier requests keep in the mean service
// time with each new one.
const serviceDecay = 0.98

// service learns how long a model's requests run, by Little's law: the time
// integral of running requests over the number that ended.
type service struct {
	running  int
	inSystem int
	at       Instant
	busy     float64
	ended    float64
}

// observe takes in one round's counts. Requests that left the queue without
// running count as ended, which makes the estimate a little short.
func (s *service) observe(now Instant, waiting, running, arrived int) {
	s.busy += float64(s.running) * (now - s.at).Seconds()
	ended := max(s.inSystem+arrived-waiting-running, 0)
	s.ended += float64(ended)
	for range ended {
		s.busy *= serviceDecay
		s.ended *= serviceDecay
	}
	s.running, s.inSystem, s.at = running, waiting+running, now
}

// mean returns the mean service time, and whether it is known.
func (s *service) mean() (time.Duration, bool) {
	if s.ended < 1 {
		return 0, false
	}
	return seconds(s.busy / s.ended), true
}
