package residency_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/residency"
)

// TestFullEngineGetsHelp calls a model that one engine holds more often than the engine's
// slots allow. Its streams do not pause, since the calls beyond the slots have not started:
// they wait in the engine. Another engine with a copy must load the model.
func TestFullEngineGetsHelp(t *testing.T) {
	is := is.New(t)
	s := newPlacedSimulation(t, [][]int{{0, 1}, {2, 3}, {4, 5}, {6, 7}}, 8, true)
	s.run(second)
	streams := uint64(0)
	for end := s.now + 10*second; s.now < end; {
		s.arrivals["m0"]++ // 10 a second; 8 slots serve 4 a second for 2 s each
		streams += 300     // many streams have shown that calls hardly slow each other down
		s.planner.SetDemand("nodes", residency.NodeReport{
			Arrivals: []residency.Count{{Service: "llm", Model: "m0", Calls: s.arrivals["m0"]}},
			Quality:  []residency.Quality{{Upstream: "e0", Streams: streams}},
		}, s.now)
		s.run(100 * ms)
	}
	is.True(s.holders("m0") >= 2)
}

// TestEngineGetsHelpBeforeItIsFull calls a model that one engine holds so often that 85 of
// 100 slots are taken on average: the calls then wait for one another.
func TestEngineGetsHelpBeforeItIsFull(t *testing.T) {
	is := is.New(t)
	s := newPlacedSimulation(t, [][]int{{0, 1}, {2, 3}, {4, 5}, {6, 7}}, 8, true)
	s.run(second)
	streams := uint64(0)
	for end := s.now + 15*second; s.now < end; {
		s.arrivals["m2"]++ // 3.4 a second for 8 slots and 2 s
		streams += 300
		s.planner.SetDemand("nodes", residency.NodeReport{
			Arrivals: []residency.Count{{Service: "llm", Model: "m2", Calls: s.arrivals["m2"]}},
			Quality:  []residency.Quality{{Upstream: "e1", Streams: streams}},
		}, s.now)
		s.run(290 * ms)
	}
	is.True(s.holders("m2") >= 2)
}
