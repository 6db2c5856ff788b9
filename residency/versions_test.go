package residency_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// addPinned makes calls wait that can run only at engines with the given version.
func (s *simulation) addPinned(node, model, adapter, software string) {
	s.addWaiting(node, model, adapter, 1)
	s.waiting[node].demand.Pinned, s.waiting[node].demand.Software = true, software
	s.report()
}

// holdsAt reports whether an engine of a version holds a model and, unless it is empty, an adapter.
func (s *simulation) holdsAt(software, model, adapter string) bool {
	for _, e := range s.engines {
		if e.desc.Software == software && e.desc.Holds(model, adapter) {
			return true
		}
	}
	return false
}

// TestModelIsLoadedAtTheVersionOfItsStreams has a stream wait for a model that engines of other versions
// hold, or have a copy of. An engine of its version must load the model, and only one of them.
func TestModelIsLoadedAtTheVersionOfItsStreams(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 6, 9, true)
	for i := range 6 {
		s.engines[fmt.Sprint("e", i)].desc.Software = []string{"v1", "v2"}[i%2]
	}
	s.run(second)
	s.addWaiting("n", "m8", "", 1)
	s.run(2 * second)
	held := "v1"
	if !s.holdsAt(held, "m8", "") {
		held = "v2"
	}
	other := map[string]string{"v1": "v2", "v2": "v1"}[held]
	is.True(s.holdsAt(held, "m8", ""))
	before := s.holders("m8")
	s.addPinned("p", "m8", "", other)
	s.run(2 * second)
	is.True(s.holdsAt(other, "m8", ""))
	is.Equal(s.holders("m8"), before+1)
	s.addPinned("p", "m8", "a1", other)
	s.run(second)
	is.True(s.holdsAt(other, "m8", "a1"))
	is.True(!s.holdsAt(held, "m8", "a1"))
}

// TestBrokenStreamsComeBeforeNewCallsAtFewEngines has one engine in three left at the version of a
// stream, after others crashed. It loads the model of the stream, which no other can serve, before those
// that more new calls wait for.
func TestBrokenStreamsComeBeforeNewCallsAtFewEngines(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 3, 10, true) // they hold m0 to m5
	for i, software := range []string{"v1", "v2", "v2"} {
		s.engines[fmt.Sprint("e", i)].desc.Software = software
	}
	s.run(second)
	for i := 6; i < 9; i++ {
		s.addWaiting(fmt.Sprint("n", i), fmt.Sprint("m", i), "", 6)
	}
	s.addPinned("p", "m9", "", "v1")
	s.run(second)
	is.True(s.holdsAt("v1", "m9", ""))
}
