package bodybuffer

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Intake reads whole bodies of requests within the budget of a process.
type Intake struct {
	Budget *Budget
	// Cut closes the connection of an incomplete body that may make room for that of a request, and reports whether there was one. It
	// may be nil.
	Cut func(*http.Request) bool
}

// Read reads the body of a request, which may have at most limit bytes. It waits for a while if other bodies take all memory. The
// caller must release the share when it needs neither the body nor what it made of it. The error is ErrTooLarge, ErrNoMemory, or that of
// the connection; the share is nil then.
func (in Intake) Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Share, error) {
	if r.ContentLength > limit {
		return nil, nil, ErrTooLarge
	}
	share := in.Budget.NewShare()
	room := share.NewRoom(r.Context(), func() bool { return in.Cut != nil && in.Cut(r) })
	if !room.MakeFor(r.ContentLength) {
		return nil, nil, ErrNoMemory
	}
	body, err := share.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err == nil {
		return body, share, nil
	}
	share.Release()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = ErrTooLarge
	}
	return nil, nil, err
}

// Reserve takes n bytes for what is made of a body that was read. It waits like Read. The error is ErrNoMemory, or ErrTooLarge if the
// budget never has as much.
func (s *Share) Reserve(n int64) error {
	s.Begin()
	switch {
	case s.size()+n > s.budget.limit+s.budget.reserve:
		return ErrTooLarge
	case !s.takeRoom(Requests, n):
		return ErrNoMemory
	}
	return nil
}
