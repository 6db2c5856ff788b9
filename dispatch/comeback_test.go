package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
)

// comeBack returns the wait asked of the caller of a call that is refused at now, by nodes that heard at 0 of twice as many
// calls as an engine has slots.
func comeBack(t *testing.T, rank int, now time.Duration, forecast ...time.Duration) time.Duration {
	d := newDispatcher(engine("a", 100, "m"))
	d.ObservePlannerCounts(map[string]int{"a": 200}, true, 0)
	d.Overloads(0)
	d.Submit(call(1, "m", rank, 0), 0)
	for _, in := range forecast {
		d.ForecastAnother(dispatch.ModelKey{Service: "llm", Model: "m"}, in, 0)
	}
	verdicts := d.Submit(call(2, "m", rank, now), now)
	if len(verdicts) != 1 || verdicts[0].Reason != dispatch.Overloaded {
		t.Fatalf("verdicts: %+v", verdicts)
	}
	return verdicts[0].RetryAfter
}

// TestCallersOfOverloadedModelsComeBackInTime checks the wait with and without a forecast, and with odd ones.
func TestCallersOfOverloadedModelsComeBackInTime(t *testing.T) {
	is := is.New(t)
	is.Equal(comeBack(t, 3, 0), 5*second)
	is.Equal(comeBack(t, 0, 0), 5*second)
	is.Equal(comeBack(t, 1, second, 10*second), 9*second)
	is.Equal(comeBack(t, 1, second, 10*second, 4*second), 3*second) // the latest forecast
	is.Equal(comeBack(t, 1, 0, time.Hour), 15*second)
	is.Equal(comeBack(t, 1, 0, -time.Hour), 500*ms)
	is.Equal(comeBack(t, 1, 3*second, 10*second), 2*second) // the leader is lost: until the overload is forgotten
}
