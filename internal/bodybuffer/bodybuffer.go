// Package bodybuffer reads bodies into memory, whose sum over all calls of a process it bounds.
//
// Load pattern: many callers upload large bodies at once, or a faulty upstream sends bodies without end, to many
// calls at once. Limits for each body alone do not bound their sum.
package bodybuffer

import (
	"io"
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

// Budget is the memory that the bodies of all calls may take together. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Fits reports whether n more bytes can be taken now.
func (b *Budget) Fits(n int64) bool { return b.used.Load()+n <= b.limit }

// Share is what one call has taken of a budget. It is not safe for concurrent use.
type Share struct {
	// MakeRoom frees memory of the budget and reports whether it did; Read calls it until there is enough. It may be nil.
	MakeRoom func() bool

	budget *Budget
	taken  int64
}

// NewShare returns an empty share.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Take takes n more bytes. It reports whether the budget had them.
func (s *Share) Take(n int64) bool {
	if s.budget.used.Add(n) > s.budget.limit {
		s.budget.used.Add(-n)
		return false
	}
	s.taken += n
	return true
}

// Release gives everything back.
func (s *Share) Release() {
	s.budget.used.Add(-s.taken)
	s.taken = 0
}

// Append is append for a buffer that the share has taken. It fails with ErrNoMemory if the share cannot take more.
func (s *Share) Append(buffer, p []byte) ([]byte, error) {
	if needed := len(buffer) + len(p); needed > cap(buffer) {
		next := max(2*cap(buffer), needed)
		if !s.Take(int64(next - cap(buffer))) {
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
	var out []byte
	for {
		if len(out) == cap(out) {
			next := max(firstBytes, 2*int64(cap(out)))
			if size >= 0 {
				next = min(next, size+1) // one more byte shows the end
			}
			next = max(next, int64(cap(out))+1)
			for !s.Take(next - int64(cap(out))) {
				if s.MakeRoom == nil || !s.MakeRoom() {
					return nil, ErrNoMemory
				}
			}
			out = append(make([]byte, 0, next), out...)
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
