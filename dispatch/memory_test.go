package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
)

// longPrompts replays prompts of which 48 of the mean length take more than the memory of an engine with 48 slots,
// from 72 nodes. The engines have memory for 71 calls a second.
func longPrompts(callsPerSecond float64, seed uint64) herd {
	return herd{
		nodes: 72, engines: 6, slots: 48, callsPerSecond: callsPerSecond, callTime: 3 * second,
		reportInterval: 400 * ms, queue: 144, memory: 130_000, seed: seed,
	}
}

// TestEnginesGetWhatTheirMemoryHolds has as many tokens arrive as the engines hold, or a quarter more. At most one call
// in ten may begin beyond the memory of its engine, three quarters of the calls that the engines hold must be sent,
// and the longest tenth half as often as all.
func TestEnginesGetWhatTheirMemoryHolds(t *testing.T) {
	for _, rate := range []float64{72, 90} {
		for seed := range uint64(3) {
			h := longPrompts(rate, seed)
			got := h.run(30 * second)
			h.unbounded = true
			reference := h.run(30 * second)
			t.Logf("%v a second, seed %d: %+v, without %+v", rate, seed, got, reference)
			if 10*got.excess > got.calls {
				t.Errorf("%v a second, seed %d: %d of %d calls began beyond the memory, without a limit %d of %d",
					rate, seed, got.excess, got.calls, reference.excess, reference.calls)
			}
			if 4*got.calls < 3*71*29 {
				t.Errorf("%v a second, seed %d: %d calls sent", rate, seed, got.calls)
			}
			if all := got.calls + got.refused; 2*got.longStarted*all < got.long*got.calls {
				t.Errorf("%v a second, seed %d: %d of %d of the longest calls sent, %d of %d of all", rate, seed, got.longStarted, got.long, got.calls, all)
			}
		}
	}
}

// memoryCall returns a call with the given tokens.
func memoryCall(id, prompt, output int) dispatch.Call {
	c := call(id, "m", 1, 0)
	c.PromptTokens, c.OutputTokens = prompt, output
	return c
}

// memoryDispatcher returns a dispatcher of two engines with memory for 1,000 tokens each.
func memoryDispatcher() *dispatch.Dispatcher {
	d := newDispatcher(engine("a", 8, "m"), engine("b", 8, "m"))
	d.SetMemory(map[string]int{"llm": 1000}, 0)
	return d
}

// TestCallsWaitForMemory fills two engines. The next call waits as demand, is refused for want of memory if it cannot start, and
// starts once a call ends; with another configuration it starts at once.
func TestCallsWaitForMemory(t *testing.T) {
	is := is.New(t)
	d := memoryDispatcher()
	first := started(d.Submit(memoryCall(1, 600, 0), 0))[1]
	second := started(d.Submit(memoryCall(2, 600, 0), 0))[2]
	is.True(first != second) // the first engine is full for the second call
	is.Equal(len(d.Submit(memoryCall(3, 600, 0), 0)), 0)
	is.Equal(d.MemoryShortage(), map[string]int{"llm": 1})
	is.Equal(d.Demand(0)[0].Waiting, 1)
	is.Equal(started(d.Submit(memoryCall(4, 300, 0), 0))[4] != "", true) // a shorter one fits
	is.Equal(started(d.Finish(1, dispatch.Served, 0))[3], first)
	is.Equal(len(d.Submit(memoryCall(5, 900, 0), 0)), 0)
	verdicts := d.Tick(5 * time.Second)
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Reason, dispatch.NoMemory)
	is.Equal(len(d.Submit(memoryCall(6, 900, 0), 0)), 0)
	is.Equal(len(started(d.SetMemory(nil, 0))), 1)
}

// TestMemoryOfOddCalls submits calls with absurd numbers, and with none, to engines that are nearly full.
func TestMemoryOfOddCalls(t *testing.T) {
	is := is.New(t)
	d := memoryDispatcher()
	verdicts := d.Submit(memoryCall(1, 1<<30, 1<<30), 0)
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Reason, dispatch.TooLarge) // at once: no engine can ever hold it
	is.Equal(len(started(d.Submit(memoryCall(2, 1000, 1<<30), 0))), 1)
	is.Equal(len(started(d.Submit(memoryCall(3, 100, 1<<30), 0))), 1)
	is.Equal(len(started(d.Submit(memoryCall(4, 100, 1<<30), 0))), 1) // the answer of the one before takes little
	d.Submit(memoryCall(5, 600, 0), 0)
	is.Equal(len(started(d.Submit(memoryCall(6, 0, 0), 0))), 1) // states nothing
	plain := call(7, "", 1, 0)
	plain.PromptTokens = 1 << 30
	is.Equal(len(started(d.Submit(plain, 0))), 1)
}

// TestUrgentAndWaitingCallsUseLastMemory has engines nearly full. A call that is not urgent gets the last part of the
// memory when it is due, an urgent one and a stream that goes on at once.
func TestUrgentAndWaitingCallsUseLastMemory(t *testing.T) {
	is := is.New(t)
	d := memoryDispatcher()
	d.Submit(memoryCall(1, 860, 0), 0)
	d.Submit(memoryCall(2, 860, 0), 0)
	waiting, urgent, resumed := memoryCall(3, 100, 0), memoryCall(4, 140, 0), memoryCall(5, 100, 0)
	urgent.Rank, resumed.Pinned = 0, true
	is.Equal(len(started(d.Submit(waiting, 0))), 0)
	is.Equal(len(started(d.Submit(urgent, 0))), 1)
	is.Equal(len(started(d.Submit(resumed, 0))), 1)
	d.Finish(4, dispatch.Served, 0)
	d.Finish(5, dispatch.Served, 0)
	is.Equal(len(started(d.Tick(500*ms))), 1)
}

// TestTokensOfOtherNodes follows what is known of other nodes: the leader's count without what this node reported, also
// after it sent more, until the count is too old.
func TestTokensOfOtherNodes(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 8, "m"))
	d.SetMemory(map[string]int{"llm": 1000}, 0)
	held := func(now time.Duration) int { return d.Health("a", now).HeldTokens }
	d.Submit(memoryCall(1, 300, 0), 0)
	d.Running() // reported
	d.Submit(memoryCall(2, 300, 0), 0)
	d.ObservePlannerCounts(map[string]int{"a": 2}, true, 0)
	d.ObservePlannerTokens(map[string]dispatch.EngineTokens{"a": {Held: 550}}, true)
	is.Equal(held(0), 850) // 250 of others beside the 600 that run here
	is.Equal(len(started(d.Submit(memoryCall(3, 300, 0), 0))), 0)
	is.Equal(held(2*second), 600) // no word of the leader: this node goes by its own calls
	is.Equal(len(started(d.Tick(2*second))), 1)
}

// TestCallsThatWaitedForSlotsStartAtOnce has a call wait for a slot of an engine with half of its memory in use by other
// nodes. It starts with the slot, whatever counts came meanwhile.
func TestCallsThatWaitedForSlotsStartAtOnce(t *testing.T) {
	for i := range 50 {
		d := newDispatcher(engine("a", 1, "m"))
		d.SetMemory(map[string]int{"llm": 1000}, 0)
		d.Submit(memoryCall(i, 100, 0), 0)
		d.Submit(memoryCall(100+i, 100, 0), 0)
		d.ObservePlannerCounts(nil, true, 100*ms)
		d.ObservePlannerTokens(map[string]dispatch.EngineTokens{"a": {Held: 500}}, true)
		if len(started(d.Finish(dispatch.CallID(i), dispatch.Served, 120*ms))) != 1 {
			t.Fatalf("call %d waits on", i)
		}
	}
}

// TestMemoryOfRestartedEngine starts an engine again while calls of this node run there. Its memory is free at once, and
// what the leader still counts of this node's calls is not taken for that of others.
func TestMemoryOfRestartedEngine(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 8, "m"))
	d.SetMemory(map[string]int{"llm": 1000}, 0)
	d.Submit(memoryCall(1, 700, 0), 0)
	again := engine("a", 8, "m")
	again.Born = 2
	d.Update([]fleet.Upstream{again}, 0)
	d.Running()
	d.ObservePlannerCounts(map[string]int{"a": 1}, true, 0)
	d.ObservePlannerTokens(map[string]dispatch.EngineTokens{"a": {Held: 700}}, true)
	is.Equal(d.Health("a", 0).HeldTokens, 0)
	is.Equal(len(started(d.Submit(memoryCall(2, 700, 0), 0))), 1)
	d.Finish(1, dispatch.Served, 0) // of the engine before
	is.Equal(d.Health("a", 0).HeldTokens, 700)
}

// TestNodesThatReportNoTokens has the leader count calls of nodes that state no tokens, such as those of earlier
// builds: calls are sent as far as slots are free.
func TestNodesThatReportNoTokens(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 8, "m"))
	d.SetMemory(map[string]int{"llm": 1000}, 0)
	d.ObservePlannerCounts(map[string]int{"a": 4}, true, 0)
	d.ObservePlannerTokens(nil, true)
	is.Equal(len(started(d.Submit(memoryCall(1, 900, 0), 0))), 1)
}
