package replica_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/raft"
)

// TestSlowDisksKeepTheGroup guards against a group that can decide and confirm nothing because the
// flushes of a majority take about as long as an election timeout. All members are started with
// slow disks, so that the first election needs them too.
func TestSlowDisksKeepTheGroup(t *testing.T) {
	const (
		observed = 30 * time.Second
		// answerTimeout is how long a caller waits for a change or a read.
		answerTimeout = 4 * time.Second
		// firstLeader is the time for which there may be no leader after the start: a few attempts, each
		// of which takes an election timeout and two flushes.
		firstLeader = 8 * time.Second
	)
	for _, delay := range []time.Duration{50, 250, 400, 600, 900} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 21, 1, 2, 3, 4, 5)
				defer c.stopAll()
				for _, id := range c.foundingIDs {
					c.member(id).fs.SetSyncDelay(delay)
				}
				time.Sleep(firstLeader)
				start := time.Now()
				term := c.highestTerm()
				changes, reads := 0, 0
				for i := 0; time.Since(start) < observed; i++ {
					ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
					if m := c.currentLeader(); m != nil {
						if _, err := m.ReadBarrier(ctx); err == nil {
							reads++
						}
						if _, err := m.Propose(ctx, encode(command{ID: fmt.Sprint(i), Key: "k", Base: i})); err == nil {
							changes++
						}
					}
					cancel()
					time.Sleep(heartbeat)
				}
				t.Logf("%d changes, %d reads, terms %d to %d", changes, reads, term, c.highestTerm())
				is.Equal(c.highestTerm(), term) // no change of leader while only disks are slow
				// A change takes at most the rest of a flush and one more at a majority.
				is.True(changes >= int(observed/(3*delay+4*heartbeat)))
				is.True(reads >= changes)
			})
		})
	}
}

// TestLeaderIsReplacedWhileDisksAreSlow guards against elections that feed themselves: each one writes a new term to
// every disk, and the next one begins before those writes end.
func TestLeaderIsReplacedWhileDisksAreSlow(t *testing.T) {
	const delay = 700 * time.Millisecond
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, seed, 1, 2, 3, 4, 5)
			defer c.stopAll()
			first := c.waitForLeader()
			is.True(c.put(first, "a", 0, 1).OK)
			for _, id := range c.foundingIDs {
				c.member(id).fs.SetSyncDelay(delay)
			}
			left := others(c, first.id)[:3]
			for _, id := range c.foundingIDs { // the leader and one more are lost
				if id == first.id || id == others(c, first.id)[3] {
					c.kill(id)
				}
			}
			start := time.Now()
			next := c.waitForLeader(left...)
			took := time.Since(start)
			t.Logf("seed %d: leader after %v, term %d", seed, took, next.Status().Term)
			// The silence of the old leader, three flushes one after the other, and one attempt that fails.
			is.True(took < 12*time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			_, err := next.ReadBarrier(ctx)
			is.NoErr(err)
		})
	}
}

// TestLeaderWithStalledDiskDecides guards against a leader that holds up the group, because it keeps
// its role while its own disk has stopped.
func TestLeaderWithStalledDiskDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 22, 1, 2, 3, 4, 5)
		defer c.stopAll()
		leader := c.waitForLeader()
		leader.fs.SetSyncDelay(20 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		for i := 0; i < 20 && ctx.Err() == nil; {
			m := c.currentLeader()
			if m == nil {
				time.Sleep(heartbeat)
				continue
			}
			attempt, end := context.WithTimeout(ctx, 2*time.Second)
			if _, err := m.Propose(attempt, encode(command{ID: fmt.Sprint(i), Key: "k", Base: i})); err == nil {
				i++
			}
			end()
		}
		is.NoErr(ctx.Err())
	})
}

// currentLeader returns the member that leads in the highest term, or nil.
func (c *cluster) currentLeader() *member {
	var leader *member
	for _, id := range c.foundingIDs {
		m := c.member(id)
		if s := m.Status(); s.Role == raft.Leader && (leader == nil || s.Term > leader.Status().Term) {
			leader = m
		}
	}
	return leader
}

// highestTerm returns the highest term of any member.
func (c *cluster) highestTerm() uint64 {
	var term uint64
	for _, id := range c.foundingIDs {
		term = max(term, c.member(id).Status().Term)
	}
	return term
}

// TestInstallingMembersKeepTheLeader guards against a leader that steps down, because the members that it needs
// are writing the snapshot that it sent to them.
func TestInstallingMembersKeepTheLeader(t *testing.T) {
	const (
		entries  = 3 * replica.SnapshotInterval
		observed = 20 * time.Second
	)
	for _, delay := range []time.Duration{300, 600, 900} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 23, 1, 2, 3, 4, 5)
				defer c.stopAll()
				leader := c.waitForLeader()
				term := c.highestTerm()
				o := others(c, leader.id)
				c.isolate(o[0], true)
				c.isolate(o[1], true)
				for i := range entries {
					is.True(c.put(leader, "k", i, i+1).OK)
				}
				for _, id := range c.foundingIDs {
					c.member(id).fs.SetSyncDelay(delay)
				}
				c.isolate(o[0], false)
				c.isolate(o[1], false)
				c.kill(o[2])
				for start := time.Now(); time.Since(start) < observed; time.Sleep(heartbeat) {
					ctx, cancel := context.WithTimeout(t.Context(), electionTimeout)
					_, err := leader.ReadBarrier(ctx)
					cancel()
					is.NoErr(err)
				}
				is.Equal(c.highestTerm(), term)
				is.Equal(c.member(o[0]).machine.get("k"), leader.machine.get("k"))
			})
		})
	}
}

// TestVoterIsNotRemovedWhereOnlyStalledDisksAreLeft guards against a group that locks itself up: it removes a voter that
// is away, and the others that answer cannot write.
func TestVoterIsNotRemovedWhereOnlyStalledDisksAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 24, 1, 2, 3, 4, 5)
		defer c.stopAll()
		leader := c.waitForLeader()
		o := others(c, leader.id)
		away, stalled := o[0], o[2:]
		is.True(c.put(leader, "a", 0, 1).OK)
		for _, id := range stalled {
			c.member(id).fs.SetSyncDelay(time.Hour)
		}
		is.True(c.put(leader, "a", 1, 2).OK)
		time.Sleep(4 * electionTimeout)
		c.kill(away)
		time.Sleep(4 * electionTimeout)
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		is.True(errors.Is(leader.Remove(ctx, away), raft.ErrUnsafeChange))
		c.restart(away)
		ctx, cancel = context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		_, err := c.waitForLeader().Propose(ctx, encode(command{ID: "x", Key: "a", Base: 2, Value: 3}))
		is.NoErr(err)
	})
}
