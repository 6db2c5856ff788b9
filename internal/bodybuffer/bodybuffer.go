// Package bodybuffer bounds what a process holds of the calls in progress: the bodies of requests and answers, incomplete events of
// streams, and detours of other nodes.
//
// Load pattern: many callers upload large bodies at once, or a faulty upstream sends bodies without end, to many
// calls at once. Limits for each body alone do not bound their sum. Calls that run must not fail because others that have not begun
// take all memory.
package bodybuffer

import (
	"io"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// firstBytes is the size of the first buffer of a body, unless the body is known to be smaller.
const firstBytes = 4 << 10

var (
	// ErrTooLarge means that a body is larger than its limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrNoMemory means that the bodies of all calls together are as large as they may be.
	ErrNoMemory = errors.New("no memory for another body")
)

// Part says what memory is taken for.
type Part uint8

// The parts of a budget.
const (
	Requests Part = iota
	Answers
	Events
	Detours
	partCount
)

// Budget is the memory that all calls may take together. It is safe for concurrent use.
type Budget struct {
	// limit bounds what calls take before they run, and detours; reserve is added to it for calls that run.
	limit, reserve int64
	used           atomic.Int64
	parts          [partCount]atomic.Int64
	stalls         stalls
	// dropped is what was given back since the last collection, in bytes.
	dropped    atomic.Int64
	collecting sync.Mutex
}

const (
	// memoryShare is the ratio of a process's memory to that which calls may take. Buffers that were replaced by larger ones take
	// as much until they are collected.
	memoryShare = 4
	// reserveShare is the ratio of a process's memory to the reserve for calls that run.
	reserveShare = 16
	// droppedShare is the ratio of a budget to the dropped buffers that are collected before others take memory.
	droppedShare = 4
	// collectBytes is the size from which on a buffer waits for dropped ones to be collected.
	collectBytes = 64 << 10
)

// BudgetOf returns the budget of a process with the given memory, in MiB.
func BudgetOf(memoryMB int) *Budget {
	memory := int64(memoryMB) << 20
	return &Budget{limit: memory / memoryShare, reserve: memory / reserveShare}
}

// NewBudget returns a budget of the given number of bytes, without a reserve.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// UsedFor returns the number of bytes that are taken for a part.
func (b *Budget) UsedFor(p Part) int64 { return b.parts[p].Load() }

// Fits reports whether n more bytes can be taken now.
func (b *Budget) Fits(n int64) bool { return b.used.Load()+n <= b.limit }

// Share is what one call has taken of a budget. It is not safe for concurrent use.
type Share struct {
	// MakeRoom frees memory of the budget and reports whether it did; Read and Append call it until there is enough. It may be nil.
	MakeRoom func() bool

	budget *Budget
	// running is set once the call runs.
	running bool
	taken   [partCount]int64
}

// NewShare returns an empty share.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Begin tells that the call runs from now on. It may take the reserve of the budget, too.
func (s *Share) Begin() { s.running = true }

// Take takes n more bytes. It reports whether the budget had them.
func (s *Share) Take(p Part, n int64) bool {
	limit := s.budget.limit
	if s.running {
		limit += s.budget.reserve
	}
	if s.budget.used.Add(n) > limit {
		s.budget.used.Add(-n)
		return false
	}
	s.budget.parts[p].Add(n)
	s.taken[p] += n
	return true
}

// collect frees the dropped buffers if they are large together. The runtime's collector goes on while others allocate, and is
// late on a busy machine: calls must not take memory again before it is free.
func (b *Budget) collect() {
	most := b.limit / droppedShare
	if b.dropped.Load() <= most {
		return
	}
	b.collecting.Lock()
	defer b.collecting.Unlock()
	if dropped := b.dropped.Load(); dropped > most {
		runtime.GC()
		b.dropped.Add(-dropped)
	}
}

// takeRoom is Take that makes room. It reports whether there is any.
func (s *Share) takeRoom(p Part, n int64) bool {
	for !s.Take(p, n) {
		if s.MakeRoom == nil || !s.MakeRoom() {
			return false
		}
	}
	if n >= collectBytes {
		s.budget.collect()
	}
	return true
}

// giveBack gives n bytes of a part back.
func (s *Share) giveBack(p Part, n int64) {
	s.budget.parts[p].Add(-n)
	s.budget.used.Add(-n)
	s.budget.dropped.Add(n)
	s.taken[p] -= n
}

// size returns how many bytes the share has taken.
func (s *Share) size() (bytes int64) {
	for _, part := range s.taken {
		bytes += part
	}
	return bytes
}

// Release gives everything back.
func (s *Share) Release() {
	for p, n := range s.taken {
		s.budget.parts[p].Add(-n)
		s.budget.used.Add(-n)
		s.budget.dropped.Add(n)
	}
	s.taken = [partCount]int64{}
}

// Append is append for a buffer of events. It fails with ErrNoMemory if the share cannot take more.
func (s *Share) Append(buffer, p []byte) ([]byte, error) {
	if needed := len(buffer) + len(p); needed > cap(buffer) {
		next := max(2*cap(buffer), needed)
		if !s.takeRoom(Events, int64(next-cap(buffer))) {
			return buffer, ErrNoMemory
		}
		buffer = append(make([]byte, 0, next), buffer...)
	}
	return append(buffer, p...), nil
}

// Read reads a body to its end. size is its length, or -1 if that is unknown. It fails with ErrTooLarge if the body has
// more than limit bytes, and with ErrNoMemory if the share cannot take it.
func (s *Share) Read(body io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	part := Requests
	if s.running {
		part = Answers
	}
	var out []byte
	for {
		if len(out) == cap(out) {
			next := min(max(firstBytes, 2*int64(cap(out))), max(firstBytes, limit+1)) // one more byte shows that it is too large
			if size >= 0 {
				next = min(next, size+1) // one more byte shows the end
			}
			next = max(next, int64(cap(out))+1)
			// Both buffers are in use while the body is copied.
			if !s.takeRoom(part, next) {
				return nil, ErrNoMemory
			}
			before := int64(cap(out))
			out = append(make([]byte, 0, next), out...)
			s.giveBack(part, before)
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case int64(len(out)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, err
		}
	}
}
