package dispatch_test

import (
	"math"
	"testing"

	"github.com/matryer/is"
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
