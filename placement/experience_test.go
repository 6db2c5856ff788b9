package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
)

// TestRestoreExperience checks that a new leader's planner expects the wake-ups that an
// earlier one learned, although the clocks of the two processes differ.
func TestRestoreExperience(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: gib})
	for night := range 3 {
		b.now = time.Duration(night)*day + 2*time.Hour
		b.setDemand("m", 1, time.Minute)
		b.step(t, 0)
	}
	saved := b.planner.Experience(b.now)
	is.Equal(len(saved.Models), 1)

	next := newHarness(time.Minute, contract.Model{Name: "m", Memory: gib})
	next.now = 500 * time.Hour // the clock of another VM
	next.planner.Restore(next.now, time.Hour, saved)
	next.step(t, 0)
	from, until, found := next.planner.models[0].arrivals.nextWindow(next.now)
	is.True(found)
	expected := next.now + day - time.Hour
	is.True(from < expected && expected < until)
}
