package controller_test

import (
	"regexp"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/replica"
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

// TestVotersAreNamedByCompactedLog restarts nodes whose logs no longer hold the entries that added
// the later voters. A node must know where every voter is before it can vote for one.
func TestVotersAreNamedByCompactedLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 18110, 5)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	for v := range uint64(replica.SnapshotInterval + replica.SnapshotInterval/2 + 50) {
		c.accept(0, v+1, "one")
	}
	opened := regexp.MustCompile(`"log opened".*"snapshot":(\d+)`)
	for i, n := range c.nodes {
		c.kill(0, 1, 2, 3, 4)
		c.start(i) // alone, so that nothing after its snapshot is applied
		var snapshot [][]string
		c.waitFor("the log line", func() bool {
			snapshot = opened.FindAllStringSubmatch(n.log.Tail(1<<14), -1)
			return len(snapshot) == 1
		})
		is.True(len(snapshot[0][1]) > 1) // the index of a later snapshot than that of the founders
		is.Equal(len(n.node.LinksAsLeader()), 4)
	}
}
