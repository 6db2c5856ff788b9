package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestReplacementKeepsAcknowledgedEntry wipes two of five voters right after an entry was accepted that no others but
// the leader hold, and replaces them step by step. After each step all others lose power; a third disk may be lost
// with it once both wiped voters are removed, and two once both are replaced. The entry has to outlast that, and the
// group to go on.
func TestReplacementKeepsAcknowledgedEntry(t *testing.T) {
	const steps = 4
	play := func(t *testing.T, done int, lost ...int) {
		n := newNetwork(5, 1)
		n.cfg.CatchUpMargin = 16
		n.run(2 * time.Second)
		leader := n.leader()
		var others []MemberID
		for _, h := range n.hosts {
			if h != leader {
				others = append(others, h.id)
			}
		}
		wiped, kept := others[:2], others[2:]
		n.isolate(kept[0])
		n.isolate(kept[1])
		n.proposeOneByOne(3)
		accepted := n.maxCommitted
		if accepted < leader.core.log.lastIndex() {
			t.Fatal("the entries were not accepted")
		}
		n.host(wiped[0]).down, n.host(wiped[1]).down = true, true
		n.cutLinks = map[[2]MemberID]bool{}
		n.addHost(6, DurableState{})
		n.addHost(7, DurableState{})
		n.run(time.Second)
		base := append([]MemberID{leader.id}, kept...)
		for _, m := range []Members{
			{Voters: append(base[:3:3], wiped[1]), Learners: []MemberID{6, 7}},
			{Voters: base, Learners: []MemberID{6, 7}},
			{Voters: append(base[:3:3], 6), Learners: []MemberID{7}},
			{Voters: append(base[:3:3], 6, 7)},
		}[:done] {
			n.commitMembers(m)
		}
		members := append(base[:3:3], 6, 7)
		for _, id := range members {
			n.crash(n.host(id))
		}
		for i, id := range members {
			if !slices.Contains(lost, i) {
				n.start(n.host(id))
			}
		}
		n.run(5 * time.Second)
		again := n.leader()
		if again == nil {
			t.Fatal("no leader")
		}
		if again.core.log.commit < accepted {
			t.Fatalf("the leader has committed %d, %d was accepted", again.core.log.commit, accepted)
		}
		before := n.maxCommitted
		n.proposeOneByOne(1)
		if n.maxCommitted <= before {
			t.Fatal("the group does not go on")
		}
	}
	for done := range steps + 1 {
		t.Run(fmt.Sprint("power lost after step ", done), func(t *testing.T) { play(t, done) })
	}
	for i := range 3 {
		for done := steps - 2; done < steps; done++ {
			t.Run(fmt.Sprint("disk ", i, " lost after step ", done), func(t *testing.T) { play(t, done, i) })
		}
	}
	for i := range 5 {
		for j := range i {
			t.Run(fmt.Sprint("disks ", j, " and ", i, " lost"), func(t *testing.T) { play(t, steps, j, i) })
		}
	}
}
