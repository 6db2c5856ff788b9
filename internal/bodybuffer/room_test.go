package bodybuffer

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRoomWaits has calls need memory that others give back soon, later than a call waits, or when their bodies are cut.
func TestRoomWaits(t *testing.T) {
	for name, c := range map[string]struct {
		freeAfter, cutAfter time.Duration
		fits                bool
		waits               time.Duration
	}{
		"freed":          {freeAfter: 300 * time.Millisecond, fits: true, waits: 300 * time.Millisecond},
		"cut":            {cutAfter: 200 * time.Millisecond, fits: true, waits: 200 * time.Millisecond},
		"freed too late": {freeAfter: 2 * time.Second, waits: roomTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				budget, start := NewBudget(1000), time.Now()
				other := budget.NewShare()
				is.True(other.Take(Requests, 900))
				if c.freeAfter > 0 {
					time.AfterFunc(c.freeAfter, other.Release)
				}
				share := budget.NewShare()
				room := share.NewRoom(t.Context(), func() bool {
					if c.cutAfter == 0 || time.Since(start) < c.cutAfter || budget.Used() < 900 {
						return false
					}
					other.Release()
					return true
				})
				body, err := share.Read(strings.NewReader(strings.Repeat("x", 400)), 400, 500)
				is.Equal(err == nil, c.fits)
				if c.fits {
					is.Equal(len(body), 400)
					is.True(room.MakeFor(200))
				}
				waited := time.Since(start)
				is.True(waited >= c.waits && waited < c.waits+10*time.Millisecond) // the wait
			})
		})
	}
}
