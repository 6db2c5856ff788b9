package standin

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSlotsFull means that all slots and waiting places are taken.
var errSlotsFull = errors.New("slots and queue are full")

// slots bounds the requests that run at once. Waiting requests run by priority,
// then by arrival.
type slots struct {
	mu      sync.Mutex
	free    int
	size    int
	queue   int
	waiting []*waiter
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	granted  chan struct{}
}

// newSlots makes size free slots and a queue of a bounded length.
func newSlots(size, queue int) *slots {
	return &slots{free: size, size: size, queue: queue}
}

// acquire takes a slot, waiting for one if the queue has room.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	if len(s.waiting) >= s.queue {
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
		s.abandon(w)
		return errors.Wrap(ctx.Err(), "wait for a slot")
	}
}

// abandon gives up a place in the queue, or the slot granted meanwhile.
func (s *slots) abandon(w *waiter) {
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

// release gives a slot back.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked hands a slot to the first waiter of the highest priority.
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

// count is the number of running and of waiting requests.
func (s *slots) count() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size - s.free, len(s.waiting)
}
