package controller_test

import (
	"context"
	"testing"
	"time"

	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
)

// TestStalledDiskOfLeaderKeepsNoNodeFromChanges stalls the disk of the leader. Entry nodes keep to a
// leader that cannot answer for a moment, which it must not go on to say while the others decide.
func TestStalledDiskOfLeaderKeepsNoNodeFromChanges(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18030, 5)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	leader := c.leader()
	stalled := c.nodes[leader]
	stalled.disk.stalled.Store(true)
	defer stalled.disk.stalled.Store(false)
	// The outcome does not matter, only that there is something to write.
	_, _ = stalled.node.Configure(context.Background(), 1, []byte("one"))
	other := (leader + 1) % 5
	c.accept(other, 2, "two")
	mesh := c.connect()
	c.waitFor("an answer with changes, or the word to ask another node", func() bool {
		var answer nodelink.WatchAnswer
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := mesh.Call(ctx, stalled.cfg.Listen.Links, nodelink.Watch, nodelink.WatchRequest{Entry: true}, &answer)
		code, ok := peer.CodeOf(err)
		return err == nil || ok && code == nodelink.CodeNotLeader
	})
}

// TestNodeWithStalledDiskFollowsFormerLeader stalls the disk of a follower, which does not learn of
// the next leader from the log. It must reach it through the former one, which names it.
func TestNodeWithStalledDiskFollowsFormerLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18040, 5)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	leader := c.leader()
	follower := c.nodes[(leader+1)%5]
	follower.disk.stalled.Store(true)
	defer follower.disk.stalled.Store(false)
	c.accept(leader, 1, "one") // which the follower has to write
	c.waitFor("a change of leader", func() bool { return c.nodes[leader].node.HandOver(context.Background()) })
	c.waitFor("an answer through the follower", func() bool {
		return follower.node.Leave(context.Background(), "unknown", 0) == nil
	})
}
