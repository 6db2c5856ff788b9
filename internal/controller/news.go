package controller

import (
	"sync"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/nodelink"
)

const (
	// gather is how long news wait for more, so that a series of changes makes one
	// round of answers, and gatherEach how much longer for each entry node: an answer
	// costs about 70 µs (BenchmarkLeader), and news may take a fifth of a core.
	gather     = 3 * time.Millisecond
	gatherEach = 350 * time.Microsecond
)

// broadcast wakes everybody who waits for news, in rounds. Any goroutine may use
// it.
type broadcast struct {
	// begin is called as a round begins, before anybody wakes.
	begin func()

	mu      sync.Mutex
	changed chan struct{}
	// due says that a round is about to begin.
	due       bool
	followers int
}

func newBroadcast(begin func()) *broadcast {
	return &broadcast{begin: begin, changed: make(chan struct{})}
}

// setFollowers says how many nodes wait for news.
func (b *broadcast) setFollowers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.followers = n
}

// wake begins a round before long.
func (b *broadcast) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.due {
		return
	}
	b.due = true
	time.AfterFunc(gather+time.Duration(b.followers)*gatherEach, b.round)
}

func (b *broadcast) round() {
	b.mu.Lock()
	b.due = false
	b.mu.Unlock()
	b.begin()
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}

// next returns a channel that is closed at the next round.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// newsBook shares what changed since a revision among all nodes that ask for the
// same, so that a change is looked up and encoded once and not for each node. All
// answers of a round bring the nodes to the same revision, so that in the next one
// they ask for the same. It belongs to the loop.
type newsBook struct {
	// revision is the registry's as the round began. A list may show later changes,
	// which the next round repeats.
	revision uint64
	lists    map[newsKey]*newsList
}

// newsKey says what a node knows and what it needs to know.
type newsKey struct {
	since uint64
	// entry leaves copies of weights out, which concern the planner only.
	entry bool
}

// newsList is one list of changes, encoded by the first who needs it. Any goroutine
// may encode it.
type newsList struct {
	upstreams []fleet.Upstream

	once    sync.Once
	encoded nodelink.UpstreamList
	err     error
}

func (l *newsList) encode() (nodelink.UpstreamList, error) {
	l.once.Do(func() { l.encoded, l.err = nodelink.EncodeUpstreams(l.upstreams) })
	return l.encoded, l.err
}

// begin starts a round.
func (b *newsBook) begin(revision uint64) {
	if b.lists == nil || b.revision != revision {
		b.revision, b.lists = revision, map[newsKey]*newsList{}
	}
}

// since returns what changed in the registry.
func (b *newsBook) since(r *fleet.Registry, key newsKey) *newsList {
	list := b.lists[key]
	if list != nil {
		return list
	}
	list = &newsList{}
	if key.since < b.revision {
		list.upstreams = r.Since(key.since)
	}
	if key.entry {
		for i := range list.upstreams {
			list.upstreams[i].InMemory, list.upstreams[i].OnDisk = nil, nil
		}
	}
	b.lists[key] = list
	return list
}
