package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
)

func TestExperienceOutlivesALeader(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: gib})
	for night := range 3 {
		b.now = time.Duration(night)*day + 2*time.Hour
		b.demand("m", 1, time.Minute)
		b.step(t, 0)
	}
	saved := b.planner.Experience(b.now)
	is.Equal(len(saved.Models), 1)

	next := newBench(time.Minute, contract.Model{Name: "m", Memory: gib})
	next.now = 500 * time.Hour // another VM's clock
	next.planner.Restore(next.now, time.Hour, saved)
	next.step(t, 0)
	from, until, found := next.planner.models[0].arrivals.expected(next.now)
	is.True(found)
	expected := next.now + day - time.Hour
	is.True(from < expected && expected < until)
}
