package dispatch_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
)

// TestHugeNumberOfSlotsStopsNoCalls guards against an upstream with so many slots that one more call
// does not change its load: no candidate was chosen, and calls waited beside free slots.
func TestHugeNumberOfSlotsStopsNoCalls(t *testing.T) {
	for _, slots := range []int{1 << 40, 1 << 53, math.MaxInt} {
		is := is.New(t)
		odd, sound := engine("odd", slots, "m"), engine("sound", 4, "m")
		odd.Domain, sound.Domain = "elsewhere", "elsewhere"
		d := newDispatcher(odd, sound)
		is.Equal(len(started(d.Submit(call(1, "m", 1, 0), 0))), 1)
		for i := range 200 {
			is.Equal(len(started(d.Submit(call(10+i, "m", 1, second), second))), 1)
		}
	}
}

// TestEndlessLoadDoesNotLookLikeNone guards against a load report whose sum overflows: the upstream
// looked empty and got the calls.
func TestEndlessLoadDoesNotLookLikeNone(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("odd", 4, "m"), engine("sound", 4, "m"))
	is.Equal(len(started(d.Submit(call(1, "m", 1, 0), 0))), 1)
	d.Observe(1, dispatch.Load{Running: math.MaxInt, Waiting: math.MaxInt, Slots: 4}, 0)
	at := map[string]int{}
	for i := range 4 {
		for _, id := range started(d.Submit(call(10+i, "m", 1, 0), 0)) {
			at[id]++
		}
	}
	is.Equal(len(at), 1) // an upstream that reports endless calls is full
}
