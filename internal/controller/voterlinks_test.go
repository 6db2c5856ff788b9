package controller_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestRestartedLeaderKeepsLinksToLaterVoters guards against a leader that drops the connections to
// voters which only its log names, while it needs them to commit that log.
func TestRestartedLeaderKeepsLinksToLaterVoters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 18010, 5)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	c.kill(0, 1, 2, 3, 4)
	var others []string
	for _, n := range c.nodes[1:] {
		others = append(others, n.cfg.Listen.Links)
	}
	slices.Sort(others)
	c.start(0) // alone, so that nothing after its snapshot is applied
	is.Equal(c.nodes[0].node.LinksAsLeader(), others)
}
