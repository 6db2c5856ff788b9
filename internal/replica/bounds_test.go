package replica_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/internal/storage"
)

const (
	// proposers is the number of concurrent proposals.
	proposers = 64
	// maxSyncsPerEntry bounds the syncs of one member per committed entry.
	maxSyncsPerEntry = 1.0 / 8
)

// proposeConcurrently starts several proposers. Each proposes count commands of
// size bytes through m, one after the other.
func proposeConcurrently(c *cluster, m *member, proposers, count, size int) {
	var wg sync.WaitGroup
	for p := range proposers {
		wg.Go(func() {
			for i := range count {
				cmd := command{ID: fmt.Sprintf("%d-%d", p, i), Key: fmt.Sprint(p), Base: i}
				cmd.ID += strings.Repeat("x", size-len(encode(cmd)))
				if _, err := m.Propose(context.Background(), encode(cmd)); err != nil {
					c.t.Error(err)
				}
			}
		})
	}
	wg.Wait()
}

func TestSyncsPerCommittedEntry(t *testing.T) {
	runWithCluster(t, 7, func(is *is.I, c *cluster) {
		leader := c.waitForLeader()
		before := map[*member]storage.Stats{}
		for _, id := range c.foundingIDs {
			before[c.member(id)] = c.member(id).store.Stats()
		}
		const rounds = 20
		proposeConcurrently(c, leader, proposers, rounds, 100)
		c.converge(c.foundingIDs...)
		for m, earlier := range before {
			now := m.store.Stats()
			ratio := float64(now.Syncs-earlier.Syncs) / float64(now.Entries-earlier.Entries)
			t.Logf("member %d: %.4f syncs per entry", m.id, ratio)
			is.Equal(now.Entries-earlier.Entries, uint64(rounds*proposers))
			is.True(ratio <= maxSyncsPerEntry)
		}
	})
}

// TestReplayAfterRestartIsBounded kills a follower at many log lengths and checks
// that its store returns at most SnapshotInterval entries to replay.
func TestReplayAfterRestartIsBounded(t *testing.T) {
	runWithCluster(t, 8, func(is *is.I, c *cluster) {
		maxReplayed := 0
		for i := range 4 * replica.SnapshotInterval {
			leader := c.waitForLeader()
			is.True(c.put(leader, "k", i, i).OK)
			if i%37 != 0 {
				continue
			}
			id := others(c, leader.id)[0]
			c.kill(id)
			store, state, err := storage.Open(storeOptions(id, c.member(id).fs))
			is.NoErr(err)
			is.NoErr(store.Close())
			maxReplayed = max(maxReplayed, len(state.Entries))
			c.restart(id)
		}
		t.Logf("at most %d entries to replay", maxReplayed)
		is.True(maxReplayed > 0 && maxReplayed <= replica.SnapshotInterval)
	})
}

// TestBytesPerChange bounds the bytes that one change costs per follower, both for
// sequential and for concurrent changes.
func TestBytesPerChange(t *testing.T) {
	const (
		changes = 10 * proposers
		// payload is the size of each command.
		payload = 300
		// The payload is base64 in JSON and takes 4/3 of its size. The rest bounds
		// the JSON around it: the append, its reply, and the heartbeats that are
		// sent in the same time.
		maxSequential = payload*4/3 + 350
		maxConcurrent = payload*4/3 + 80
	)
	bytesPerChange := func(concurrent int) (cost int) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 9, 1, 2, 3)
			defer c.stopAll()
			leader := c.waitForLeader()
			before := c.sentBytes()
			proposeConcurrently(c, leader, concurrent, changes/concurrent, payload)
			cost = (c.sentBytes() - before) / changes / (len(c.foundingIDs) - 1)
		})
		return cost
	}
	sequential, concurrent := bytesPerChange(1), bytesPerChange(proposers)
	t.Logf("bytes per change: %d sequential, %d concurrent, payload %d", sequential, concurrent, payload)
	is := is.New(t)
	is.True(sequential <= maxSequential)
	is.True(concurrent <= maxConcurrent)
}
