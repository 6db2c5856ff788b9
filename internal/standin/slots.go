package standin

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSlotsFull reports that all slots are taken and the queue is full.
var errSlotsFull = errors.New("slots and queue are full")

// slots limits the number of concurrent requests to total. Up to maxWaiting more wait;
// they get a slot in the order of descending priority, then of arrival.
type slots struct {
	mu         sync.Mutex
	free       int
	total      int
	maxWaiting int
	waiting    []*waiter
}

// waiter is a request in the queue. granted is closed when it gets a slot.
type waiter struct {
	priority int
	granted  chan struct{}
}

// newSlots returns a limiter with size free slots for at most queue waiting requests.
func newSlots(size, queue int) *slots {
	return &slots{free: size, total: size, maxWaiting: queue}
}

// acquire takes a slot. It waits if none is free and fails if the queue is full or ctx
// ends.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	if len(s.waiting) >= s.maxWaiting {
		s.mu.Unlock()
		return errSlotsFull
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.leaveQueue(w)
		return errors.Wrap(ctx.Err(), "wait for a slot")
	}
}

// leaveQueue removes a waiter whose context ended from the queue. If it was granted a slot
// in the meantime, that slot is released.
func (s *slots) leaveQueue(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.releaseLocked()
}

// release returns a slot.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked passes a slot to the earliest waiter of the highest priority, or frees
// it if none waits. The caller holds s.mu.
func (s *slots) releaseLocked() {
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	best := 0
	for i, w := range s.waiting {
		if w.priority > s.waiting[best].priority {
			best = i
		}
	}
	w := s.waiting[best]
	s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
	close(w.granted)
}

// counts returns the numbers of running and waiting requests.
func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total - s.free, len(s.waiting)
}
