package controller

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
)

// TestNodesThatKnowTheSameShareOneList has many nodes ask in one round while
// upstreams go on changing: the list is made once, all come to the same revision,
// and the next round has what changed meanwhile.
func TestNodesThatKnowTheSameShareOneList(t *testing.T) {
	is := is.New(t)
	r := fleet.NewRegistry(fleet.Timeouts{Silence: time.Minute, Tombstone: time.Minute})
	announce := func(i int) {
		r.Announce(fleet.Upstream{ID: fmt.Sprint("u", i), Addr: fmt.Sprint("a:", i), Seq: 1, InMemory: []string{"m"}}, 0)
	}
	var book newsBook
	announce(1)
	book.begin(r.Revision())
	first := book.since(r, newsKey{0, true})
	is.Equal(len(first.upstreams), 1)
	is.Equal(len(first.upstreams[0].InMemory), 0) // concerns the planner only
	announce(2)
	is.True(book.since(r, newsKey{0, true}) == first)
	is.Equal(len(book.since(r, newsKey{0, false}).upstreams[0].InMemory), 1)
	known := book.revision
	is.Equal(len(book.since(r, newsKey{known, true}).upstreams), 0) // until the next round
	book.begin(r.Revision())
	is.Equal(len(book.since(r, newsKey{known, true}).upstreams), 1)
}

// TestManyChangesMakeFewRounds wakes those who wait far more often than a round
// may begin.
func TestManyChangesMakeFewRounds(t *testing.T) {
	is := is.New(t)
	var rounds atomic.Int64
	b := newBroadcast(func() { rounds.Add(1) })
	const followers = 100
	b.setFollowers(followers)
	next := b.next()
	const span = 400 * time.Millisecond
	for start := time.Now(); time.Since(start) < span; time.Sleep(time.Millisecond) {
		b.wake()
	}
	<-next
	is.True(rounds.Load() >= 1)
	is.True(rounds.Load() <= int64(span/(followers*gatherEach))+1)
}
