package bodybuffer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestIntake reads bodies while others take most of the memory.
func TestIntake(t *testing.T) {
	for name, c := range map[string]struct {
		size      int
		announced int64
		others    int64
		cuts      bool
		want      error
	}{
		"fits":                      {size: 300, announced: 300, others: 600},
		"fits, length not known":    {size: 300, announced: -1},
		"too large":                 {size: 501, announced: 501, want: ErrTooLarge},
		"too large, not known":      {size: 501, announced: -1, want: ErrTooLarge},
		"full":                      {size: 300, announced: 300, others: 900, want: ErrNoMemory},
		"full until another is cut": {size: 300, announced: 300, others: 900, cuts: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				budget := NewBudget(10_000)
				other := budget.NewShare()
				is.True(other.Take(Requests, c.others*10))
				in := Intake{Budget: budget, Cut: func(*http.Request) bool {
					if c.cuts {
						other.Release()
					}
					return c.cuts
				}}
				r := httptest.NewRequest(http.MethodPut, "/", strings.NewReader(strings.Repeat("x", c.size*10)))
				r.ContentLength = max(-1, c.announced*10)
				body, share, err := in.Read(httptest.NewRecorder(), r, 5000)
				is.True(errors.Is(err, c.want))
				is.Equal(share == nil, c.want != nil)
				if share != nil {
					is.Equal(len(body), c.size*10)
					share.Release()
				}
				other.Release()
				is.Equal(budget.Used(), int64(0))
			})
		})
	}
}

func TestReserve(t *testing.T) {
	is := is.New(t)
	b := &Budget{limit: 1000, reserve: 200}
	share, other := b.NewShare(), b.NewShare()
	is.True(share.Take(Requests, 500))
	is.NoErr(share.Reserve(600))
	is.True(errors.Is(share.Reserve(101), ErrTooLarge))
	is.True(errors.Is(other.Reserve(101), ErrNoMemory))
	share.Release()
	is.NoErr(other.Reserve(1200))
	other.Release()
	is.Equal(b.Used(), int64(0))
}
