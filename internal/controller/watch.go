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
	// µs of processor time (BenchmarkLeader in platform/scale). notifyDelayPerWatcher is
	// five times that, which limits the answers to a fifth of a core.
	notifyDelay           = 3 * time.Millisecond
	notifyDelayPerWatcher = 350 * time.Microsecond
)

// watchNotifier notifies pending watch requests of changes, in rounds. It is safe for
// concurrent use.
type watchNotifier struct {
	// onRound is called at the start of a round, before the watchers are notified.
	onRound func()

	mu sync.Mutex
	// changed is closed at the next round.
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
func (w *watchNotifier) setWatchers(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watchers = n
}

// notify schedules a round after the delay, unless one is scheduled already.
func (w *watchNotifier) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.roundScheduled {
		return
	}
	w.roundScheduled = true
	time.AfterFunc(notifyDelay+time.Duration(w.watchers)*notifyDelayPerWatcher, w.startRound)
}

func (w *watchNotifier) startRound() {
	w.mu.Lock()
	w.roundScheduled = false
	w.mu.Unlock()
	w.onRound()
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

// nextRound returns a channel that is closed at the next round.
func (w *watchNotifier) nextRound() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// changeCache caches the lists of changed upstreams of one round, so that nodes which ask
// for the same list share one lookup and one encoding. All answers of a round bring the
// nodes to the same revision, so that in the next round they ask for the same list again.
// It is accessed only on the controller's loop.
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
	// entryNode is set for an entry node. Its list omits the copies of weights, which only
	// the planner needs.
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
func (c *changeCache) beginRound(revision uint64) {
	if c.lists == nil || c.revision != revision {
		c.revision, c.lists = revision, map[changeKey]*changeList{}
	}
}

// changedSince returns the list that a key identifies, from the cache or from the
// registry.
func (c *changeCache) changedSince(r *fleet.Registry, key changeKey) *changeList {
	list := c.lists[key]
	if list != nil {
		return list
	}
	list = &changeList{}
	if key.since < c.revision {
		list.upstreams = r.Since(key.since)
	}
	if key.entryNode {
		for i := range list.upstreams {
			list.upstreams[i].InMemory, list.upstreams[i].OnDisk = nil, nil
		}
	}
	c.lists[key] = list
	return list
}
