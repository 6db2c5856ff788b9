package raft

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of schedules, so that every run gives the same
// result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// action is one event of a schedule. Host and Peer select members modulo the number of
// members, and Wait is in steps.
type action struct {
	Kind int
	Host int
	Peer int
	Wait int
}

// Kinds of actions.
const (
	actPropose = iota
	actBurst
	actRead
	actCrash
	actRestart
	actCrashAndRestart
	actFreeze
	actThaw
	actIsolate
	actCutOneWay
	actCutPair
	actReconnect
	actTransfer
	actCompact
	actAddLearner
	actPromote
	actRemove
	actWait
	// actKindCount is the number of kinds.
	actKindCount
)

// waitSteps are the numbers of steps for which the network may run after an action.
var waitSteps = []int{0, 1, 3, 10, 30, 60, 150}

// drawSchedule draws actions from a random subset of the kinds, so that each kind is
// frequent in some schedules (Groce et al., "Swarm Testing", 2012).
func drawSchedule(t *rapid.T) []action {
	kinds := rapid.SliceOfNDistinct(rapid.IntRange(0, actKindCount-1), 3, actKindCount, rapid.ID).Draw(t, "kinds")
	return drawActions(t, kinds, waitSteps)
}

// drawActions draws 10 to 50 actions of the given kinds and waits.
func drawActions(t *rapid.T, kinds, waits []int) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			Host: rapid.IntRange(0, 7).Draw(t, "host"),
			Peer: rapid.IntRange(0, 7).Draw(t, "peer"),
			Wait: rapid.SampledFrom(waits).Draw(t, "wait"),
		}
	}), 10, 50).Draw(t, "schedule")
}

// maxHosts limits the number of members in a schedule.
const maxHosts = 7

// act carries out one action. It ignores an action that is impossible in the current
// state.
func (n *network) act(a action, serial int) {
	h := n.hosts[a.Host%len(n.hosts)]
	peer := n.hosts[a.Peer%len(n.hosts)]
	switch a.Kind {
	case actCrash:
		n.crash(h)
	case actRestart:
		if h.down {
			n.start(h)
		}
	case actCrashAndRestart:
		n.crash(h)
		n.start(h)
	case actFreeze:
		h.frozen = true
	case actThaw:
		h.frozen = false
	case actIsolate:
		n.isolate(h.id)
	case actCutOneWay:
		n.cutLinks[[2]MemberID{h.id, peer.id}] = true
	case actCutPair:
		n.cutLinks[[2]MemberID{h.id, peer.id}] = true
		n.cutLinks[[2]MemberID{peer.id, h.id}] = true
	case actReconnect:
		n.cutLinks = map[[2]MemberID]bool{}
	case actCompact:
		n.compact(h)
	default:
		n.actOnLeader(a, peer, serial)
	}
	n.run(Instant(a.Wait) * testStep)
}

// actOnLeader carries out an action that needs a leader, on each running member that
// believes it is the leader.
func (n *network) actOnLeader(a action, peer *host, serial int) {
	for _, h := range n.hosts {
		if h.down || h.frozen || h.core.role != Leader {
			continue
		}
		now := n.clock(h)
		switch a.Kind {
		case actPropose:
			_, _, _ = h.core.Propose(fmt.Appendf(nil, "%d", serial), now)
		case actBurst:
			for i := range 40 {
				_, _, _ = h.core.Propose(fmt.Appendf(nil, "%d.%d", serial, i), now)
			}
		case actRead:
			request := uint64(serial)<<8 | uint64(h.id)
			n.minReadIndex[request] = n.maxCommitted
			_ = h.core.ReadBarrier(request, now)
		case actTransfer:
			_ = h.core.TransferLeadership(peer.id, now)
		case actAddLearner, actPromote, actRemove:
			n.proposeChange(a, h, peer)
		}
		n.drainOutput(h)
	}
}

// proposeChange proposes a membership change on a leader.
func (n *network) proposeChange(a action, h, peer *host) {
	next := h.core.members.latest().clone()
	target := []MemberID{peer.id}
	switch a.Kind {
	case actAddLearner:
		if len(n.hosts) >= maxHosts {
			return
		}
		id := MemberID(len(n.hosts) + 1)
		n.addHost(id, DurableState{})
		next.Learners = append(next.Learners, id)
		if a.Peer%2 == 1 {
			next.Voters = without(next.Voters, target)
			next.Learners = without(next.Learners, target)
		}
	case actPromote:
		if len(next.Learners) == 0 {
			return
		}
		target = next.Learners[a.Peer%len(next.Learners):][:1]
		next.Voters = append(next.Voters, target...)
		next.Learners = without(next.Learners, target)
	case actRemove:
		next.Voters = without(next.Voters, target)
		next.Learners = without(next.Learners, target)
	}
	_, _, _ = h.core.ProposeMembers(next, n.clock(h))
}

// settleTime is long enough for a healed group to elect a leader and to catch up.
const settleTime = 12 * time.Second

// TestInvariantsUnderFaults runs random schedules of requests and faults. It checks the
// invariants throughout, and that the group converges once it is healed.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.SampledFrom([]int{1, 2, 3, 3, 3, 5}).Draw(t, "voters"), rapid.Uint64().Draw(t, "seed"))
		n.lossShare = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		n.duplicateShare = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "repeat")
		n.maxDelay = rapid.SampledFrom([]Instant{0, 30 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "delay")
		n.slowWriteShare = rapid.SampledFrom([]float64{0, 0.3, 0.8, 0.98}).Draw(t, "slow disk")
		n.background = rapid.Bool().Draw(t, "background writes")
		n.run(testElection * 3)
		for i, a := range drawSchedule(t) {
			n.act(a, i)
		}
		n.checkLogs(n)
		n.heal()
		n.run(settleTime)
		n.checkLogs(n)
		n.checkConverged(n)
	})
}

// TestInvariantsInNarrowSchedules repeats a few kinds of actions at short intervals in a
// group of three. Restarts in a partitioned group reveal a forgotten vote or promise to a
// leader; membership changes in a partitioned group reveal majorities that do not
// overlap.
func TestInvariantsInNarrowSchedules(t *testing.T) {
	for name, kinds := range map[string][]int{
		"restarts": {actCrashAndRestart, actCrashAndRestart, actCutPair, actReconnect, actPropose},
		"members":  {actAddLearner, actPromote, actRemove, actRemove, actCutPair, actCutPair, actReconnect, actTransfer},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				n := newNetwork(3, rapid.Uint64().Draw(t, "seed"))
				n.slowWriteShare = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "slow disk")
				n.background = rapid.Bool().Draw(t, "background writes")
				n.run(testElection * 3)
				for i, a := range drawActions(t, kinds, []int{1, 2, 3, 5, 9, 20, 50}) {
					n.act(a, i)
				}
				n.heal()
				n.run(settleTime)
				n.checkConverged(n)
			})
		})
	}
}
