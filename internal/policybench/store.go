package policybench

import (
	"time"

	"github.com/agateslip/agateslip/placement"
)

// store is a fake weight store: starts are spaced by its rate, and transfers
// beyond its width share its throughput.
type store struct {
	clock     *clock
	limits    placement.StoreLimits
	slowdown  float64
	nextStart time.Duration
	transfers []*transfer
	updated   time.Duration
	version   uint64
}

// transfer is one load in progress.
type transfer struct {
	// left is the time in seconds that the rest takes at full speed.
	left float64
	done func()
}

// fetch starts a transfer that takes the given time at full speed.
func (s *store) fetch(fullSpeed time.Duration, done func()) *transfer {
	t := &transfer{left: fullSpeed.Seconds(), done: done}
	start := max(s.clock.now, s.nextStart)
	s.nextStart = start + time.Duration(float64(time.Second)/s.limits.Rate)
	s.clock.at(start, func() {
		if t.done == nil {
			return
		}
		s.advance()
		s.transfers = append(s.transfers, t)
		s.schedule()
	})
	return t
}

// cancel ends a transfer without its result.
func (s *store) cancel(t *transfer) {
	t.done = nil
	s.advance()
	s.remove(t)
	s.schedule()
}

func (s *store) setSlowdown(factor float64) {
	s.advance()
	s.slowdown = factor
	s.schedule()
}

// speed is the progress of each transfer a second.
func (s *store) speed() float64 {
	share := min(1, float64(s.limits.Width)/float64(max(len(s.transfers), 1)))
	return share / s.slowdown
}

func (s *store) advance() {
	progress := (s.clock.now - s.updated).Seconds() * s.speed()
	for _, t := range s.transfers {
		t.left -= progress
	}
	s.updated = s.clock.now
}

func (s *store) schedule() {
	s.version++
	version := s.version
	least := -1.0
	for _, t := range s.transfers {
		if least < 0 || t.left < least {
			least = max(t.left, 0)
		}
	}
	if least < 0 {
		return
	}
	wait := time.Duration(least/s.speed()*float64(time.Second)) + 1
	s.clock.after(wait, func() {
		if version == s.version {
			s.finish()
		}
	})
}

func (s *store) finish() {
	s.advance()
	var finished []*transfer
	for _, t := range s.transfers {
		if t.left <= 1e-9 {
			finished = append(finished, t)
		}
	}
	for _, t := range finished {
		s.remove(t)
	}
	s.schedule()
	for _, t := range finished {
		if t.done != nil {
			t.done()
		}
	}
}

func (s *store) remove(t *transfer) {
	for i := range s.transfers {
		if s.transfers[i] == t {
			s.transfers = append(s.transfers[:i], s.transfers[i+1:]...)
			return
		}
	}
}
