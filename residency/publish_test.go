package residency_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAdapterIsPublishedOnceUsable has a call wait for an adapter. The engine must be listed
// as changed when the adapter has become usable, without an announcement or another order:
// nodes learn only of changed engines, and most calls for adapters are due within half a
// second.
func TestAdapterIsPublishedOnceUsable(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 2, true)
	s.run(1010 * ms) // an engine announces itself each full second
	s.addWaiting("n", "m0", "a1", 1)
	published := time.Duration(0)
	for start := s.now; s.now-start < 300*ms && published == 0; {
		s.run(tick)
		if !slices.Contains(s.planner.Changed(), "e0") {
			continue
		}
		residents, _, _ := s.planner.View("e0", s.now)
		for _, r := range residents {
			if r.Model == "m0" && slices.Contains(r.Adapters, "a1") {
				published = s.now - start
			}
		}
	}
	is.True(published > 0 && published <= 50*ms)
}
