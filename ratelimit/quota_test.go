package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testWindow = 8 * time.Second

// limitOf returns the most that calls may cost in a window.
func limitOf(rate, burst, over, slack float64) float64 {
	return (rate*testWindow.Seconds()+burst)*(1+over) + slack
}

// TestBoundOfQuota checks the inequality of the bound at its corners: what a window can use is what the bucket holds at its
// beginning and what is added, also by a clock that runs fast; a new leader and the nodes that still hold something of two
// earlier ones together hold no more than the capacity.
func TestBoundOfQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 1e6).Draw(t, "rate")
		burst := rapid.Float64Range(0, 1e6).Draw(t, "burst")
		over := rapid.SampledFrom([]float64{0, 0.01, 0.1, 1}).Draw(t, "over")
		slack := rapid.SampledFrom([]float64{0, 1, 11000}).Draw(t, "slack")
		b := BoundQuota(rate, burst, testWindow, over, slack)
		most := limitOf(rate, burst, over, slack) * (1 + 1e-9)
		if b.Capacity+b.Rate*testWindow.Seconds()*(1+clockDrift) > most {
			t.Fatalf("a window can use too much: %+v", b)
		}
		if b.Out > b.Capacity || b.Out+b.NewRate*chargeTTL.Seconds() > b.Capacity*(1+1e-9) ||
			b.NewRate*(chargeTTL+ShareTTL).Seconds() > b.Capacity*(1+1e-9) {
			t.Fatalf("leaders in succession can hand out too much: %+v", b)
		}
		if b.Rate < 0.98*rate || b.Capacity < burst*(1-1e-9) || b.Ahead < 0 || b.NewRate < 0 {
			t.Fatalf("less than the quota: %+v", b)
		}
	})
}

// TestNoWindowExceedsQuota has callers want many times a quota while messages are lost and delayed, nodes are cut off,
// frozen and restarted with something in hand, leaders are replaced, the limit is changed and calls give back their costs.
func TestNoWindowExceedsQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{2, 300, 2700, 30000}).Draw(t, "rate")
		burst := rate * rapid.SampledFrom([]float64{0.5, 1, 4}).Draw(t, "bursts")
		over := rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "over")
		slack := rapid.SampledFrom([]float64{0, 11000}).Draw(t, "slack")
		change := rapid.SampledFrom([]float64{0.2, 1, 3}).Draw(t, "change")
		rolled := rapid.Bool().Draw(t, "rolled back")
		oldBuilds := rapid.SampledFrom([]float64{0, 0, 0.3}).Draw(t, "old builds")
		terms := rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Second}).Draw(t, "terms")
		const drift = 1.0 / 130
		low, high := rate*min(1, change), rate*max(1, change)
		bound := BoundQuota(rate, burst, testWindow, over, slack)
		s := newQuotaSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "nodes"), drift, map[string]QuotaBound{"a": bound})
		loss, lag := rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"), rapid.SampledFrom([]time.Duration{1e6, 5e7, 2e9}).Draw(t, "lag")
		s.delay = func() (time.Duration, bool) {
			d := time.Millisecond
			if s.rng.Float64() < 0.3 {
				d += time.Duration(s.rng.Int64N(int64(lag)))
			}
			return d, s.rng.Float64() >= loss
		}
		costs := []float64{bound.Out / 40, bound.Out / 7, bound.Out, 1}
		const changeAt, end = 20 * time.Second, 45 * time.Second
		var arrive, disturb func()
		calm := false
		arrive = func() {
			if s.rng.Float64() < 0.02 {
				calm = !calm
			}
			if !calm {
				n := s.nodes[s.rng.IntN(len(s.nodes))]
				var c *simCall
				c = n.call("a", costs[s.rng.IntN(len(costs))], time.Second, func() {
					life := n.life
					if s.rng.Float64() < 0.3 {
						s.after(time.Duration(s.rng.Int64N(int64(2*ReturnTime))), func() {
							if n.life == life {
								n.awake(func() { giveBackIfReturnable(n, c) })
							}
						})
					}
				})
			}
			s.after(time.Duration(s.rng.Int64N(int64(60*time.Millisecond))), arrive)
		}
		disturb = func() {
			n := s.nodes[s.rng.IntN(len(s.nodes))]
			lasts := time.Duration(s.rng.Int64N(int64(4 * time.Second)))
			switch s.rng.IntN(5) {
			case 0:
				n.frozenUntil = s.now + lasts
			case 1:
				n.cutUntil = s.now + lasts
			case 2:
				n.restart()
				n.old = s.rng.Float64() < oldBuilds
			}
			s.after(lasts/2, disturb)
		}
		var elect func()
		elect = func() {
			s.leader = nil
			s.after(time.Duration(s.rng.Int64N(int64(time.Second))), func() {
				s.newLeader(drift)
				s.oldLeader = s.rng.Float64() < oldBuilds
				s.after(time.Duration(s.rng.ExpFloat64()*float64(terms)), elect)
			})
		}
		arrive()
		disturb()
		s.after(time.Second, elect)
		configure := func(factor float64) func() {
			return func() {
				s.version++
				s.bounds = map[string]QuotaBound{"a": BoundQuota(rate*factor, burst*factor, testWindow, over, slack)}
			}
		}
		s.after(changeAt, configure(change))
		if rolled && change < 1 {
			// Back and forth before the window after the lowered limit, which binds all the same.
			s.after(changeAt+time.Second, configure(1))
			s.after(changeAt+2*time.Second, configure(change))
		}
		s.run(end)
		// A lower limit binds one window after nodes have let go of what they held under the higher one.
		settled := changeAt + testWindow
		if rolled {
			settled += 2 * time.Second
		}
		if used, most := s.busiest("a", testWindow, 0, end), limitOf(high, burst*high/rate, over, slack); used > most*(1+1e-9) {
			t.Fatalf("%.1f used in a window, %.1f allowed", used, most)
		}
		if change < 1 {
			if used, most := s.busiest("a", testWindow, settled, end), limitOf(low, burst*low/rate, over, slack); used > most*(1+1e-9) {
				t.Fatalf("%.1f used in a window after the limit was lowered, %.1f allowed", used, most)
			}
		}
	})
}

// giveBackIfReturnable gives a call's cost back; later than ReturnTime, the node ignores it and the cost counts as used.
func giveBackIfReturnable(n *simNode, c *simCall) {
	sh := n.shares.of(c.tenant)
	sh.expire(n.shares.term, n.clock())
	if slices.ContainsFunc(sh.returnable, func(t taken) bool { return t.id == c.call.ID }) {
		n.giveBack(c)
	}
}

// tenantLoad is what a tenant's callers send.
type tenantLoad struct {
	tenant    string
	perSecond float64
	calls     []*simCall
}

// unequalTenants returns 16 tenants whose calls are distributed as the sizes of towns are, and their quotas: 1.8 times what they
// usually use, as on the deployments of the operators who asked for quotas.
func unequalTenants(callsPerSecond float64) ([]*tenantLoad, map[string]QuotaBound) {
	var loads []*tenantLoad
	bounds := map[string]QuotaBound{}
	var sum float64
	for i := range 16 {
		sum += 1 / float64(i+1)
	}
	for i := range 16 {
		l := &tenantLoad{tenant: string(rune('A' + i)), perSecond: callsPerSecond / float64(i+1) / sum}
		rate := 1.8 * l.perSecond * meanCost
		bounds[l.tenant] = BoundQuota(rate, rate, testWindow, 0.1, 11000)
		loads = append(loads, l)
	}
	return loads, bounds
}

// meanCost is the mean cost of callCost.
const meanCost = 0.46*1500 + 0.22*650 + 0.32*200

func callCost(rng *rand.Rand) (cost float64, target time.Duration) {
	switch x := rng.Float64(); {
	case x < 0.46:
		return 1300 + 400*rng.Float64(), 400 * time.Millisecond
	case x < 0.68:
		return 650, 250 * time.Millisecond
	default:
		return 200, 100 * time.Millisecond
	}
}

// schedule lets the calls of a tenant arrive evenly spread over the nodes until a time, factor times as many as usual.
func (l *tenantLoad) schedule(s *quotaSim, until time.Duration, factor float64) {
	next := func() time.Duration {
		return time.Duration(s.rng.ExpFloat64() / (l.perSecond * factor) * float64(time.Second))
	}
	var arrive func()
	arrive = func() {
		if s.now >= until {
			return
		}
		cost, target := callCost(s.rng)
		l.calls = append(l.calls, s.nodes[s.rng.IntN(len(s.nodes))].call(l.tenant, cost, min(target/2, 50*time.Millisecond), nil))
		s.after(next(), arrive)
	}
	s.after(next(), arrive)
}

// outcomes returns the number of refused calls, what the others cost, and the waits that all but a hundredth of them stay below.
func (l *tenantLoad) outcomes() (refused int, taken float64, wait time.Duration) {
	var waits []time.Duration
	for _, c := range l.calls {
		if c.verdict.Outcome != QuotaTaken {
			refused++
			continue
		}
		taken += c.call.Cost
		waits = append(waits, c.wait)
	}
	slices.Sort(waits)
	return refused, taken, waits[len(waits)*99/100]
}

// TestUnequalTenantsBeforeManyNodes replays the load: nobody below its quota is refused, and calls wait for a few round
// trips at most, also while the calls of one tenant are 7.5 times as many as usual. That tenant gets its quota.
func TestUnequalTenantsBeforeManyNodes(t *testing.T) {
	for _, load := range []struct {
		name         string
		nodes        int
		perSecond    float64
		hot          int
		from, played time.Duration
	}{
		{"72 nodes", 72, 278, -1, 14 * time.Second, 20 * time.Second},
		{"72 nodes, large one hot", 72, 278, 0, 14 * time.Second, 20 * time.Second},
		{"72 nodes, small one hot", 72, 278, 15, 14 * time.Second, 20 * time.Second},
		{"370 nodes, one hot", 370, 1400, 1, 14 * time.Second, 8 * time.Second},
	} {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			loads, bounds := unequalTenants(load.perSecond)
			s := newQuotaSim(1, load.nodes, 1.0/1000, bounds)
			s.run(load.from)
			for i, l := range loads {
				factor := 1.0
				if i == load.hot {
					factor = 7.5
				}
				l.schedule(s, load.from+load.played, factor)
			}
			s.run(load.from + load.played + 3*time.Second)
			for i, l := range loads {
				refused, taken, wait := l.outcomes()
				quota := bounds[l.tenant].Rate * load.played.Seconds()
				t.Logf("tenant %s: %d calls, %d refused, %.2f of the quota used, wait %v", l.tenant, len(l.calls), refused, taken/quota, wait)
				if i == load.hot {
					is.True(taken >= 0.9*quota) // gets its quota
					is.True(wait <= 225*time.Millisecond)
					continue
				}
				is.Equal(refused, 0)
				is.True(wait <= 25*time.Millisecond)
			}
			for _, q := range s.leader.Overview(s.leaderClock()) {
				t.Logf("tenant %s: %+v", q.Tenant, q.QuotaCounts)
				is.True(q.Below <= 0.1*q.Refused) // the metric tells a hot tenant from one that lacks its quota
			}
			t.Logf("%.0f reports per second", float64(s.reports)/load.played.Seconds())
		})
	}
}

// ideal replays the tenant's calls against one bucket at one place, and returns those that it would let run but that were
// refused, by whether they arrived before or after a time.
func (l *tenantLoad) refusedBelow(bound QuotaBound, split time.Duration) (before, after int) {
	level, at := bound.Burst, time.Duration(0)
	for _, c := range l.calls {
		level, at = min(bound.Burst, level+bound.Rate*(c.arrived-at).Seconds()), c.arrived
		if level < c.call.Cost {
			continue
		}
		level -= c.call.Cost
		switch {
		case c.verdict.Outcome == QuotaTaken:
		case c.arrived < split:
			before++
		default:
			after++
		}
	}
	return before, after
}

// changeOfLeader plays tenants that use a share of their quotas, by turns half as much again and half as much for a second. The
// leader is lost for a while. It returns the calls that were refused although one bucket at one place would let them run, by
// whether they arrived before there was no leader or after, and the number of those that arrived after.
func changeOfLeader(t *testing.T, seed uint64, lost time.Duration, use float64, reserves bool) (before, after, calls int) {
	var during int
	loads, bounds := unequalTenants(278)
	s := newQuotaSim(seed, 72, 1.0/1000, bounds)
	s.oldLeader = !reserves
	const from, lostAt = 14 * time.Second, 20 * time.Second
	until := lostAt + lost + 5*time.Second
	s.run(from)
	for i := range loads {
		for at := from; at < until; at += time.Second {
			factor := 1.8 * use * (0.5 + float64((int(at/time.Second)+i)%2))
			s.after(at-s.now, func() { loads[i].schedule(s, min(until, at+time.Second), factor) })
		}
	}
	s.run(lostAt)
	s.leader = nil
	s.run(lostAt + lost)
	s.newLeader(1.0 / 1000)
	s.run(until + 3*time.Second)
	var waits []time.Duration
	for _, l := range loads {
		calmly, _ := l.refusedBelow(bounds[l.tenant], lostAt)
		early, late := l.refusedBelow(bounds[l.tenant], lostAt+lost)
		before, during, after = before+calmly, during+early-calmly, after+late
		for _, c := range l.calls {
			if c.arrived >= lostAt+lost {
				waits = append(waits, c.wait)
			}
		}
	}
	slices.Sort(waits)
	t.Logf("lost for %v at %.1f of the quotas, reserves %v: %d refused below quota before, %d meanwhile, %d of %d (%.2f %%) after; 9 in 10 then waited %v at most",
		lost, use, reserves, before, during, after, len(waits), 100*float64(after)/float64(len(waits)), waits[len(waits)*9/10])
	return before, after, len(waits)
}

// TestChangeOfLeaderBelowQuota loses the leader. The reserve spares at least half of the calls below quota that a leader
// which begins with nothing refuses, and nearly all at the usual use; it costs hardly any meanwhile.
func TestChangeOfLeaderBelowQuota(t *testing.T) {
	is := is.New(t)
	var with, without, calm int
	for _, lost := range []time.Duration{0, time.Second, 3 * time.Second} {
		for _, use := range []float64{0.5, 0.7, 0.9} {
			before, after, calls := changeOfLeader(t, 1, lost, use, true)
			_, empty, _ := changeOfLeader(t, 1, lost, use, false)
			with, without, calm = with+after, without+empty, calm+before
			if use == 0.5 {
				is.Equal(before, 0)
				is.True(float64(after) <= 0.005*float64(calls))
			}
		}
	}
	t.Logf("%d refused after, %d without reserves; %d before", with, without, calm)
	is.True(2*with <= without)
}

// fullBound is the bound of a quota without slack.
var fullBound = BoundQuota(300, 300, testWindow, 0.1, 0)

func boundOnly(b QuotaBound) func(string) (QuotaBound, bool) {
	return func(string) (QuotaBound, bool) { return b, true }
}

// TestWhatANodeHoldsIsVoidInTime has a node hold tokens that its leader has not confirmed for ShareTTL.
func TestWhatANodeHoldsIsVoidInTime(t *testing.T) {
	is := is.New(t)
	const askedAt = time.Minute
	at := func(age time.Duration) (QuotaVerdict, bool) {
		s := NewShares(1)
		r, _ := s.Report(askedAt)
		s.Apply(ShareAnswer{Term: 1, Seq: r.Seq, Grants: []ShareGrant{{Tenant: "a", Amount: 10}}}, askedAt, askedAt+time.Millisecond)
		return s.Take("a", fullBound, QuotaCall{ID: 1, Cost: 10, Limit: 2 * askedAt}, askedAt+age)
	}
	v, decided := at(ShareTTL - 1)
	is.True(decided && v.Outcome == QuotaTaken)
	_, decided = at(ShareTTL)
	is.True(!decided)
}

// TestLateAnswersAreIgnored has answers arrive to a report that is not the latest, and from a deposed leader.
func TestLateAnswersAreIgnored(t *testing.T) {
	is := is.New(t)
	s := NewShares(1)
	grant := func(term, seq uint64) bool {
		s.Apply(ShareAnswer{Term: term, Seq: seq, Grants: []ShareGrant{{Tenant: "a", Amount: 10}}}, time.Minute, time.Minute)
		v, decided := s.Take("a", fullBound, QuotaCall{ID: 1, Cost: 10, Limit: 2 * time.Minute}, time.Minute)
		s.Withdraw("a", 1)
		return decided && v.Outcome == QuotaTaken
	}
	s.Report(time.Minute)
	s.Report(time.Minute)
	is.True(!grant(2, 1))
	is.True(grant(2, 2))
	s.Report(time.Minute)
	is.True(!grant(1, 3))
	is.True(grant(2, 3))
}

// TestLeaderAccountsOncePerReport has reports arrive late, and a limit that falls below what a node holds.
func TestLeaderAccountsOncePerReport(t *testing.T) {
	is := is.New(t)
	q, now := NewQuotas(1, 0), time.Minute
	report := func(bound QuotaBound, seq uint64, s Share) []ShareGrant {
		s.Tenant = "a"
		return q.Report("n", ShareReport{Term: 1, Seq: seq, Shares: []Share{s}}, boundOnly(bound), now).Grants
	}
	is.Equal(report(fullBound, 1, Share{Need: 200, First: 200})[0].Amount, 200.0)
	is.Equal(q.Overview(now)[0].Held, 200.0)
	is.Equal(len(report(fullBound, 3, Share{Held: 150, Used: 50})), 0)
	is.Equal(len(report(fullBound, 2, Share{Used: 10})), 0) // does not give back what the node still holds
	is.Equal(q.Overview(now)[0].Held, 150.0)
	is.Equal(q.Overview(now)[0].Level, fullBound.Capacity-200) // nothing was given back
	lower := BoundQuota(30, 30, testWindow, 0.1, 0)
	is.True(report(lower, 4, Share{Held: 150, Used: 50})[0].Return)
	report(lower, 5, Share{Used: 50})
	is.Equal(q.Overview(now)[0].Held, 0.0)
	is.True(q.Overview(now)[0].Level <= lower.Capacity)
}

// BenchmarkQuotaReport takes one report of a node of 370, each with calls of four tenants.
func BenchmarkQuotaReport(b *testing.B) {
	q := NewQuotas(1, 0)
	bound := BoundQuota(1e6, 1e6, testWindow, 0.1, 11000)
	for i := range b.N {
		n, seq := i%370, uint64(i/370+1)
		r := ShareReport{Term: 1, Seq: seq}
		for t := range 4 {
			r.Shares = append(r.Shares, Share{Tenant: string(rune('A' + (n+t)%16)), Held: 1000, Used: 1000 * float64(seq), Need: 1500, First: 1500})
		}
		q.Report(fmt.Sprint(n), r, boundOnly(bound), time.Minute+time.Duration(i)*300*time.Microsecond)
	}
}
