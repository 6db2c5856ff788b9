package controller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

// leadFromOneOf makes one of the given nodes the leader and returns it.
func (c *cluster) leadFromOneOf(nodes ...int) (leader int) {
	c.t.Helper()
	c.waitFor(fmt.Sprint("a leader among ", nodes), func() bool {
		for _, i := range nodes {
			if c.nodes[i].node.Leads() {
				leader = i
				return true
			}
		}
		ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
		defer cancel()
		for _, n := range c.nodes {
			if n.node != nil {
				n.node.HandOver(ctx)
			}
		}
		return false
	})
	return leader
}

// requireVoters fails the test unless the members on the given nodes are, within catchUpTime, the voters of
// the group, and all of them reply to the leader.
func (c *cluster) requireVoters(nodes ...int) {
	c.t.Helper()
	var ids []raft.MemberID
	for _, i := range nodes {
		id, err := storage.ReadIdentity(storage.OS{}, c.nodes[i].cfg.Data)
		if err != nil {
			c.t.Fatal(err)
		}
		ids = append(ids, id.Member)
	}
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		for _, i := range nodes {
			if c.nodes[i].node.HasVoters(ids) {
				c.t.Log("voters after", time.Since(start))
				return
			}
		}
		if time.Since(start) > catchUpTime {
			c.t.Fatalf("the members on nodes %v are not the voters after %v", nodes, catchUpTime)
		}
	}
}

// TestWipedSeedsRejoinLeaderThatIsNoSeed wipes two of the three seeds. Only the third one can name the leader.
func TestWipedSeedsRejoinLeaderThatIsNoSeed(t *testing.T) {
	t.Parallel()
	for kept := range 3 {
		t.Run(fmt.Sprint("seed ", kept, " kept"), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 18130+10*kept, 5)
			c.start(0, 1, 2, 3, 4)
			for i := range 5 {
				c.waitForVoters(i)
			}
			wiped := []int{(kept + 1) % 3, (kept + 2) % 3}
			c.kill(wiped...)
			c.wipe(wiped[0])
			c.wipe(wiped[1])
			c.leadFromOneOf(3, 4)
			c.start(wiped...)
			c.requireVoters(0, 1, 2, 3, 4)
		})
	}
}

// TestWipedSeedsRejoinThoughNoSeedKnowsLeader wipes two seeds after the third one is gone for good. No address
// in their settings belongs to a node with a log.
func TestWipedSeedsRejoinThoughNoSeedKnowsLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18160, 6)
	c.nodes[5].cfg.FirstStart = false
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	c.kill(2)
	c.start(5)
	c.requireVoters(0, 1, 3, 4, 5)
	c.kill(0, 1)
	c.wipe(0)
	c.wipe(1)
	c.leadFromOneOf(3, 4, 5)
	c.start(0, 1)
	c.requireVoters(0, 1, 3, 4, 5)
}

// TestWipedVotersAreReplacedWithoutChecks wipes two of five voters where each membership check of the leader comes
// too late. Every change has to follow from the event before it: a join, a change, a learner that has caught up.
func TestWipedVotersAreReplacedWithoutChecks(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18240, 5)
	c.membershipInterval = 2 * catchUpTime
	c.start(0, 1, 2)
	c.membershipInterval = 0
	c.start(3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	c.leadFromOneOf(0, 1, 2)
	c.kill(3, 4)
	c.wipe(3)
	c.wipe(4)
	c.start(3, 4)
	c.requireVoters(0, 1, 2, 3, 4)
}

// TestWipedVoterWithSlowDiskIsPromotedUnderChanges wipes a voter whose disk is slow from then on, while the
// configuration changes faster than that disk can write.
func TestWipedVoterWithSlowDiskIsPromotedUnderChanges(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18230, 5)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	leader := c.leadFromOneOf(0, 1, 2, 3, 4)
	wiped := (leader + 1) % 5
	c.kill(wiped)
	c.wipe(wiped)
	leading := c.nodes[leader].node
	var changes sync.WaitGroup
	stop := make(chan struct{})
	changes.Go(func() {
		for version := uint64(1); ; version++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				changes.Go(func() { _, _ = leading.Configure(t.Context(), version, fmt.Append(nil, version)) })
			}
		}
	})
	defer changes.Wait()
	defer close(stop)
	c.start(wiped)
	c.nodes[wiped].disk.syncDelay.Store(int64(600 * time.Millisecond))
	c.requireVoters(0, 1, 2, 3, 4)
}

// TestDiskLostAgainBeforeItIsReplaced wipes a voter, and its successor some time after that has started: before it
// joins, while it catches up, and once it votes.
func TestDiskLostAgainBeforeItIsReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18250, 5)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	lost := (c.leadFromOneOf(0, 1, 2, 3, 4) + 1) % 5
	for wait := time.Duration(0); wait < 400*time.Millisecond; wait += 50 * time.Millisecond {
		for range 2 {
			time.Sleep(wait)
			c.kill(lost)
			c.wipe(lost)
			c.start(lost)
		}
		c.requireVoters(0, 1, 2, 3, 4)
		c.waitForVoters((lost + 1) % 5)
	}
}
