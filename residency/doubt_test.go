package residency_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/residency"
)

// incarnations returns the incarnations of simulated engines.
func incarnations(engines []string) []fleet.Incarnation {
	var all []fleet.Incarnation
	for _, id := range engines {
		all = append(all, fleet.Incarnation{ID: id, Born: 1})
	}
	return all
}

// TestModelOfUnreachableEngineIsLoadedElsewhere has the only engine with a model crash while its
// announcements still count. Calls for the model must not wait until it counts as silent. The word of
// one node of several, or of one that reaches few engines at all, is not enough.
func TestModelOfUnreachableEngineIsLoadedElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		reports map[string][]string
		loads   bool
	}{
		"two nodes":                {map[string][]string{"a": {"e0"}, "b": {"e0"}, "c": nil}, true},
		"one of three nodes":       {map[string][]string{"a": {"e0"}, "b": nil, "c": nil}, false},
		"one node beside cut ones": {map[string][]string{"a": {"e0"}, "b": {"e0", "e1", "e2", "e3"}, "c": {"e0", "e1", "e2", "e3"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(t, 4, 8, true) // e0 holds m0 and m1
			s.run(second)
			is.Equal(s.holders("m0"), 1)
			for range 10 {
				for node, engines := range c.reports {
					s.planner.SetDemand(node, residency.NodeReport{Unreachable: incarnations(engines)}, s.now)
				}
				waiting := dispatch.Demand{Service: "llm", Model: "m0", Waiting: 2, Slack: second, Patience: 8 * second}
				s.planner.SetDemand("c", residency.NodeReport{Waiting: []dispatch.Demand{waiting}, Unreachable: incarnations(c.reports["c"])}, s.now)
				s.run(100 * ms)
			}
			is.Equal(s.holders("m0") > 1, c.loads)
		})
	}
}
