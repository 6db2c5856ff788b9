package residency_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/residency"
)

// callSoleModel calls a model that one engine holds, once in each interval, and returns how
// many engines hold it in the end. The engine has slots for eight calls of two seconds. Its
// streams do not pause: many have shown that calls hardly slow each other down, and calls
// beyond the slots have not started.
func callSoleModel(t *testing.T, model, engine string, interval, d time.Duration) int {
	s := newPlacedSimulation(t, [][]int{{0, 1}, {2, 3}, {4, 5}, {6, 7}}, 8, true)
	s.run(second)
	streams := uint64(0)
	for end := s.now + d; s.now < end; {
		s.arrivals[model]++
		streams += 300
		s.planner.SetDemand("nodes", residency.NodeReport{
			Arrivals: []residency.Count{{Service: "llm", Model: model, Calls: s.arrivals[model]}},
			Quality:  []residency.Quality{{Upstream: engine, Streams: streams}},
		}, s.now)
		s.run(interval)
	}
	return s.holders(model)
}

// TestFullEngineGetsHelp calls a model ten times a second, more often than its engine's slots
// allow. Another engine with a copy must load it.
func TestFullEngineGetsHelp(t *testing.T) {
	is := is.New(t)
	is.True(callSoleModel(t, "m0", "e0", 100*ms, 10*second) >= 2)
}

// TestEngineGetsHelpBeforeItIsFull calls a model so often that 85 of 100 slots are taken on
// average: the calls then wait for one another.
func TestEngineGetsHelpBeforeItIsFull(t *testing.T) {
	is := is.New(t)
	is.True(callSoleModel(t, "m2", "e1", 290*ms, 15*second) >= 2)
}
