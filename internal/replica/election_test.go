package replica_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/raft"
)

// mute drops all messages to a member, whose own messages still arrive.
func (c *cluster) mute(id raft.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, from := range c.foundingIDs {
		c.severedLinks[link{from, id}] = true
	}
}

// TestLaggingMembersDoNotDelayElections guards against a member that can win held up by members that hold still for
// each other, although their logs are too old.
func TestLaggingMembersDoNotDelayElections(t *testing.T) {
	// limit is within what the pages allow for a configuration in calm.
	const limit = 4 * electionTimeout
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, seed, 1, 2, 3, 4, 5)
			defer c.stopAll()
			first := c.waitForLeader()
			o := others(c, first.id)
			lagging, lost := o[:2], o[3]
			for _, id := range lagging {
				c.isolate(id, true)
			}
			is.True(c.put(first, "a", 0, 1).OK)
			c.kill(first.id)
			c.kill(lost)
			for _, id := range lagging {
				c.isolate(id, false)
			}
			start := time.Now()
			is.Equal(c.waitForLeader(o[:3]...).id, o[2])
			took := time.Since(start)
			t.Logf("seed %d: leader after %v", seed, took)
			is.True(took < limit)
		})
	}
}

// TestDeafMembersDoNotPreventElections guards against members that ask for pre-votes for ever, because they receive no
// answer, and for which the others hold still each time.
func TestDeafMembersDoNotPreventElections(t *testing.T) {
	const (
		slowWrite = 3 * time.Second
		limit     = 12 * time.Second
	)
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, seed, 1, 2, 3, 4, 5)
			defer c.stopAll()
			first := c.waitForLeader()
			o := others(c, first.id)
			deaf := o[:2]
			for _, id := range deaf {
				c.member(id).fs.SetSyncDelay(slowWrite)
			}
			is.True(c.put(first, "a", 0, 1).OK)
			time.Sleep(2 * slowWrite)
			for _, id := range deaf {
				c.member(id).fs.SetSyncDelay(syncDelay)
			}
			// The deaf members' timers are not in step.
			c.mute(deaf[0])
			time.Sleep(time.Duration(seed) * syncDelay)
			c.mute(deaf[1])
			c.kill(first.id)
			c.restart(first.id)
			start := time.Now()
			c.waitForLeader(first.id, o[2], o[3])
			took := time.Since(start)
			t.Logf("seed %d: leader after %v", seed, took)
			is.True(took < limit)
		})
	}
}

// TestRestartedGroupSoonHasALeader guards against members that hold still for candidates which ask too early after a loss
// of power: members start one after another, and three of five have to vote for one of them.
func TestRestartedGroupSoonHasALeader(t *testing.T) {
	const (
		starts = 600 * time.Millisecond
		limit  = 4 * electionTimeout
	)
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, seed, 1, 2, 3, 4, 5)
			defer c.stopAll()
			is.True(c.put(c.waitForLeader(), "a", 0, 1).OK)
			for _, id := range c.foundingIDs {
				c.kill(id)
			}
			left := []raft.MemberID{2, 3, 4}
			for _, id := range left {
				c.restart(id)
				time.Sleep(time.Duration(c.random.Int64N(int64(starts) / 2)))
			}
			start := time.Now()
			c.waitForLeader(left...)
			if took := time.Since(start); took >= limit {
				t.Errorf("seed %d: leader after %v", seed, took)
			}
		})
	}
}
