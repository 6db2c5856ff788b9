package ratelimit

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// quotaSim plays nodes and leaders in virtual time. The clocks of nodes and leaders run at different rates.
type quotaSim struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	// leader is nil while there is none. previous is the term of the latest one, and version that of the configuration.
	leader         *Quotas
	term, previous uint64
	version        uint64
	// leaderRate is the rate of the leader's clock; delay returns that of a message, and false if it is lost.
	leaderRate float64
	// oldLeader is set while the leader is of a build that knows no reserves.
	oldLeader bool
	delay     func() (time.Duration, bool)
	bounds    map[string]QuotaBound
	nodes     []*simNode
	// uses are the costs taken by tenant and call; ends are the verdicts on other calls.
	uses  map[string]map[uint64]use
	calls map[uint64]*simCall
	last  uint64
	// reports counts the reports that reached a leader.
	reports int
}

type simCall struct {
	tenant  string
	call    QuotaCall
	arrived time.Duration
	ended   bool
	wait    time.Duration
	verdict QuotaVerdict
	// afterwards is called once the call has taken its cost.
	afterwards func()
}

type use struct {
	at   time.Duration
	cost float64
}

type simNode struct {
	sim         *quotaSim
	index       int
	rate        float64
	shares      *Shares
	frozenUntil time.Duration
	cutUntil    time.Duration
	// asking is set while a report awaits its answer; again if another one is due then. nextAt is the planned report.
	asking, again bool
	life          int
	// old is set if the node is of a build that knows no reserves.
	old    bool
	nextAt time.Duration
}

type event struct {
	at time.Duration
	n  uint64
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].n, q[j].n)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newQuotaSim(seed uint64, nodes int, drift float64, bounds map[string]QuotaBound) *quotaSim {
	s := &quotaSim{rng: rand.New(rand.NewPCG(seed, 1)), version: 1, bounds: bounds, uses: map[string]map[uint64]use{}, calls: map[uint64]*simCall{}}
	s.delay = func() (time.Duration, bool) {
		return 200*time.Microsecond + time.Duration(s.rng.Int64N(int64(1200*time.Microsecond))), true
	}
	s.newLeader(drift)
	for i := range nodes {
		n := &simNode{sim: s, index: i, rate: 1 + drift*(s.rng.Float64()-0.5)}
		n.restart()
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *quotaSim) newLeader(drift float64) {
	s.previous = s.term
	s.term += 1 + s.rng.Uint64N(2) // elections may fail
	s.leaderRate = 1 + drift*(s.rng.Float64()-0.5)
	s.leader = NewQuotas(s.term, s.leaderClock())
}

func (s *quotaSim) leaderClock() time.Duration {
	return time.Hour + time.Duration(float64(s.now)*s.leaderRate)
}

func (s *quotaSim) bound(tenant string) (QuotaBound, bool) { b, ok := s.bounds[tenant]; return b, ok }

// oldBound returns the bound by which builds without reserves go.
func (s *quotaSim) oldBound(tenant string) (QuotaBound, bool) {
	b, ok := s.bounds[tenant]
	b.Out, b.Reserve = b.OutAll, 0
	return b, ok
}

func (s *quotaSim) after(d time.Duration, do func()) {
	s.last++
	heap.Push(&s.queue, event{s.now + d, s.last, do})
}

func (s *quotaSim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// restart replaces the node's process. The calls that it had are lost.
func (n *simNode) restart() {
	n.life++
	n.shares = NewShares(n.sim.rng.Uint64())
	n.asking, n.again = false, false
	n.plan(0)
	n.tick(n.life)
}

func (n *simNode) clock() time.Duration {
	return time.Minute + time.Duration(float64(n.sim.now)*n.rate)
}

// awake runs do once the node is not frozen, unless its process has been replaced.
func (n *simNode) awake(do func()) {
	life := n.life
	if n.sim.now < n.frozenUntil {
		n.sim.after(n.frozenUntil-n.sim.now, func() {
			if n.life == life {
				n.awake(do)
			}
		})
		return
	}
	do()
}

func (n *simNode) tick(life int) {
	n.sim.after(20*time.Millisecond, func() {
		if n.life != life {
			return
		}
		n.awake(func() {
			n.deliver(n.shares.Tick(n.clock()))
			n.tick(life)
		})
	})
}

// plan plans a report, unless an earlier one is.
func (n *simNode) plan(in time.Duration) {
	at := n.sim.now + in
	if n.nextAt > n.sim.now && n.nextAt <= at {
		return
	}
	n.nextAt = at
	life := n.life
	n.sim.after(in, func() {
		if n.life == life && n.nextAt == at {
			n.awake(n.report)
		}
	})
}

func (n *simNode) report() {
	if n.asking {
		n.again = true
		return
	}
	r, tells := n.shares.Report(n.clock())
	next := func(gap time.Duration) {
		n.asking = false
		in := 250 * time.Millisecond
		if calls, askAt := n.shares.Waiting(n.clock()); calls > 0 {
			in = min(in, askAt-n.clock())
		}
		if n.again {
			in, n.again = 0, false
		}
		n.plan(max(in, gap))
	}
	if !tells {
		next(3 * time.Millisecond)
		return
	}
	n.asking = true
	askedAt, life, s, done := n.clock(), n.life, n.sim, false
	s.after(400*time.Millisecond, func() {
		if n.life == life && !done {
			done = true
			n.awake(func() { next(50 * time.Millisecond) })
		}
	})
	cut := func() bool { return s.now < n.cutUntil }
	lag, ok := s.delay()
	if !ok || cut() {
		return
	}
	s.after(lag, func() {
		if s.leader == nil {
			s.after(lag, func() {
				if n.life == life && !done {
					done = true
					n.awake(func() { next(50 * time.Millisecond) })
				}
			})
			return
		}
		s.reports++
		if n.old {
			for i := range r.Shares {
				r.Shares[i].Kept = KeptReserve{}
			}
		}
		bound := s.bound
		if s.oldLeader {
			bound = s.oldBound
		} else {
			s.leader.Succeed(s.previous, s.version)
		}
		answer := s.leader.Report(string(rune('a'+n.index)), r, bound, s.leaderClock())
		if n.old {
			answer.Kept = nil
		}
		lag, ok := s.delay()
		if !ok || cut() {
			return
		}
		s.after(lag, func() {
			if n.life != life || done {
				return
			}
			n.awake(func() {
				if done {
					return
				}
				done = true
				n.deliver(n.shares.Apply(answer, askedAt, n.clock()))
				next(3 * time.Millisecond)
			})
		})
	})
}

// call lets a call arrive at the node.
func (n *simNode) call(tenant string, cost float64, patience time.Duration, afterwards func()) *simCall {
	n.sim.last++
	c := &simCall{tenant: tenant, arrived: n.sim.now, afterwards: afterwards}
	n.sim.calls[n.sim.last] = c
	c.call = QuotaCall{ID: n.sim.last, Cost: cost}
	n.awake(func() {
		now := n.clock()
		c.call.Arrived, c.call.Limit, c.call.LeaderLimit = now, now+patience, now+2*time.Second
		v, decided := n.shares.Take(tenant, n.sim.bounds[tenant], c.call, now)
		if decided {
			n.deliver([]QuotaVerdict{v})
			return
		}
		n.plan(0)
	})
	return c
}

func (n *simNode) deliver(verdicts []QuotaVerdict) {
	s := n.sim
	for _, v := range verdicts {
		c := s.calls[v.ID]
		c.ended, c.verdict, c.wait = true, v, s.now-c.arrived
		if v.Outcome != QuotaTaken {
			continue
		}
		if s.uses[c.tenant] == nil {
			s.uses[c.tenant] = map[uint64]use{}
		}
		s.uses[c.tenant][v.ID] = use{s.now, c.call.Cost}
		if c.afterwards != nil {
			c.afterwards()
		}
	}
}

// giveBack gives back the cost of a call that did not run.
func (n *simNode) giveBack(c *simCall) {
	delete(n.sim.uses[c.tenant], c.call.ID)
	n.deliver(n.shares.GiveBack(c.tenant, c.call.ID, n.clock()))
}

// busiest returns the most that was used of a tenant's quota in a window that begins between the given times.
func (s *quotaSim) busiest(tenant string, window, from, until time.Duration) float64 {
	var all []use
	for _, u := range s.uses[tenant] {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b use) int { return cmp.Compare(a.at, b.at) })
	var most, sum float64
	end := 0
	for _, first := range all {
		for end < len(all) && all[end].at <= first.at+window {
			sum += all[end].cost
			end++
		}
		if first.at >= from && first.at <= until {
			most = max(most, sum)
		}
		sum -= first.cost
	}
	return most
}
