package replica_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// runWithCluster runs a test with a cluster of three members in virtual time.
func runWithCluster(t *testing.T, seed uint64, test func(*is.I, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, 1, 2, 3)
		defer c.stopAll()
		test(is.New(t), c)
	})
}

// others returns the founding members other than id.
func others(c *cluster, id raft.MemberID) []raft.MemberID {
	return slices.DeleteFunc(slices.Clone(c.foundingIDs), func(other raft.MemberID) bool { return other == id })
}

// TestRestartKeepsAcceptedEntries kills and restarts the leader, a follower, or all
// members in turn, and checks that no accepted entry is lost.
func TestRestartKeepsAcceptedEntries(t *testing.T) {
	runWithCluster(t, 1, func(is *is.I, c *cluster) {
		for round := range 12 {
			leader := c.waitForLeader()
			for i := range 60 {
				is.True(c.put(leader, fmt.Sprintf("k%d-%d", round, i), 0, i).OK)
			}
			is.Equal(leader.Stats().Regressed, raft.MemberID(0)) // restarts are not regressions
			switch round % 3 {
			case 0:
				c.kill(leader.id)
				c.restart(leader.id)
			case 1:
				follower := others(c, leader.id)[round%2]
				c.kill(follower)
				c.restart(follower)
			default:
				for _, id := range c.foundingIDs {
					c.kill(id)
				}
				for _, id := range c.foundingIDs {
					c.restart(id)
				}
			}
		}
		leader := c.waitForLeader()
		for round := range 12 {
			for i := range 60 {
				is.Equal(leader.machine.get(fmt.Sprintf("k%d-%d", round, i)).Version, 1)
			}
		}
		c.converge(1, 2, 3)
	})
}

// TestProposeErrors proposes on a follower and on an isolated leader. The isolated
// leader's proposal has an unknown outcome and must not survive.
func TestProposeErrors(t *testing.T) {
	runWithCluster(t, 2, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		is.True(c.put(leader, "a", 0, 1).OK)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()

		follower := c.member(others(c, leader.id)[0])
		_, err := follower.Propose(ctx, encode(command{Key: "a"}))
		var notLeader *replica.NotLeaderError
		is.True(errors.As(err, &notLeader) && errors.Is(err, replica.ErrNotProposed))
		is.Equal(notLeader.Leader, leader.id)
		_, err = follower.ReadBarrier(ctx)
		is.True(errors.As(err, &notLeader))

		c.isolate(leader.id, true)
		start := time.Now()
		_, err = leader.Propose(ctx, encode(command{ID: "lost", Key: "lost", Value: 1}))
		is.True(errors.Is(err, replica.ErrOutcomeUnknown)) // stepped down after appending
		is.True(time.Since(start) < 2*electionTimeout)     // well before ctx's deadline
		is.True(!leader.LeaseValid())
		next := c.waitForLeader(others(c, leader.id)...)
		is.True(c.put(next, "b", 0, 1).OK)
		c.isolate(leader.id, false)
		c.converge(1, 2, 3)
		is.Equal(leader.machine.get("lost").Version, 0)
		is.Equal(leader.machine.get("b").Version, 1)
	})
}

func TestTransferLeadership(t *testing.T) {
	runWithCluster(t, 3, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		is.True(c.put(leader, "a", 0, 1).OK)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		start := time.Now()
		is.NoErr(leader.Transfer(ctx))
		next := c.waitForLeader(others(c, leader.id)...)
		is.True(time.Since(start) < electionTimeout) // no election timeout was needed
		index, err := next.ReadBarrier(ctx)
		is.NoErr(err)
		is.NoErr(leader.WaitApplied(ctx, index))
		is.Equal(leader.machine.get("a").Version, 1)
	})
}

// TestWipedMemberIsReplaced wipes a member's disk, replaces the member under a new
// ID, and kills a second voter right after. Accepted entries must survive.
func TestWipedMemberIsReplaced(t *testing.T) {
	runWithCluster(t, 4, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		for i := range 2 * replica.SnapshotInterval {
			is.True(c.put(leader, "k", i, i).OK)
		}
		lost := others(c, leader.id)[0]
		c.kill(lost)
		c.member(lost).fs.Wipe()
		_, _, err := storage.Open(storeOptions(lost, c.member(lost).fs))
		is.True(errors.Is(err, storage.ErrNotCreated))

		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		c.create(4, raft.DurableState{})
		is.NoErr(leader.Replace(ctx, lost, 4))
		is.NoErr(leader.Replace(ctx, lost, 4)) // repeating it changes nothing
		accepted := c.put(leader, "k", 2*replica.SnapshotInterval, 9999)
		is.True(accepted.OK)
		c.kill(leader.id)

		last := others(c, leader.id)[1]
		next := c.waitForLeader(last, 4)
		is.Equal(next.machine.get("k"), accepted)
		is.True(c.put(next, "after", 0, 1).OK)
	})
}

// TestRegressedMemberIsReported wipes a member's disk and wrongly creates the member
// again under its old ID. The leader must report it, and can then replace it.
func TestRegressedMemberIsReported(t *testing.T) {
	runWithCluster(t, 14, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		for i := range 20 {
			is.True(c.put(leader, "k", i, i).OK)
		}
		c.converge(c.foundingIDs...)
		is.Equal(leader.Stats().Regressed, raft.MemberID(0))
		wiped := others(c, leader.id)[0]
		c.kill(wiped)
		initial, err := replica.InitialState(c.foundingIDs, newRegisters())
		is.NoErr(err)
		c.create(wiped, initial)
		for deadline := time.Now().Add(waitTimeout); leader.Stats().Regressed != wiped; time.Sleep(heartbeat) {
			is.True(time.Now().Before(deadline))
		}

		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		c.create(4, raft.DurableState{})
		is.NoErr(leader.Replace(ctx, wiped, 4))
		is.True(c.put(leader, "k", 20, 20).OK)
	})
}

// TestStorageFailureStopsReplica makes the leader's disk fail. The leader must
// acknowledge nothing more, and the other members elect a new leader.
func TestStorageFailureStopsReplica(t *testing.T) {
	runWithCluster(t, 5, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		leader.fs.Die()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, err := leader.Propose(ctx, encode(command{ID: "x", Key: "x", Value: 1}))
		is.True(errors.Is(err, replica.ErrOutcomeUnknown))
		_, err = leader.Propose(ctx, encode(command{ID: "y", Key: "y", Value: 1}))
		is.True(errors.Is(err, replica.ErrNotProposed) && errors.Is(err, replica.ErrStopped))
		next := c.waitForLeader(others(c, leader.id)...)
		is.True(c.put(next, "a", 0, 1).OK)
	})
}

// TestFeedUpdatesFollower brings followers without a disk up to date from several
// indexes. Only those too far behind get a snapshot, and only the leader confirms.
func TestFeedUpdatesFollower(t *testing.T) {
	runWithCluster(t, 6, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		const changes = 5 * replica.SnapshotInterval
		for i := range changes {
			is.True(c.put(leader, "k", i, i).OK)
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		for _, from := range []uint64{0, 1, changes / 2, changes - 10, changes} {
			follower := newRegisters()
			at := applyUpdates(is, leader, follower, from)
			// The feed has an entry before the status is published.
			for leader.Status().Applied < at && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			is.Equal(at, leader.Status().Applied)
			if from == 0 {
				is.Equal(follower.dump(), leader.machine.dump())
			}
			recent := from+2*replica.SnapshotInterval >= at
			is.Equal(leader.Feed().Since(from).Snapshot == nil, recent)
		}
		is.True(leader.Update(ctx, 0).Confirmed)
		is.True(!c.member(others(c, leader.id)[0]).Update(ctx, 0).Confirmed)

		at := leader.Status().Applied
		go c.put(leader, "late", 0, 1)
		is.Equal(leader.Feed().Wait(ctx, at).Commit, at+1)
	})
}

// TestAbandonedProposalIsNotAppended cancels a proposal that is queued while the owner
// goroutine applies an entry. It must fail as not proposed and never be applied.
func TestAbandonedProposalIsNotAppended(t *testing.T) {
	runWithCluster(t, 10, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		leader.machine.setDelay(lease / 2)
		go c.put(leader, "a", 0, 1)
		time.Sleep(2*networkDelay + 2*syncDelay) // the followers hold "a"
		ctx, cancel := context.WithTimeout(context.Background(), lease/4)
		defer cancel()
		_, err := leader.Propose(ctx, encode(command{ID: "b", Key: "b", Value: 1}))
		is.True(errors.Is(err, replica.ErrNotProposed))
		time.Sleep(lease / 2) // "a" is applied
		leader.machine.setDelay(0)
		time.Sleep(electionTimeout)
		is.Equal(c.waitForLeader().machine.get("a").Version, 1)
		is.Equal(c.waitForLeader().machine.get("b").Version, 0)
	})
}

// TestReadBarrierAfterLeaderRestart guards against stale reads from a new leader. It
// restarts the leader, whose state machine then lags behind its log, while the only
// other running member lacks entries.
func TestReadBarrierAfterLeaderRestart(t *testing.T) {
	runWithCluster(t, 11, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		behind, gone := others(c, leader.id)[0], others(c, leader.id)[1]
		c.isolate(behind, true)
		for i := range 20 {
			is.True(c.put(leader, "k", i, i).OK)
		}
		c.kill(gone)
		c.kill(leader.id)
		c.restart(leader.id)
		c.isolate(behind, false)
		leader = c.member(leader.id)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		for {
			index, err := leader.ReadBarrier(ctx)
			if err == nil {
				is.Equal(leader.machine.get("k").Version, 20)
				is.True(index > 20)
				return
			}
			is.NoErr(ctx.Err())
			time.Sleep(networkDelay)
		}
	})
}

// TestSlowApplyKeepsTheLeader stalls the leader's state machine for longer than an
// election timeout, while its followers answer and cannot elect another leader. The
// leader must not step down because their replies were queued meanwhile.
func TestSlowApplyKeepsTheLeader(t *testing.T) {
	runWithCluster(t, 12, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		ids := others(c, leader.id)
		c.sever(ids[0], ids[1])
		term := leader.Status().Term
		for i := range 8 {
			leader.machine.setDelay(electionTimeout * 6 / 5)
			is.True(c.put(leader, "k", i, i).OK)
			leader.machine.setDelay(0)
			time.Sleep(electionTimeout)
		}
		is.Equal(leader.Status().Role, raft.Leader)
		is.Equal(leader.Status().Term, term)
	})
}

// TestRemoveLeader removes the leader from the group. The call must succeed, and
// another member must take over.
func TestRemoveLeader(t *testing.T) {
	runWithCluster(t, 13, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		is.NoErr(leader.Remove(ctx, leader.id))
		next := c.waitForLeader(others(c, leader.id)...)
		is.True(c.put(next, "a", 0, 1).OK)
		is.Equal(len(next.Status().Members.Voters), 2)
	})
}

// applyUpdates applies m's updates to a follower that has applied the entries up to
// index until it is up to date, and returns the last applied index.
func applyUpdates(is *is.I, m *member, follower *registers, index uint64) uint64 {
	for {
		u := m.Feed().Since(index)
		if u.Snapshot != nil {
			is.NoErr(follower.Restore(u.Snapshot.Data))
			index = u.Snapshot.Index
		}
		for _, e := range u.Entries {
			is.Equal(e.Index, index+1)
			follower.Apply(e)
			index = e.Index
		}
		if index >= u.Commit {
			return index
		}
	}
}
