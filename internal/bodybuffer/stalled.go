package bodybuffer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

// stalledShare is the ratio of the memory for calls that do not run yet to that which those of them may hold that wait for more.
const stalledShare = 2

// stalls are the calls that wait for memory before they run. Each keeps what it has while it waits, so that without a bound all could
// wait for each other. It is safe for concurrent use.
type stalls struct {
	mu      sync.Mutex
	arrived uint64
	waiting []*stalledCall
}

// stalledCall is a call that may wait for memory.
type stalledCall struct {
	// arrival is the call's place in the order of arrival, and held what it holds, in bytes.
	arrival uint64
	held    int64
	// announced is set if the length of its body is known.
	announced bool
	// givesWay is set once the call is to be refused, so that others get its memory.
	givesWay atomic.Bool
}

func (s *stalls) newCall() *stalledCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	return &stalledCall{arrival: s.arrived}
}

// begin tells that c waits and holds this many bytes. If those that wait hold more than limit, some give way: first those whose length is
// not known, as they may go on without end, and of these the earliest, as a caller that keeps the limits completes its body soon.
func (s *stalls) begin(c *stalledCall, held, limit int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.held = held
	s.waiting = append(s.waiting, c)
	slices.SortFunc(s.waiting, func(a, b *stalledCall) int {
		switch {
		case a.announced == b.announced:
			return cmp.Compare(a.arrival, b.arrival)
		case b.announced:
			return -1
		}
		return 1
	})
	var sum int64
	for _, at := range s.waiting {
		if !at.givesWay.Load() {
			sum += at.held
		}
	}
	for _, at := range s.waiting {
		if sum <= limit {
			return
		}
		if at.held > 0 && !at.givesWay.Swap(true) {
			sum -= at.held
		}
	}
}

// end tells that c waits no longer.
func (s *stalls) end(c *stalledCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(at *stalledCall) bool { return at == c })
}
