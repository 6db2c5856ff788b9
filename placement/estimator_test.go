package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/directory"
)

func trained(loads int) *Estimator {
	e := NewEstimator(time.Second, 16*gib)
	rng := rand.New(rand.NewPCG(1, 1))
	for range loads {
		e.Observe(directory.TierRemote, 16*gib, time.Duration((3+rng.Float64())*float64(time.Second)))
	}
	return e
}

func TestEstimatorFollowsASlowdownWithinThreeLoads(t *testing.T) {
	is := is.New(t)
	e := trained(200)
	before := e.Typical(directory.TierRemote, 16*gib)
	is.True(before > 3*time.Second && before < 4*time.Second)
	e.Observe(directory.TierRemote, 16*gib, 14*time.Second)
	is.True(e.Typical(directory.TierRemote, 16*gib) < 4*time.Second) // one straggler
	e.Observe(directory.TierRemote, 16*gib, 14*time.Second)
	e.Observe(directory.TierRemote, 16*gib, 14*time.Second)
	is.True(e.Typical(directory.TierRemote, 16*gib) > 12*time.Second)
	is.True(e.Typical(directory.TierRemote, 8*gib) > 6*time.Second) // other sizes follow
	for range 3 {
		e.Observe(directory.TierRemote, 16*gib, 3500*time.Millisecond)
	}
	is.True(e.Typical(directory.TierRemote, 16*gib) < 5*time.Second)
}

func TestEstimatorSeesTwoLoadsThatDoNotEnd(t *testing.T) {
	is := is.New(t)
	e := trained(200)
	tail := e.Tail(directory.TierRemote, 16*gib)
	e.Running(directory.TierRemote, e.Ratio(directory.TierRemote, 16*gib, 12*time.Second))
	is.True(e.Typical(directory.TierRemote, 16*gib) >= 11*time.Second)
	e.Running(directory.TierRemote, 0)
	is.Equal(e.Tail(directory.TierRemote, 16*gib), tail)
}

func TestArrivalsLearnANightlyJob(t *testing.T) {
	is := is.New(t)
	var a arrivals
	at := 2 * time.Hour
	for night := range 4 {
		jitter := time.Duration(night%2) * 20 * time.Second
		a.observe(time.Duration(night)*day+at+jitter, 5)
	}
	now := 4*day + at - time.Hour
	a.expire(now)
	from, until, found := a.expected(now)
	is.True(found)
	is.True(from < 4*day+at && until > 4*day+at+20*time.Second)
	is.True(until-from < 20*time.Minute)
	a.expire(8 * day) // the job stopped
	_, _, found = a.expected(8 * day)
	is.True(!found)
}
