package replica

import (
	"context"
	"slices"
	"sync"

	"github.com/agateslip/agateslip/raft"
)

const (
	// minFeedEntries is the number of latest applied entries that a Feed retains
	// even where its snapshot already covers them.
	minFeedEntries = 2 * SnapshotInterval
	// maxUpdateBytes bounds the total entry data of one Update. A single larger
	// entry is still sent, alone.
	maxUpdateBytes = 1 << 20
)

// Update holds what a follower without a disk needs to advance its state machine.
// The follower restores Snapshot if it is set, then applies Entries. It is up to
// date once it has applied the entry at Commit; until then it asks again.
type Update struct {
	Snapshot *raft.Snapshot `json:"snapshot,omitempty"`
	Entries  []raft.Entry   `json:"entries,omitempty"`
	// Commit is the index of the last entry that the answering member has applied
	// or, if it leads, knows to be committed.
	Commit uint64 `json:"commit"`
	// Confirmed is set if the answering member led under a valid lease when it
	// read Commit. Commit then covers every entry accepted before the request.
	Confirmed bool `json:"confirmed,omitempty"`
}

// Feed keeps the latest snapshot and the latest applied entries in memory. Its
// methods may be called from any goroutine.
type Feed struct {
	mu       sync.Mutex
	snapshot raft.Snapshot
	// entries are consecutive, end at commit and include every entry after the
	// snapshot.
	entries []raft.Entry
	// commit is the index of the last applied entry.
	commit uint64
	// commitAdvanced is closed and replaced whenever commit is set.
	commitAdvanced chan struct{}
}

// newFeed returns a feed that holds the snapshot s and no entries.
func newFeed(s raft.Snapshot) *Feed {
	return &Feed{snapshot: s, commit: s.Index, commitAdvanced: make(chan struct{})}
}

// reset drops all entries and starts from a snapshot received from the leader.
func (f *Feed) reset(s raft.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
	f.entries = nil
	f.advanceLocked(s.Index)
}

// add appends applied entries, of which there must be at least one.
func (f *Feed) add(entries []raft.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, entries...)
	f.advanceLocked(entries[len(entries)-1].Index)
}

// setSnapshot stores a newer snapshot and drops the entries that it covers, except
// for the last minFeedEntries.
func (f *Feed) setSnapshot(s raft.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
	excess := len(f.entries) - minFeedEntries
	first := f.commit - uint64(len(f.entries)) + 1
	for excess > 0 && first <= s.Index {
		f.entries[0] = raft.Entry{}
		f.entries = f.entries[1:]
		first++
		excess--
	}
}

// advanceLocked sets commit and wakes the callers of Wait. The caller holds mu.
func (f *Feed) advanceLocked(commit uint64) {
	f.commit = commit
	close(f.commitAdvanced)
	f.commitAdvanced = make(chan struct{})
}

// Since returns the update for a follower that has applied the entries up to
// index. It contains a snapshot if entries after index are no longer held.
func (f *Feed) Since(index uint64) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sinceLocked(index)
}

// sinceLocked implements Since. The caller holds mu.
func (f *Feed) sinceLocked(index uint64) Update {
	u := Update{Commit: f.commit}
	if index >= f.commit {
		return u
	}
	if lastDropped := f.commit - uint64(len(f.entries)); index < lastDropped {
		s := f.snapshot
		u.Snapshot = &s
		index = s.Index
	}
	u.Entries = limitBytes(f.entries[len(f.entries)-int(f.commit-index):])
	return u
}

// Wait blocks until an entry after index is applied or the context ends, then
// returns the same update as Since.
func (f *Feed) Wait(ctx context.Context, index uint64) Update {
	for {
		f.mu.Lock()
		u, changed := f.sinceLocked(index), f.commitAdvanced
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

// limitBytes returns a copy of the longest prefix of entries whose data fits into
// maxUpdateBytes, and of at least one entry.
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

// Update blocks until an entry after index is applied or the context ends, then
// returns the update from the feed. If this member leads under a valid lease,
// the update is Confirmed and Commit includes entries that are committed but not
// yet applied.
func (r *Replica) Update(ctx context.Context, index uint64) Update {
	r.feed.Wait(ctx, index)
	status, leads := r.CurrentStatus()
	u := r.feed.Since(index)
	if leads {
		u.Confirmed = true
		u.Commit = max(u.Commit, status.Commit)
	}
	return u
}
