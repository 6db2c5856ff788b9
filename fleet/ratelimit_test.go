package fleet_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
)

func limited(seq uint64, perSecond float64) fleet.RateLimit {
	return fleet.RateLimit{Seq: seq, Limited: true, PerSecond: perSecond}
}

// TestLimitIsLiftedByLaterAnswersOnly checks that an answer to a call sent before its node knew of
// the limit ends or raises no limit, and that a stricter one holds at once.
func TestLimitIsLiftedByLaterAnswersOnly(t *testing.T) {
	is := is.New(t)
	none := fleet.RateLimit{}
	is.Equal(none.Observe(limited(0, 2), false), limited(1, 2))
	is.Equal(limited(1, 2).Observe(none, false), limited(1, 2))
	is.Equal(limited(1, 2).Observe(limited(0, 3), false), limited(1, 2))
	is.Equal(limited(1, 2).Observe(limited(0, 1), false), limited(2, 1))
	is.Equal(limited(1, 2).Observe(limited(0, 2), true), limited(1, 2))
	is.Equal(limited(1, 2).Observe(limited(0, 3), true), limited(2, 3))
	is.Equal(limited(1, 2).Observe(none, true), fleet.RateLimit{Seq: 2})
}

// TestNodesAgreeOnTheLatestLimit exchanges what several nodes have learned in any order.
func TestNodesAgreeOnTheLatestLimit(t *testing.T) {
	is := is.New(t)
	is.True(limited(2, 5).Supersedes(limited(1, 1)))
	is.True(!limited(1, 1).Supersedes(limited(1, 1)))
	is.True(limited(1, 0).Supersedes(fleet.RateLimit{Seq: 1})) // of two changes with one number, the stricter
	is.True(!fleet.RateLimit{Seq: 1}.Supersedes(limited(1, 9)))
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 1))
		changes := make([]fleet.RateLimit, 12)
		for i := range changes {
			changes[i] = fleet.RateLimit{Seq: uint64(random.IntN(4))}
			if random.IntN(2) == 0 {
				changes[i] = limited(changes[i].Seq, float64(random.IntN(3)))
			}
		}
		merged := func() (latest fleet.RateLimit) {
			for _, i := range random.Perm(len(changes)) {
				if changes[i].Supersedes(latest) {
					latest = changes[i]
				}
			}
			return latest
		}
		is.Equal(merged(), merged())
	}
}

// TestRateLimitEndsWithIncarnation checks that announcements of an incarnation keep its limit, that
// another registry learns of it, and that the next incarnation starts without one.
func TestRateLimitEndsWithIncarnation(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Announce(upstream("u", "a:1", 5, 3), 0)
	u := fleet.Incarnation{ID: "u", Born: 5}
	before := r.Revision()
	is.True(r.SetRateLimit(u, limited(1, 2)))
	is.True(!r.SetRateLimit(u, limited(1, 2)))
	is.Equal(r.Revision(), before+1)
	is.True(!r.SetRateLimit(fleet.Incarnation{ID: "u", Born: 4}, limited(2, 1)))
	is.True(!r.SetRateLimit(fleet.Incarnation{ID: "x", Born: 5}, limited(2, 1)))
	is.Equal(r.Announce(upstream("u", "a:1", 5, 4), second), fleet.Taken)
	is.Equal(r.Revision(), before+1)
	other := newRegistry()
	other.Merge(r.Since(0), second)
	for _, registry := range []*fleet.Registry{r, other} {
		got, _ := registry.Get("u")
		is.Equal(got.RateLimit, limited(1, 2))
		registry.Announce(upstream("u", "a:1", 6, 1), 2*second)
		got, _ = registry.Get("u")
		is.Equal(got.RateLimit, fleet.RateLimit{})
	}
}
