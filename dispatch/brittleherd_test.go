package dispatch_test

import (
	"testing"
	"time"
)

// maxFalls is how often eight brittle engines may fall over: two, and a tenth of their number.
const maxFalls = 2

// brittleHerd returns a replay of nodes before eight engines that bear four rejections in a second.
func brittleHerd(nodes int, callsPerSecond float64, seed uint64) herd {
	return herd{
		nodes: nodes, engines: 8, slots: 12, callsPerSecond: callsPerSecond, callTime: 1500 * ms,
		reportInterval: 400 * ms, seed: seed, brittle: 4,
	}
}

// nodeCounts returns the numbers of nodes that are replayed. The race detector, with which the short tests run,
// makes large replays slow.
func nodeCounts() []int {
	if testing.Short() {
		return []int{9, 71}
	}
	return []int{9, 71, 195}
}

// check replays 20 seconds, in which at most maxFalls are borne, and at least the given part of the calls that
// the engines can serve must be.
func (h herd) check(t *testing.T, least float64) {
	t.Helper()
	const duration = 20 * second
	got := h.run(duration)
	t.Logf("%d nodes, %v calls a second, seed %d: %+v", h.nodes, h.callsPerSecond, h.seed, got)
	served := float64(got.calls-got.rejected) / (duration - second).Seconds()
	places := h.slots
	if h.room > 0 {
		places = h.room
	}
	if got.falls > maxFalls || served < least*min(h.callsPerSecond, float64(h.engines*places)/h.callTime.Seconds()) {
		t.Errorf("%d nodes, %v calls a second, seed %d: %d falls, %.0f calls a second served", h.nodes, h.callsPerSecond, h.seed, got.falls, served)
	}
}

// TestBrittleEnginesAreNotOverrunByManyNodes replays more and more nodes, of which each sends few calls. The
// load is under, near and over what the engines can serve, of which at least half must be used.
func TestBrittleEnginesAreNotOverrunByManyNodes(t *testing.T) {
	for _, nodes := range nodeCounts() {
		for _, rate := range []float64{45, 60, 80} {
			for seed := range uint64(2) {
				brittleHerd(nodes, rate, seed).check(t, 0.5)
			}
		}
	}
}

// TestBrittleEnginesAreNotOverrunWithoutLeader replays a change of the leader, who grants the slots, and a
// loss of all control nodes for most of the time.
func TestBrittleEnginesAreNotOverrunWithoutLeader(t *testing.T) {
	for _, leaderless := range []time.Duration{1500 * ms, 4 * second, 15 * second} {
		for _, nodes := range nodeCounts() {
			for _, rate := range []float64{45, 80} {
				h := brittleHerd(nodes, rate, 0)
				h.leaderLostAt, h.leaderless = 5*second, leaderless
				h.check(t, 0.4)
			}
		}
	}
}

// TestBrittleEnginesShortOfMemoryAreNotOverrun replays engines that run fewer calls at once than they have slots.
func TestBrittleEnginesShortOfMemoryAreNotOverrun(t *testing.T) {
	for _, nodes := range nodeCounts() {
		for _, room := range []int{6, 10} {
			for _, rate := range []float64{30, 80} {
				h := brittleHerd(nodes, rate, 0)
				h.room = room
				h.check(t, 0.5)
			}
		}
	}
}
