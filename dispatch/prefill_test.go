package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
)

// promptKind is a kind of calls: its share, the length of its prompts, the time to its target, and the time that a usual
// engine runs its calls.
type promptKind struct {
	name            string
	share           float64
	tokens          int
	target, runTime time.Duration
}

var promptKinds = []promptKind{
	{"short", 0.4, 500, 300 * ms, second},
	{"medium", 0.4, 1500, 450 * ms, 2 * second},
	{"long", 0.2, 6000, 6 * second, 2 * second},
}

// prompts replays calls of promptKinds at engines of unequal speed, which read one prompt after the other.
type prompts struct {
	// blind has callers state no tokens; absurd, unless it is zero, is the length that one in 50 states; hasty has one in 50
	// want its first event after 10 ms.
	blind, hasty bool
	absurd       int
	speeds       map[string]float64
	chance       *rand.Rand
	// kinds and arrived hold what the calls are, and readUntil when engines will have read all prompts that they have.
	kinds     map[dispatch.CallID]int
	arrived   map[dispatch.CallID]time.Duration
	readUntil map[string]time.Duration
	// waits are the times to the first event of each kind.
	waits [][]time.Duration
}

// replayPrompts replays 80 calls a second from many nodes at ten engines of 0.6, 1 and 1.6 times the usual speed, which
// read for six tenths of the time. It returns the share of the calls of each kind whose first event came by the target.
func replayPrompts(t *testing.T, nodes int, seed uint64, p prompts, leaderLostAt time.Duration) (onTime []float64) {
	t.Helper()
	p.chance = rand.New(rand.NewPCG(seed, 3))
	p.speeds, p.readUntil = map[string]float64{}, map[string]time.Duration{}
	p.kinds, p.arrived = map[dispatch.CallID]int{}, map[dispatch.CallID]time.Duration{}
	p.waits = make([][]time.Duration, len(promptKinds))
	speeds := []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6, 1}
	for i, j := range p.chance.Perm(len(speeds)) {
		p.speeds[fmt.Sprint("e", i)] = speeds[j]
	}
	h := herd{
		nodes: nodes, engines: len(speeds), slots: 48, callsPerSecond: 80, callTime: second, reportInterval: 400 * ms,
		seed: seed, leaderLostAt: leaderLostAt, leaderless: time.Hour, prompts: &p,
	}
	h.run(40 * second)
	line := fmt.Sprintf("%d nodes, seed %d, blind %v", nodes, seed, p.blind)
	for i, k := range promptKinds {
		slices.Sort(p.waits[i])
		n := len(p.waits[i])
		late, _ := slices.BinarySearch(p.waits[i], k.target)
		onTime = append(onTime, float64(late)/float64(n))
		line += fmt.Sprintf("; %s: %.3f of %d, p50 %v, p90 %v, p99 %v", k.name, onTime[i], n,
			p.waits[i][n/2].Round(ms), p.waits[i][n*9/10].Round(ms), p.waits[i][n*99/100].Round(ms))
	}
	t.Log(line)
	return onTime
}

// describe draws the kind of a call.
func (p *prompts) describe(c *dispatch.Call) {
	kind, draw := 0, p.chance.Float64()
	for ; kind < len(promptKinds)-1 && draw >= promptKinds[kind].share; kind++ {
		draw -= promptKinds[kind].share
	}
	c.Target = c.Arrived + promptKinds[kind].target
	if p.hasty && c.ID%50 == 25 {
		c.Target = c.Arrived + 10*ms
	}
	switch {
	case p.absurd > 0 && c.ID%50 == 0:
		c.PromptTokens = p.absurd
	case !p.blind:
		c.PromptTokens = promptKinds[kind].tokens
	}
	p.kinds[c.ID], p.arrived[c.ID] = kind, c.Arrived
}

// read has an engine read the prompt of a call and then run it.
func (p *prompts) read(r *herdRun, node int, v dispatch.Verdict) {
	engine, id, kind, speed := v.Upstream.ID, v.ID, p.kinds[v.ID], p.speeds[v.Upstream.ID]
	noisy := func(usual time.Duration) time.Duration {
		return time.Duration(float64(usual) / speed * (0.8 + 0.4*p.chance.Float64()))
	}
	r.present[engine]++
	p.readUntil[engine] = max(r.now, p.readUntil[engine]) + noisy(time.Duration(promptKinds[kind].tokens)*second/25_800)
	sent, first := r.now, p.readUntil[engine]-r.now+noisy(50*ms)
	r.after(first, func() {
		if p.arrived[id] > 5*second {
			p.waits[kind] = append(p.waits[kind], r.now-p.arrived[id])
		}
		r.nodes[node].FirstEvent(id, r.now-sent)
		r.observeLoad(engine, node, id)
	})
	r.after(first+noisy(promptKinds[kind].runTime), func() { r.finish(engine, node, id) })
}

// TestLongPromptsBesideShortOnes: nine in ten calls of each kind must have their first event by their target, and at most
// half as many short ones be late as if nothing were known of prompts. With 370 nodes, each of which sees a call in five
// seconds, two thirds as many may be.
func TestLongPromptsBesideShortOnes(t *testing.T) {
	for _, nodes := range []int{9, 72, 370} {
		for seed := range uint64(3) {
			got, blind := replayPrompts(t, nodes, seed, prompts{}, 0), replayPrompts(t, nodes, seed, prompts{blind: true}, 0)
			factor, least := 0.5, 0.9
			if nodes == 370 {
				factor, least = 2.0/3, 0
			}
			if 1-got[0] > (1-blind[0])*factor || slices.Min(got) < least {
				t.Errorf("%d nodes, seed %d: %.3f on time, %.3f if nothing is known of prompts", nodes, seed, got, blind)
			}
		}
	}
}

// TestPromptsInFailures loses the leader after ten seconds, or has one caller in 50 state a billion tokens and another one
// want its first event after 10 ms. No kind of calls may be on time less often than if nothing were known of prompts, by more than one in 50.
func TestPromptsInFailures(t *testing.T) {
	for seed := range uint64(3) {
		for _, lostAt := range []time.Duration{0, 10 * second} {
			odd := prompts{}
			if lostAt == 0 {
				odd = prompts{absurd: 1 << 30, hasty: true}
			}
			got := replayPrompts(t, 72, seed, odd, lostAt)
			blind := replayPrompts(t, 72, seed, prompts{blind: true}, lostAt)
			for i, k := range promptKinds {
				if got[i] < blind[i]-0.02 {
					t.Errorf("seed %d, leader lost at %v: %.3f of %s calls on time, %.3f if nothing is known of prompts", seed, lostAt, got[i], k.name, blind[i])
				}
			}
		}
	}
}

// promptCall returns a call with a prompt of the given length whose target is so far off.
func promptCall(id, tokens int, target time.Duration) dispatch.Call {
	c := call(id, "m", 1, 0)
	c.PromptTokens, c.Target = tokens, target
	return c
}

// TestSlownessIsLearnedAndForgotten has an engine that takes twice the usual to the first event, among others that take
// the usual. The prediction follows; single absurd times hardly move it, and many only within bounds. A new incarnation
// starts near the average of the service.
func TestSlownessIsLearnedAndForgotten(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("slow", 8, "m"), engine("usual", 8, "other"))
	id := 0
	expected := func(model string, took time.Duration) time.Duration {
		id++
		c := promptCall(id, 1000, second)
		c.Model = model
		verdicts := d.Submit(c, 0)
		d.FirstEvent(c.ID, took)
		d.Finish(c.ID, dispatch.Served, 0)
		return verdicts[0].FirstEvent
	}
	usual := expected("m", 0)
	learn := func(model string, took time.Duration, times int) {
		for range times {
			expected(model, took)
		}
	}
	learn("other", usual, 100)
	learn("m", 2*usual, 50)
	learned := expected("m", time.Hour)
	is.True(learned > usual*17/10 && learned < usual*21/10)
	is.True(expected("m", 2*usual) < usual*5/2)
	learn("m", time.Hour, 50)
	is.True(expected("m", time.Hour) <= 4*usual)
	learn("other", usual, 500)
	again := engine("slow", 8, "m")
	again.Born = 1
	d.Update([]fleet.Upstream{again}, 0)
	is.True(expected("m", 0) < usual*3/2)
	is.Equal(d.Submit(call(5000, "m", 1, 0), 0)[0].FirstEvent, time.Duration(0)) // nothing is predicted without tokens
}

// TestUrgentCallAvoidsEngineThatReads checks that a short call avoids an engine that reads a long prompt of this node,
// though the other engine runs more calls, until the engine has read it.
func TestUrgentCallAvoidsEngineThatReads(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 48, "m"), engine("b", 48, "m"))
	reading := started(d.Submit(promptCall(1, 20_000, 500*ms), 0))[1]
	for i := range 3 {
		is.True(started(d.Submit(promptCall(10+i, 10, 500*ms), 0))[dispatch.CallID(10+i)] != reading)
	}
	d.FirstEvent(1, 800*ms)
	is.Equal(started(d.Submit(promptCall(20, 10, 500*ms), 0))[20], reading)
}

// TestPatientPromptIsNotStarved fills all engines but one: a patient call goes there at once, whatever its prompt.
func TestPatientPromptIsNotStarved(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 4, "m"), engine("b", 4, "m"), engine("c", 4, "m"))
	for i := range 11 {
		d.Submit(promptCall(i, 6000, 300*ms), 0)
	}
	is.Equal(len(started(d.Submit(promptCall(100, 1<<30, 20*second), 0))), 1)
}
