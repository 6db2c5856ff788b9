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
	// proposers is how many proposals are in flight at once.
	proposers = 64
	// maxSyncsPerEntry bounds the syncs of one member for each committed entry.
	maxSyncsPerEntry = 1.0 / 8
)

// proposeAtOnce has several proposers make count changes each, one after the
// other, as commands of size bytes.
func proposeAtOnce(c *cluster, m *member, proposers, count, size int) {
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
	bubble(t, 7, func(is *is.I, c *cluster) {
		leader := c.leader()
		before := map[*member]storage.Stats{}
		for _, id := range c.founded {
			before[c.member(id)] = c.member(id).store.Stats()
		}
		const rounds = 20
		proposeAtOnce(c, leader, proposers, rounds, 100)
		c.converge(c.founded...)
		for m, was := range before {
			now := m.store.Stats()
			ratio := float64(now.Syncs-was.Syncs) / float64(now.Entries-was.Entries)
			t.Logf("member %d: %.4f syncs per entry", m.id, ratio)
			is.Equal(now.Entries-was.Entries, uint64(rounds*proposers))
			is.True(ratio <= maxSyncsPerEntry)
		}
	})
}

// TestReplayAfterRestartIsBounded kills a member at many log lengths.
func TestReplayAfterRestartIsBounded(t *testing.T) {
	bubble(t, 8, func(is *is.I, c *cluster) {
		most := 0
		for i := range 4 * replica.SnapshotInterval {
			leader := c.leader()
			is.True(c.put(leader, "k", i, i).OK)
			if i%37 != 0 {
				continue
			}
			id := others(c, leader.id)[0]
			c.kill(id)
			store, state, err := storage.Open(storeOptions(id, c.member(id).fs))
			is.NoErr(err)
			is.NoErr(store.Close())
			most = max(most, len(state.Entries))
			c.restart(id)
		}
		t.Logf("at most %d entries to replay", most)
		is.True(most > 0 && most <= replica.SnapshotInterval)
	})
}

// TestBytesPerChange bounds what one change costs for each follower beside its
// payload, both for changes that come one by one and for many at once.
func TestBytesPerChange(t *testing.T) {
	const (
		changes = 10 * proposers
		// payload is the size of each command.
		payload = 300
		// In JSON the payload takes 4/3 of its size; the rest is the envelopes
		// of the append, of its answer, and of the heartbeats meanwhile.
		maxAlone    = payload*4/3 + 350
		maxTogether = payload*4/3 + 80
	)
	perChange := func(atOnce int) (cost int) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 9, 1, 2, 3)
			defer c.stopAll()
			leader := c.leader()
			before := c.sentBytes()
			proposeAtOnce(c, leader, atOnce, changes/atOnce, payload)
			cost = (c.sentBytes() - before) / changes / (len(c.founded) - 1)
		})
		return cost
	}
	alone, together := perChange(1), perChange(proposers)
	t.Logf("%d bytes alone, %d together for a payload of %d", alone, together, payload)
	is := is.New(t)
	is.True(alone <= maxAlone)
	is.True(together <= maxTogether)
}
