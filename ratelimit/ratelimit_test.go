package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/ratelimit"
)

var engine = fleet.Incarnation{ID: "e", Born: 1}

// simulation is a set of nodes that send calls to one upstream with a limit. A step is 10 ms.
type simulation struct {
	random    *rand.Rand
	limit     float64
	allocator *ratelimit.Allocator
	nodes     []*simulatedNode
	// sent holds when calls were sent.
	sent []time.Duration
}

// simulatedNode asks the leader at intervals and gets its answers late.
type simulatedNode struct {
	name    string
	permits ratelimit.Permits
	waiting []time.Duration
	recent  int
	asksAt  time.Duration
	answer  ratelimit.Grant
	askedAt time.Duration
	// answeredAt is when the answer arrives; zero if none is under way.
	answeredAt time.Duration
}

const (
	step     = 10 * time.Millisecond
	patience = 1500 * time.Millisecond
)

func newSimulation(seed uint64, nodes int, limit float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, allocator: ratelimit.NewAllocator()}
	for i := range nodes {
		s.nodes = append(s.nodes, &simulatedNode{name: fmt.Sprint("n", i)})
	}
	return s
}

// run advances from start to end. arrive returns the node of each call that arrives in a step.
func (s *simulation) run(start, end time.Duration, arrive func(now time.Duration) []int) {
	for now := start; now < end; now += step {
		for _, i := range arrive(now) {
			s.nodes[i].waiting = append(s.nodes[i].waiting, now)
			s.nodes[i].asksAt = min(s.nodes[i].asksAt, now+step)
		}
		for _, n := range s.nodes {
			s.advance(n, now)
		}
	}
}

func (s *simulation) advance(n *simulatedNode, now time.Duration) {
	if n.answeredAt > 0 && now >= n.answeredAt {
		n.permits.Add(n.answer, n.askedAt, now)
		n.answeredAt = 0
	}
	for len(n.waiting) > 0 && n.permits.Use(now) {
		n.waiting = n.waiting[1:]
		s.sent = append(s.sent, now)
	}
	n.waiting = slices.DeleteFunc(n.waiting, func(at time.Duration) bool {
		late := now-at > patience
		if late {
			n.recent++
		}
		return late
	})
	if now < n.asksAt || n.answeredAt > 0 || len(n.waiting) == 0 && n.recent == 0 {
		return
	}
	n.answer = s.allocator.Grant(n.name, ratelimit.Want{Upstream: engine, Waiting: len(n.waiting), Recent: n.recent}, s.limit, now)
	n.askedAt, n.answeredAt, n.recent = now, now+time.Duration(1+s.random.IntN(5))*step, 0
	n.asksAt = now + 150*time.Millisecond
}

// most returns the most calls that were sent within four seconds, at any offset.
func (s *simulation) most() int {
	most := 0
	for i, at := range s.sent {
		j, _ := slices.BinarySearch(s.sent, at+4*time.Second)
		most = max(most, j-i)
	}
	return most
}

// TestCallsOfAllNodesStayWithinTheLimit has few and many nodes with more calls than the limit
// allows, spread evenly, all at one node, and moving from node to node. The leader is
// replaced at times. Nearly the whole limit must be used.
func TestCallsOfAllNodesStayWithinTheLimit(t *testing.T) {
	for _, nodes := range []int{1, 9, 200, 370} {
		for _, limit := range []float64{0.5, 1, 3, 20, 150} {
			for pattern, pick := range map[string]func(random *rand.Rand, now time.Duration) int{
				"even":   func(random *rand.Rand, _ time.Duration) int { return random.IntN(nodes) },
				"one":    func(*rand.Rand, time.Duration) int { return nodes / 2 },
				"moving": func(_ *rand.Rand, now time.Duration) int { return int(now/(700*time.Millisecond)) % nodes },
			} {
				for _, changes := range []bool{false, true} {
					name := fmt.Sprintf("%d nodes, %v a second, %s, leaders change %v", nodes, limit, pattern, changes)
					s := newSimulation(1, nodes, limit)
					arrive := func(time.Duration) []int {
						var at []int
						for range s.random.IntN(int(limit*0.06) + 2) {
							at = append(at, pick(s.random, time.Duration(len(s.sent))*time.Millisecond))
						}
						return at
					}
					const leaderTime, leaders = 6 * time.Second, 4
					for i := range time.Duration(leaders) {
						if changes {
							s.allocator = ratelimit.NewAllocator()
						}
						s.run(i*leaderTime+step, (i+1)*leaderTime, arrive)
					}
					allowed := 1.5*limit*4 + 5
					if most := s.most(); float64(most) > allowed {
						t.Errorf("%s: %d within four seconds", name, most)
					}
					// Each new leader begins without permits.
					possible := limit*(leaders*leaderTime).Seconds() - leaders
					if float64(len(s.sent)) < 0.7*possible {
						t.Errorf("%s: %d sent of %.0f", name, len(s.sent), possible)
					}
				}
			}
		}
	}
}

// TestUpstreamWithoutRateIsProbed counts the calls at limits near zero: one in five seconds.
func TestUpstreamWithoutRateIsProbed(t *testing.T) {
	is := is.New(t)
	for _, limit := range []float64{0, 0.01, 0.2} {
		s := newSimulation(1, 9, limit)
		s.run(step, 5*time.Minute, func(time.Duration) []int { return []int{s.random.IntN(9)} })
		is.True(len(s.sent) >= 45 && len(s.sent) <= 60)
	}
}

// TestMoreUrgentCallsGetPermitsFirst has urgent calls wait at one node and others at a second.
func TestMoreUrgentCallsGetPermitsFirst(t *testing.T) {
	is := is.New(t)
	a := ratelimit.NewAllocator()
	want := func(priority int) ratelimit.Want {
		return ratelimit.Want{Upstream: engine, Waiting: 2, Priority: priority}
	}
	is.Equal(a.Grant("later", want(1), 1, 0).Permits, 0)
	is.Equal(a.Grant("urgent", want(0), 1, 800*time.Millisecond).Permits, 0)
	is.Equal(a.Grant("later", want(1), 1, time.Second).Permits, 0) // there is one, for the urgent node
	is.Equal(a.Grant("urgent", want(0), 1, 1100*time.Millisecond).Permits, 1)
	g := a.Grant("later", want(1), 1, 1200*time.Millisecond)
	is.Equal(g.Permits, 0)
	is.True(g.In >= 1500*time.Millisecond) // one more urgent call, and its own
	// The urgent node no longer asks.
	is.Equal(a.Grant("later", want(1), 1, 2300*time.Millisecond).Permits, 1)
}

// TestUnusedPermitsExpire checks that a node that froze does not use permits from before.
func TestUnusedPermitsExpire(t *testing.T) {
	is := is.New(t)
	var p ratelimit.Permits
	p.Add(ratelimit.Grant{Permits: 3}, 0, 500*time.Millisecond)
	is.Equal(p.Held(900*time.Millisecond), 3)
	is.True(p.Use(900 * time.Millisecond))
	is.Equal(p.Held(900*time.Millisecond), 2)
	is.Equal(p.Held(ratelimit.TTL), 0)
	is.True(!p.Use(ratelimit.TTL))
	p.Add(ratelimit.Grant{Permits: 3}, 2*time.Second, 4*time.Second) // an answer that came too late
	is.Equal(p.Held(4*time.Second), 0)
}

// TestExpectedTimeFollowsTheLeader checks the times at which calls can expect permits, with and
// without recent word from the leader.
func TestExpectedTimeFollowsTheLeader(t *testing.T) {
	is := is.New(t)
	var p ratelimit.Permits
	is.Equal(p.Expect(4, 2, time.Second), 3*time.Second)
	p.Add(ratelimit.Grant{In: 3 * time.Second, PerSecond: 0.5}, time.Second, time.Second)
	is.Equal(p.Expect(0, 2, time.Second), 4*time.Second)
	is.Equal(p.Expect(2, 2, time.Second), 8*time.Second)
	is.Equal(p.Expect(0, 2, 9*time.Second), 9*time.Second)
	is.True(p.Expect(1000, 0, 0) <= time.Hour)
}

// TestPermitsInAdvanceSaveQuestions checks that at a high limit a node gets permits for the calls
// that it is about to have, and that nodes with waiting calls come first.
func TestPermitsInAdvanceSaveQuestions(t *testing.T) {
	is := is.New(t)
	a := ratelimit.NewAllocator()
	recent := ratelimit.Want{Upstream: engine, Recent: 10}
	is.Equal(a.Grant("a", recent, 100, 0).Permits, 0)
	is.Equal(a.Grant("a", recent, 100, time.Second).Permits, 10)
	is.Equal(a.Grant("b", ratelimit.Want{Upstream: engine, Waiting: 40}, 100, time.Second).Permits, 16)
	is.Equal(a.Grant("a", recent, 100, 1100*time.Millisecond).Permits, 0)
}

// BenchmarkGrant answers the wants of many nodes where calls wait for one upstream.
func BenchmarkGrant(b *testing.B) {
	for _, nodes := range []int{9, 200, 370} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			a := ratelimit.NewAllocator()
			names := make([]string, nodes)
			for i := range names {
				names[i] = fmt.Sprint("n", i)
			}
			for i := range b.N {
				w := ratelimit.Want{Upstream: engine, Waiting: 3, Priority: i % 3}
				a.Grant(names[i%nodes], w, 5, time.Duration(i)*150*time.Millisecond/time.Duration(nodes))
			}
		})
	}
}
