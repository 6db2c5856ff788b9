package residency_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/residency"
)

// newBusySimulation returns engines that hold two models each and have copies of all. running
// and arrivals are the calls that run and that arrived for each model, in their order.
func newBusySimulation(t *testing.T, running, arrivals []uint64) *simulation {
	var placement [][]int
	for i := 0; i < len(running); i += 2 {
		placement = append(placement, []int{i, i + 1})
	}
	s := newPlacedSimulation(t, placement, len(running)+1, true)
	s.run(second)
	var counts []residency.Count
	for i, calls := range running {
		counts = append(counts, residency.Count{Service: "llm", Model: fmt.Sprint("m", i), Upstream: fmt.Sprint("e", i/2), Calls: calls})
		s.arrivals[fmt.Sprint("m", i)] = arrivals[i]
	}
	s.planner.SetDemand("busy", residency.NodeReport{Running: counts}, s.now)
	return s
}

// TestUnloadOfManyCallsWaitsLonger has the choice between an engine whose models run six calls
// each and one whose models run one each but are called more often. The last of six calls
// ends much later than one.
func TestUnloadOfManyCallsWaitsLonger(t *testing.T) {
	is := is.New(t)
	s := newBusySimulation(t, []uint64{6, 6, 1, 1}, []uint64{0, 0, 3, 3})
	s.addWaiting("n", "m4", "", 5)
	s.run(900 * ms)
	is.True(s.engines["e1"].desc.Holds("m4", ""))
	is.Equal(s.holders("m4"), 1)
}

// TestCallsThatGiveUpDuringUnloadEvictNothing has calls wait for a model whose only engine is
// busy with two others. Their callers will have left before the running calls have ended, so
// the others stay.
func TestCallsThatGiveUpDuringUnloadEvictNothing(t *testing.T) {
	is := is.New(t)
	s := newBusySimulation(t, []uint64{6, 6}, []uint64{6, 6})
	s.addWaiting("n", "m2", "", 5)
	s.waiting["n"].demand.Patience = 3 * second
	s.report()
	s.run(900 * ms)
	is.Equal(s.holders("m0")+s.holders("m1"), 2)
}
