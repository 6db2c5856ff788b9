package controller_test

import (
	"context"
	"testing"
	"time"
)

// TestSurplusVoterDoesNotStay makes the member without a vote a voter, as a leader does that misses a voter,
// while all voters can be reached. Of six voters four are needed, so that one has to lose its vote again.
func TestSurplusVoterDoesNotStay(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 22480, wantVoters+1)
	c.start(0, 1, 2, 3, 4, 5)
	counted := func(voters, learners int) func() bool {
		return func() bool {
			for _, n := range c.nodes {
				if v, l := n.node.Members(); v != voters || l != learners {
					return false
				}
			}
			return true
		}
	}
	c.waitFor("five voters and a learner", counted(wantVoters, 1))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for promoted := false; !promoted; time.Sleep(20 * time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatal("no leader promoted the learner")
		}
		for _, n := range c.nodes {
			promoted = promoted || n.node.Leads() && n.node.PromoteLearners(ctx) == nil
		}
	}
	c.waitFor("five voters and a learner again", counted(wantVoters, 1))
	c.accept(0, 1, "one")
}
