package replica

import (
	"context"
	"slices"
	"sync"

	"github.com/agateslip/agateslip/raft"
)

const (
	// feedEntries is how many applied entries a feed keeps beside those since
	// the last snapshot.
	feedEntries = 2 * SnapshotInterval
	// maxUpdateBytes bounds the commands in one update; it holds at least one
	// entry.
	maxUpdateBytes = 1 << 20
)

// Update brings a follower without a disk forward. It restores Snapshot if that
// is set, then applies Entries. It is up to date once it has applied Commit.
type Update struct {
	Snapshot *raft.Snapshot `json:"snapshot,omitempty"`
	Entries  []raft.Entry   `json:"entries,omitempty"`
	// Commit is the last entry that the answering member has applied or, where it
	// leads, knows to be committed.
	Commit uint64 `json:"commit"`
	// Confirmed says that the answering member led under a valid lease when it
	// read Commit: nothing that was accepted before the request is missing.
	Confirmed bool `json:"confirmed,omitempty"`
}

// Feed keeps the latest applied entries in memory. Its methods may be called
// from any goroutine.
type Feed struct {
	mu       sync.Mutex
	snapshot raft.Snapshot
	// entries are consecutive and end at commit; they reach back to the
	// snapshot at least.
	entries []raft.Entry
	commit  uint64
	// changed is closed and replaced when commit grows.
	changed chan struct{}
}

func newFeed(s raft.Snapshot) *Feed {
	return &Feed{snapshot: s, commit: s.Index, changed: make(chan struct{})}
}

// reset starts again from a snapshot received from the leader.
func (f *Feed) reset(s raft.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
	f.entries = nil
	f.advance(s.Index)
}

// add appends applied entries.
func (f *Feed) add(entries []raft.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, entries...)
	f.advance(entries[len(entries)-1].Index)
}

// setSnapshot takes note of a newer snapshot and drops entries before it.
func (f *Feed) setSnapshot(s raft.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
	excess := len(f.entries) - feedEntries
	first := f.commit - uint64(len(f.entries)) + 1
	for excess > 0 && first <= s.Index {
		f.entries[0] = raft.Entry{}
		f.entries = f.entries[1:]
		first++
		excess--
	}
}

// advance wakes the waiters. The caller holds mu.
func (f *Feed) advance(commit uint64) {
	f.commit = commit
	close(f.changed)
	f.changed = make(chan struct{})
}

// Since returns what a follower needs that has applied the entries up to
// index.
func (f *Feed) Since(index uint64) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since(index)
}

func (f *Feed) since(index uint64) Update {
	u := Update{Commit: f.commit}
	if index >= f.commit {
		return u
	}
	if before := f.commit - uint64(len(f.entries)); index < before {
		s := f.snapshot
		u.Snapshot = &s
		index = s.Index
	}
	u.Entries = limitBytes(f.entries[len(f.entries)-int(f.commit-index):])
	return u
}

// Wait returns what Since does, but not before there is something newer than
// index or the context ends.
func (f *Feed) Wait(ctx context.Context, index uint64) Update {
	for {
		f.mu.Lock()
		u, changed := f.since(index), f.changed
		f.mu.Unlock()
		if u.Commit > index {
			return u
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return u
		}
	}
}

// limitBytes returns a copy of the first entries that fit into one update.
func limitBytes(entries []raft.Entry) []raft.Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxUpdateBytes && i > 0 {
			return slices.Clone(entries[:i])
		}
	}
	return slices.Clone(entries)
}

// Update waits until there is something newer than index or the context ends,
// and returns it with the word whether this member leads.
func (r *Replica) Update(ctx context.Context, index uint64) Update {
	r.feed.Wait(ctx, index)
	status, leads := r.Observe()
	u := r.feed.Since(index)
	if leads {
		u.Confirmed = true
		u.Commit = max(u.Commit, status.Commit)
	}
	return u
}
