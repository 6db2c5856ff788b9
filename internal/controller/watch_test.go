package controller

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/origin"
)

// TestChangeCacheSharesLists checks that the nodes of one round share one list while
// upstreams keep changing, that all reach the same revision, and that the next round
// contains the changes made meanwhile.
func TestChangeCacheSharesLists(t *testing.T) {
	is := is.New(t)
	r := fleet.NewRegistry(fleet.Timeouts{Silence: time.Minute, Tombstone: time.Minute})
	announce := func(i int) {
		r.Announce(fleet.Upstream{ID: fmt.Sprint("u", i), Addr: fmt.Sprint("a:", i), Seq: 1, InMemory: []string{"m"}}, 0)
	}
	var cache changeCache
	announce(1)
	cache.beginRound(r.Revision())
	first := cache.changedSince(r, changeKey{0, true})
	is.Equal(len(first.upstreams), 1)
	is.Equal(len(first.upstreams[0].InMemory), 0) // only the planner needs it
	announce(2)
	is.True(cache.changedSince(r, changeKey{0, true}) == first)
	is.Equal(len(cache.changedSince(r, changeKey{0, false}).upstreams[0].InMemory), 1)
	known := cache.revision
	is.Equal(len(cache.changedSince(r, changeKey{known, true}).upstreams), 0) // until the next round
	cache.beginRound(r.Revision())
	is.Equal(len(cache.changedSince(r, changeKey{known, true}).upstreams), 1)
}

// TestWatchNotifierLimitsRounds calls notify far more often than a round may start, and
// checks the number of rounds.
func TestWatchNotifierLimitsRounds(t *testing.T) {
	is := is.New(t)
	var rounds atomic.Int64
	b := newWatchNotifier(func() { rounds.Add(1) })
	const followers = 100
	b.setWatchers(followers)
	next := b.nextRound()
	const span = 400 * time.Millisecond
	for start := time.Now(); time.Since(start) < span; time.Sleep(time.Millisecond) {
		b.notify()
	}
	<-next
	is.True(rounds.Load() >= 1)
	is.True(rounds.Load() <= int64(span/(followers*notifyDelayPerWatcher))+1)
}

// TestNewLeaderDoesNotUndercountEntryNodes has a node that has just been elected tell the number of entry nodes,
// among which these divide retries, connections and brittle upstreams, before all of them have found it.
func TestNewLeaderDoesNotUndercountEntryNodes(t *testing.T) {
	is := is.New(t)
	c := &Controller{ledSince: time.Minute, entryNodes: map[string]entryNode{"front-1": {}}}
	is.Equal(c.countEntryNodes(false, time.Minute), 0)
	is.Equal(c.countEntryNodes(false, time.Minute+2*time.Second), 0)
	is.Equal(c.countEntryNodes(true, time.Minute), 1)
	for i := range 8 {
		c.entryNodes[fmt.Sprint("front-", i)] = entryNode{}
	}
	is.Equal(c.countEntryNodes(false, time.Minute+3*time.Second), 8)
}

// TestBrittleServicesAreToldAtOnce has a node that waits for changes know an earlier word on brittle services.
func TestBrittleServicesAreToldAtOnce(t *testing.T) {
	is := is.New(t)
	knows := &nodelink.WatchRequest{BrittleRevision: 2}
	is.True(!tellsNews(&nodelink.WatchAnswer{BrittleRevision: 2}, knows))
	is.True(tellsNews(&nodelink.WatchAnswer{BrittleRevision: 3}, knows))
	is.True(tellsNews(&nodelink.WatchAnswer{BrittleRevision: 2, Whole: true}, knows))
	is.True(tellsNews(&nodelink.WatchAnswer{BrittleRevision: 2, Quarantine: &nodelink.QuarantineState{}}, knows))
}

// TestReplacedBaseVersionsAreNotTold proposes another base version, which does not take effect.
func TestReplacedBaseVersionsAreNotTold(t *testing.T) {
	is := is.New(t)
	c := &Controller{origins: origin.NewTracker(0), stateMachine: newStateMachine(nil, nil, nil)}
	c.stateMachine.state.Streams.Apply(&origin.Change{Bases: &map[string]string{"llm": "v1"}})
	is.Equal(*c.baseVersions(), map[string]string{"llm": "v1"})
	upstreams := func() []fleet.Upstream { return []fleet.Upstream{{ID: "a", Service: "llm", Software: "v2"}} }
	var change *origin.Change
	for now := time.Duration(0); change == nil && now < time.Hour; now += time.Second {
		c.stateMachine.streams(func(t *origin.Table) { change = c.origins.Review(t, upstreams, now) })
	}
	is.Equal(len(*c.baseVersions()), 0)
}
