package controller_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"
)

// logged reports whether a node has logged a text.
func (c *cluster) logged(text string) bool {
	return slices.ContainsFunc(c.nodes, func(n *testNode) bool { return strings.Contains(n.log.Tail(1<<20), text) })
}

// TestLostVoterIsReplacedThoughLeadersChange loses a voter while the lead changes every 0.8 s. A
// member without a vote is there to replace it, which must take no longer than a successor may
// count as lost: two more disks may be lost after that.
func TestLostVoterIsReplacedThoughLeadersChange(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18020, 6)
	c.nodes[5].cfg.FirstStart = false
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	c.start(5)
	leader := c.leader()
	c.waitFor("the learner", func() bool {
		voters, learners := c.nodes[leader].node.Members()
		return voters == wantVoters && learners == 1
	})
	c.kill((leader + 1) % 5)
	lost := time.Now()
	handedOver := 0
	for end := lost.Add(catchUpTime); time.Now().Before(end) && !c.logged(`"lost voter removed"`); time.Sleep(800 * time.Millisecond) {
		for _, n := range c.nodes {
			if n.node != nil && n.node.HandOver(context.Background()) {
				handedOver++
				break
			}
		}
	}
	if took := time.Since(lost); took > catchUpTime || !c.logged(`"lost voter removed"`) {
		t.Fatalf("the lost voter still counts after %v and %d changes of leader", took, handedOver)
	}
	t.Log("replaced after", time.Since(lost), "changes of leader", handedOver)
}

// TestVoterWithoutLogIsReplacedThoughConnected replaces a voter by a process at its address that answers on its
// connections and never joins. A member without a vote is there to replace it.
func TestVoterWithoutLogIsReplacedThoughConnected(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18170, wantVoters+1)
	c.nodes[5].cfg.FirstStart = false
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	c.start(5)
	leader := c.leadFromOneOf(0, 1, 2, 3, 4)
	c.waitFor("the learner", func() bool {
		voters, learners := c.nodes[leader].node.Members()
		return voters == wantVoters && learners == 1
	})
	wiped := (leader + 1) % 5
	c.kill(wiped)
	link := c.nodes[wiped].cfg.Listen.Links
	c.connectAs(link, link)
	c.requireVoters(slices.DeleteFunc([]int{0, 1, 2, 3, 4, 5}, func(i int) bool { return i == wiped })...)
}
