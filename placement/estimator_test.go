package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/directory"
)

// newTrainedEstimator returns an estimator that observed the given number of loads of 3 to 4
// seconds.
func newTrainedEstimator(loads int) *Estimator {
	e := NewEstimator(time.Second, 16*gib)
	rng := rand.New(rand.NewPCG(1, 1))
	for range loads {
		e.Observe(directory.TierRemote, 16*gib, time.Duration((3+rng.Float64())*float64(time.Second)))
	}
	return e
}

// TestEstimatorFollowsSlowdown checks that three slow loads move the level of all sizes, that
// a single one does not, and that three fast loads move it back.
func TestEstimatorFollowsSlowdown(t *testing.T) {
	is := is.New(t)
	e := newTrainedEstimator(200)
	before := e.Typical(directory.TierRemote, 16*gib)
	is.True(before > 3*time.Second && before < 4*time.Second)
	e.Observe(directory.TierRemote, 16*gib, 14*time.Second)
	is.True(e.Typical(directory.TierRemote, 16*gib) < 4*time.Second) // one slow load has no effect
	e.Observe(directory.TierRemote, 16*gib, 14*time.Second)
	e.Observe(directory.TierRemote, 16*gib, 14*time.Second)
	is.True(e.Typical(directory.TierRemote, 16*gib) > 12*time.Second)
	is.True(e.Typical(directory.TierRemote, 8*gib) > 6*time.Second) // other sizes follow the level
	for range 3 {
		e.Observe(directory.TierRemote, 16*gib, 3500*time.Millisecond)
	}
	is.True(e.Typical(directory.TierRemote, 16*gib) < 5*time.Second)
}

// TestEstimatorRaisesLevelForUnfinishedLoads guards against a stalled store going unnoticed
// because none of its loads ends. The level returns when no such loads are in progress.
func TestEstimatorRaisesLevelForUnfinishedLoads(t *testing.T) {
	is := is.New(t)
	e := newTrainedEstimator(200)
	tail := e.Tail(directory.TierRemote, 16*gib)
	e.ObserveRunning(directory.TierRemote, e.ElapsedRatio(directory.TierRemote, 16*gib, 12*time.Second))
	is.True(e.Typical(directory.TierRemote, 16*gib) >= 11*time.Second)
	e.ObserveRunning(directory.TierRemote, 0)
	is.Equal(e.Tail(directory.TierRemote, 16*gib), tail)
}

// TestArrivalsLearnDailyWakeup checks the window of a job that runs at the same time each
// night, and that the wake-up is dropped once the job no longer runs.
func TestArrivalsLearnDailyWakeup(t *testing.T) {
	is := is.New(t)
	var a arrivals
	at := 2 * time.Hour
	for night := range 4 {
		jitter := time.Duration(night%2) * 20 * time.Second
		a.observe(time.Duration(night)*day+at+jitter, 5)
	}
	now := 4*day + at - time.Hour
	a.advancePassed(now)
	from, until, found := a.nextWindow(now)
	is.True(found)
	is.True(from < 4*day+at && until > 4*day+at+20*time.Second)
	is.True(until-from < 20*time.Minute)
	a.advancePassed(8 * day) // four nights without the job
	_, _, found = a.nextWindow(8 * day)
	is.True(!found)
}
