package residency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/residency"
)

// newHotModelSimulation returns twelve engines with places for two models each. Eight hold
// m0, as a platform places a busy model, and 24 of the 40 models are held nowhere.
func newHotModelSimulation(t *testing.T) *simulation {
	var placement [][]int
	next := 1
	for range 8 {
		placement = append(placement, []int{0, next})
		next++
	}
	for range 4 {
		placement = append(placement, []int{next, next + 1})
		next += 2
	}
	return newPlacedSimulation(t, placement, 40, true)
}

// callHotModel sends 24 calls a second for m0, and now and then a call for one of the models
// that are held nowhere. It returns the least number of engines that held m0 meanwhile.
func (s *simulation) callHotModel(d time.Duration) int {
	least := s.holders("m0")
	const step = 125 * ms
	rare := 17
	for end := s.now + d; s.now < end; {
		s.arrivals["m0"] += 3
		if s.now%second == 0 {
			s.addWaiting("n", fmt.Sprint("m", rare), "", 1)
			rare = 17 + (rare-16)%23
		}
		s.run(step)
		least = min(least, s.holders("m0"))
	}
	return least
}

// TestHotModelKeepsItsEnginesAtTheStart has models without an engine while a hot one is held
// by eight. It must not be evicted for them before its first calls or while its rate is
// still being learned: its calls need six engines at four calls a second each.
func TestHotModelKeepsItsEnginesAtTheStart(t *testing.T) {
	is := is.New(t)
	s := newHotModelSimulation(t)
	s.run(12 * second)
	is.True(s.holders("m0") >= 6)
	is.True(s.callHotModel(10*second) >= 6)
}

// TestFirstReportIsNoBurst has a node report to a new planner what it counted for a minute: ten
// calls a second, not six hundred at once. Later reports count from there.
func TestFirstReportIsNoBurst(t *testing.T) {
	is := is.New(t)
	s := newHotModelSimulation(t)
	report := func(calls uint64, countedFor time.Duration) {
		s.planner.SetDemand("n", residency.NodeReport{
			CountedFor: countedFor,
			Arrivals:   []residency.Count{{Service: "llm", Model: "m0", Calls: calls}},
		}, s.now)
	}
	report(600, 60*second)
	is.Equal(s.planner.BusiestModels(1, s.now)[0].PerSecond, 10.0)
	report(605, 60*second)
	is.Equal(s.planner.BusiestModels(1, s.now)[0].PerSecond, 11.0)
}

// TestCopyIsLoadedBesideStoreLoad has a model fetched from the weight store, which takes six seconds, when an engine
// starts that has a copy on its disk. That one must serve it within two.
func TestCopyIsLoadedBesideStoreLoad(t *testing.T) {
	is := is.New(t)
	s := newPlacedSimulation(t, [][]int{{0, 1}, {3, 4}}, 6, false)
	s.run(second)
	s.addWaiting("n", "m2", "", 4)
	s.run(500 * ms)
	is.Equal(len(s.storeStarts), 1)
	e := &engine{desc: fleet.Upstream{ID: "e9", Born: 1, Service: "llm", Slots: 8, OnDisk: []string{"m2"}}}
	s.engines[e.desc.ID] = e
	s.planner.SetUpstream(e.desc, s.now)
	s.run(2 * second)
	is.True(s.holds("m2"))
}
