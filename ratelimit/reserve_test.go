package ratelimit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestSuccessiveLeadersStayWithinCapacity has one leader hand out all that it may to a node that is then cut off, and two
// others follow. What all nodes hold at any time is no more than the capacity.
func TestSuccessiveLeadersStayWithinCapacity(t *testing.T) {
	is := is.New(t)
	for _, second := range []time.Duration{ShareTTL / 4, ShareTTL - 1, chargeTTL, 2 * chargeTTL} {
		type held struct {
			amount float64
			until  time.Duration
		}
		var hands []held
		began := 2 * time.Hour
		q := NewQuotas(1, began-time.Minute)
		seq := uint64(0)
		for now := began - 10*time.Millisecond; now < began+5*time.Second; now += 5 * time.Millisecond {
			switch now {
			case began, began + second.Truncate(10*time.Millisecond):
				q = NewQuotas(q.term+1, now)
			}
			seq++
			node := fmt.Sprint("node", seq) // never heard of again
			need := fullBound.Rate / 200
			if q.term == 1 {
				need = fullBound.Out
			}
			wants := []Share{{Tenant: "a", Need: need, First: 1, Patience: time.Millisecond}}
			answer := q.Report(node, ShareReport{Seq: 1, Shares: wants}, boundOnly(fullBound), now)
			for _, g := range answer.Grants {
				hands = append(hands, held{g.Amount, now + ShareTTL})
			}
			var sum float64
			for _, h := range hands {
				if h.until > now {
					sum += h.amount
				}
			}
			is.True(sum <= fullBound.Capacity*(1+1e-9))
		}
	}
}

// TestReserveIsHandedOnOnce has leaders follow each other and hand out all that they may to nodes of which some use it at
// once, and others at the last moment without a report. Any word of any leader reaches any later one. Over spans of every
// length the nodes use no more than the capacity and what is added.
func TestReserveIsHandedOnOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{300, 2700, 30000}).Draw(t, "rate")
		bound := BoundQuota(rate, rate*rapid.SampledFrom([]float64{0.5, 1, 4}).Draw(t, "bursts"), testWindow, 0.1, rapid.SampledFrom([]float64{0, 11000}).Draw(t, "slack"))
		lower := BoundQuota(rate/10, rate/10, testWindow, 0.1, 0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		heard := rapid.SampledFrom([]float64{0.5, 0.01}).Draw(t, "heard")
		held := rapid.SampledFrom([]float64{0.3, 1}).Draw(t, "held")
		lowered := rapid.Bool().Draw(t, "lowered for a while")
		var uses []use
		var words []KeptReserve
		q, version, term, previous := (*Quotas)(nil), uint64(1), uint64(0), uint64(0)
		electAt := time.Duration(0)
		for step, now := 0, time.Duration(0); now < 20*time.Second; step, now = step+1, now+5*time.Millisecond {
			if now >= electAt {
				previous, term = term, term+1+rng.Uint64N(2)
				q, electAt = NewQuotas(term, now), now+time.Duration(rng.ExpFloat64()*float64([]time.Duration{200 * time.Millisecond, 3 * time.Second}[rng.IntN(2)]))
			}
			inForce := bound
			if lowered && now >= 8*time.Second && now < 8*time.Second+200*time.Millisecond {
				inForce, version = lower, 2
			} else if version == 2 {
				version = 3
			}
			q.Succeed(previous, version)
			node := fmt.Sprint(step)
			seq := uint64(0)
			report := func(s Share) (granted float64) {
				s.Tenant, s.Patience, seq = "a", time.Millisecond, seq+1
				if len(words) > 0 && rng.Float64() < heard {
					s.Kept = words[len(words)-1-rng.IntN(min(len(words), 3))]
				}
				a := q.Report(node, ShareReport{Term: term, Seq: seq, Shares: []Share{s}}, boundOnly(inForce), now)
				if kept := (KeptReserve{a.Term, a.Version}); len(a.Kept) > 0 && (len(words) == 0 || words[len(words)-1] != kept) {
					words = append(words, kept)
				}
				for _, g := range a.Grants {
					granted += g.Amount
				}
				return granted
			}
			if now%(5*time.Second) < 1500*time.Millisecond {
				report(Share{}) // calm, while the bucket fills
				continue
			}
			need := inForce.Out * []float64{0.01, 0.2, 1}[rng.IntN(3)]
			got := report(Share{Need: need, First: 1})
			if rng.Float64() < held {
				uses = append(uses, use{now + ShareTTL, got})
			} else {
				uses = append(uses, use{now, got})
				report(Share{Used: got})
			}
		}
		slices.SortFunc(uses, func(a, b use) int { return cmp.Compare(a.at, b.at) })
		left, at := bound.Capacity, time.Duration(0)
		for _, u := range uses {
			left, at = min(bound.Capacity, left+bound.Rate*(u.at-at).Seconds())-u.cost, u.at
			if left < -1e-6*bound.Capacity {
				t.Fatalf("%v: %.1f more used than the capacity %.1f allows", u.at, -left, bound.Capacity)
			}
		}
	})
}

// TestReserveAtItsCorners has a leader keep the reserve, and nodes want all that they can get from it and those that follow.
func TestReserveAtItsCorners(t *testing.T) {
	const began, soon = time.Hour, time.Hour + time.Minute
	bound := BoundQuota(2700, 2700, testWindow, 0.1, 11000)
	lower := BoundQuota(270, 270, testWindow, 0.1, 0)
	kept := KeptReserve{Term: 1, Version: 1}
	nodes := 0
	// all returns what a node that has not been heard of gets, which wants as much as a call may cost.
	all := func(q *Quotas, b QuotaBound, word KeptReserve, now time.Duration) float64 {
		nodes++
		need := Share{Tenant: "a", Need: b.Out, First: 1, Patience: time.Millisecond, Kept: word}
		return q.Report(fmt.Sprint("node", nodes), ShareReport{Seq: 1, Shares: []Share{need}}, boundOnly(b), now).Grants[0].Amount
	}
	leader := func(term, version uint64, at time.Duration) *Quotas {
		q := NewQuotas(term, at)
		q.Succeed(term-1, version)
		return q
	}
	keeps := func(t *testing.T) *Quotas {
		q := leader(1, 1, began)
		a := q.Report("n", ShareReport{Seq: 1, Shares: []Share{{Tenant: "a", Refused: 1}}}, boundOnly(bound), soon)
		is.New(t).Equal(a.Kept, []string{"a"})
		return q
	}
	t.Run("three leaders at once", func(t *testing.T) {
		is := is.New(t)
		sum := all(keeps(t), bound, KeptReserve{}, soon)
		is.Equal(sum, bound.Out)
		second := leader(2, 1, soon)
		got := all(second, bound, kept, soon)
		is.True(got > 0 && got >= min(bound.Reserve, bound.OutAll-bound.Out)-1)
		sum += got
		third := leader(3, 1, soon)
		for now := soon; now < soon+ShareTTL; now += 50 * time.Millisecond {
			sum += all(third, bound, kept, now)
			is.True(sum <= bound.Capacity) // nothing of it is void yet
		}
	})
	t.Run("word comes late", func(t *testing.T) {
		is := is.New(t)
		q := leader(2, 1, began)
		got := all(q, bound, KeptReserve{}, soon)
		is.Equal(got, bound.Out) // of a full bucket
		q.Report(fmt.Sprint("node", nodes), ShareReport{Term: 2, Seq: 2, Shares: []Share{{Tenant: "a", Used: got}}}, boundOnly(bound), soon)
		before := q.Overview(soon)[0].Level
		got = all(q, bound, kept, soon)
		is.True(got+q.Overview(soon)[0].Level <= before)
	})
	t.Run("other limits", func(t *testing.T) {
		is := is.New(t)
		q := leader(2, 2, soon)
		all(q, lower, kept, soon)
		is.Equal(q.Overview(soon)[0].Level, 0.0) // the last one may have cut its level
		first := keeps(t)
		all(first, lower, KeptReserve{}, soon)
		first.Succeed(0, 2)
		a := first.Report("n", ShareReport{Seq: 2, Shares: []Share{{Tenant: "a", Refused: 1}}}, boundOnly(bound), soon)
		is.Equal(len(a.Kept), 0) // raised again, the bucket is not full
	})
	t.Run("another leader between", func(t *testing.T) {
		is := is.New(t)
		is.Equal(all(leader(3, 1, soon), bound, kept, soon), 0.0)
		is.Equal(all(leader(2, 0, soon), bound, kept, soon), 0.0) // does not know
		is.True(all(leader(2, 1, soon), bound, kept, soon) > 0)
	})
}
