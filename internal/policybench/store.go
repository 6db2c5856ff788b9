package policybench

import (
	"time"

	"github.com/agateslip/agateslip/placement"
)

// store simulates the weight store. Transfers start at its rate at most; beyond its width
// they share its throughput equally.
type store struct {
	clock  *clock
	limits placement.StoreLimits
	// slowdown divides the speed of all transfers.
	slowdown float64
	// nextStart is the earliest start of the next transfer.
	nextStart time.Duration
	transfers []*transfer
	// advancedAt is the instant up to which the remaining times of the transfers are
	// computed.
	advancedAt time.Duration
	// scheduleVersion invalidates finish events of earlier schedules.
	scheduleVersion uint64
}

// transfer is a fetch that waits for its start or is in progress.
type transfer struct {
	// remaining is the time in seconds that the rest takes at full speed.
	remaining float64
	// done is called at the end; nil after a cancellation.
	done func()
}

// fetch starts a transfer that takes the given time at full speed.
func (s *store) fetch(fullSpeed time.Duration, done func()) *transfer {
	t := &transfer{remaining: fullSpeed.Seconds(), done: done}
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

// cancel ends a transfer without calling done.
func (s *store) cancel(t *transfer) {
	t.done = nil
	s.advance()
	s.remove(t)
	s.schedule()
}

// setSlowdown changes the slowdown from now on.
func (s *store) setSlowdown(factor float64) {
	s.advance()
	s.slowdown = factor
	s.schedule()
}

// speed returns the progress of each transfer per second, as a share of full speed.
func (s *store) speed() float64 {
	share := min(1, float64(s.limits.Width)/float64(max(len(s.transfers), 1)))
	return share / s.slowdown
}

// advance subtracts the progress since the last call from every transfer.
func (s *store) advance() {
	progress := (s.clock.now - s.advancedAt).Seconds() * s.speed()
	for _, t := range s.transfers {
		t.remaining -= progress
	}
	s.advancedAt = s.clock.now
}

// schedule schedules the end of the transfers that end first, and replaces an earlier
// schedule.
func (s *store) schedule() {
	s.scheduleVersion++
	version := s.scheduleVersion
	shortest := -1.0
	for _, t := range s.transfers {
		if shortest < 0 || t.remaining < shortest {
			shortest = max(t.remaining, 0)
		}
	}
	if shortest < 0 {
		return
	}
	wait := time.Duration(shortest/s.speed()*float64(time.Second)) + 1
	s.clock.after(wait, func() {
		if version == s.scheduleVersion {
			s.finish()
		}
	})
}

// finish ends the completed transfers and calls their done functions.
func (s *store) finish() {
	s.advance()
	var finished []*transfer
	for _, t := range s.transfers {
		if t.remaining <= 1e-9 {
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

// remove removes a transfer if it is in progress.
func (s *store) remove(t *transfer) {
	for i := range s.transfers {
		if s.transfers[i] == t {
			s.transfers = append(s.transfers[:i], s.transfers[i+1:]...)
			return
		}
	}
}
