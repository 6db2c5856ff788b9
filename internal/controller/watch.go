package controller

import (
	"sync"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/nodelink"
)

const (
	// notifyDelay and notifyDelayPerWatcher delay a notification round, so that a burst
	// of changes causes one round of answers. An answer to one entry node takes about 70
	// µs of processor time (BenchmarkLeader); the delay per watcher of five times as much
	// limits the answers to a fifth of a core.
	notifyDelay           = 3 * time.Millisecond
	notifyDelayPerWatcher = 350 * time.Microsecond
)

// watchNotifier notifies pending watch requests of changes, in rounds. It is safe for
// concurrent use.
type watchNotifier struct {
	// onRound is called at the start of a round, before the watchers are notified.
	onRound func()

	mu      sync.Mutex
	changed chan struct{}
	// roundScheduled is set while the timer of the next round is pending.
	roundScheduled bool
	watchers       int
}

func newWatchNotifier(onRound func()) *watchNotifier {
	return &watchNotifier{onRound: onRound, changed: make(chan struct{})}
}

// setWatchers sets the number of entry nodes that watch, on which the delay of a round
// depends.
func (b *watchNotifier) setWatchers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers = n
}

// notify schedules a round after the delay, unless one is scheduled already.
func (b *watchNotifier) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.roundScheduled {
		return
	}
	b.roundScheduled = true
	time.AfterFunc(notifyDelay+time.Duration(b.watchers)*notifyDelayPerWatcher, b.startRound)
}

func (b *watchNotifier) startRound() {
	b.mu.Lock()
	b.roundScheduled = false
	b.mu.Unlock()
	b.onRound()
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}

// nextRound returns a channel that is closed at the next round.
func (b *watchNotifier) nextRound() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// changeCache caches the lists of changed upstreams of one round, so that nodes which ask
// for the same list share one lookup and one encoding. All answers of a round bring the
// nodes to the same revision, so that in the next round they ask for the same list again.
// It is accessed only on the loop.
type changeCache struct {
	// revision is the revision of the registry at the start of the round. A list may
	// contain later changes, which the next round repeats.
	revision uint64
	lists    map[changeKey]*changeList
}

// changeKey identifies a list of changes: those after the revision since, for an entry
// node or for a control node.
type changeKey struct {
	since uint64
	// entryNode omits the copies of weights, which only the planner needs.
	entryNode bool
}

// changeList is one list of changed upstreams. The first caller of encode encodes it;
// encode is safe for concurrent use.
type changeList struct {
	upstreams []fleet.Upstream

	once    sync.Once
	encoded nodelink.UpstreamList
	err     error
}

func (l *changeList) encode() (nodelink.UpstreamList, error) {
	l.once.Do(func() { l.encoded, l.err = nodelink.EncodeUpstreams(l.upstreams) })
	return l.encoded, l.err
}

// beginRound drops the cached lists if the registry has changed since the last round.
func (b *changeCache) beginRound(revision uint64) {
	if b.lists == nil || b.revision != revision {
		b.revision, b.lists = revision, map[changeKey]*changeList{}
	}
}

// since returns the list for a key, from the cache or from the registry.
func (b *changeCache) since(r *fleet.Registry, key changeKey) *changeList {
	list := b.lists[key]
	if list != nil {
		return list
	}
	list = &changeList{}
	if key.since < b.revision {
		list.upstreams = r.Since(key.since)
	}
	if key.entryNode {
		for i := range list.upstreams {
			list.upstreams[i].InMemory, list.upstreams[i].OnDisk = nil, nil
		}
	}
	b.lists[key] = list
	return list
}
