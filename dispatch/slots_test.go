package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/ratelimit"
)

// grantedDispatcher returns a node of 40 before an upstream with eight slots, which the leader grants.
func grantedDispatcher() *dispatch.Dispatcher {
	d := newDispatcher(incarnation("a", 2))
	d.SetEntryNodes(40, "n")
	d.SetBrittle(map[string]ratelimit.Brittle{"llm": {PerSecond: 4, SlotsGranted: true}}, 0)
	return d
}

// TestGrantsOfSlotsAreForOneIncarnation has a grant arrive for an upstream that has started again.
func TestGrantsOfSlotsAreForOneIncarnation(t *testing.T) {
	is := is.New(t)
	d := grantedDispatcher()
	is.Equal(len(d.Submit(call(1, "m", 1, 0), 0)), 0)
	is.Equal(d.SlotWants(0), []ratelimit.SlotWant{{Upstream: fleet.Incarnation{ID: "a", Born: 2}, Waiting: 1}})
	grant := func(born int64) []dispatch.Verdict {
		return d.GrantSlots([]ratelimit.Grant{{Upstream: fleet.Incarnation{ID: "a", Born: born}, Permits: 1}}, 0, 0)
	}
	is.Equal(len(grant(1)), 0)
	is.Equal(started(grant(2)), map[dispatch.CallID]string{1: "a"})
	is.Equal(d.SlotWants(0), []ratelimit.SlotWant{{Upstream: fleet.Incarnation{ID: "a", Born: 2}, Taken: 1}})
}

// TestBrittlenessEndsWithTheLeadersWord has the leader grant slots and then no longer call the service
// brittle, or fall silent. In the first case all slots are free again after a few seconds.
func TestBrittlenessEndsWithTheLeadersWord(t *testing.T) {
	for name, silent := range map[string]bool{"told": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := grantedDispatcher()
			const later = 6 * time.Second
			for now := second; now <= later && !silent; now += second {
				d.SetBrittle(nil, now)
			}
			begun := 0
			for id := range 6 {
				begun += len(started(d.Submit(call(10+id, "m", 1, later), later)))
			}
			if silent {
				is.True(begun <= 1)
			} else {
				is.Equal(begun, 6)
			}
		})
	}
}

// TestBrittleUpstreamKeepsToItsNodesAcrossElections has a new leader that first does not know that the service is
// brittle, and then does not grant slots yet. Of forty nodes, no more may send calls than the upstream has places.
func TestBrittleUpstreamKeepsToItsNodesAcrossElections(t *testing.T) {
	is := is.New(t)
	begun := 0
	for node := range 40 {
		d := newDispatcher(incarnation("a", 2))
		d.SetEntryNodes(40, fmt.Sprint("n", node))
		d.SetBrittle(map[string]ratelimit.Brittle{"llm": {PerSecond: 4, SlotsGranted: true}}, 0)
		d.SetBrittle(nil, second)
		now := second
		for ; now < 5*second; now += 100 * ms {
			d.SetBrittle(map[string]ratelimit.Brittle{"llm": {PerSecond: 4}}, now)
		}
		begun += len(started(d.Submit(call(1, "m", 1, now), now)))
	}
	is.True(begun <= 8)
}
