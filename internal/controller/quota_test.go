package controller_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestDeposedLeaderGrantsNoQuota has a report of quotas arrive while the leader's loop is busy, which goes on once its
// lease is over. What it would grant may be counted by its successor, too.
func TestDeposedLeaderGrantsNoQuota(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 22360, 3)
	c.start(0, 1, 2)
	c.accept(0, 1, "one")
	leader := c.leadingNode()
	node := c.nodes[leader].node
	c.waitFor("quotas", func() bool { return node.ReportQuotas(context.Background()) == nil })
	goOn := node.HoldUp()
	reported := make(chan error, 1)
	go func() { reported <- node.ReportQuotas(context.Background()) }()
	for i := range c.nodes {
		if i != leader {
			c.kill(i)
		}
	}
	c.waitFor("the end of the lease", func() bool { return !node.Leads() })
	goOn()
	is.True(<-reported != nil)
}

// TestLeaderKnowsItsPredecessor has a leader killed: the next one knows from the log whose reserves it may take over.
func TestLeaderKnowsItsPredecessor(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 22370, 3)
	c.start(0, 1, 2)
	c.accept(0, 1, "one")
	first := c.leadingNode()
	var before, previous, version uint64
	c.waitFor("the version", func() bool { _, before, version = c.nodes[first].node.Succession(); return version == 1 })
	c.kill(first)
	c.waitFor("the next leader", func() bool {
		next := c.leadingNode()
		if next < 0 || next == first {
			return false
		}
		previous, _, version = c.nodes[next].node.Succession()
		return version == 1
	})
	is.Equal(previous, before)
}
