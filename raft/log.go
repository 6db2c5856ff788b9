package raft

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// entryOverheadBytes is the size charged for each entry in addition to its command.
const entryOverheadBytes = 24

// memberIDBytes is the size charged for each member ID in an entry.
const memberIDBytes = 8

// entrySize returns the bytes that an entry counts against size limits.
func entrySize(e *Entry) int {
	size := entryOverheadBytes + len(e.Data)
	if e.Members != nil {
		size += memberIDBytes * (len(e.Members.Voters) + len(e.Members.Learners))
	}
	return size
}

// entryLog holds a snapshot and the entries that follow it. Slices returned by its
// methods stay valid, because entries are never overwritten in place.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	// commit is the highest index known to be committed.
	commit uint64
	// takenForApply is the highest index that Take has returned for applying.
	takenForApply uint64
	// applied is the highest index that the caller reported as applied.
	applied uint64
	// takenForWrite is the highest index that Take has returned for writing.
	takenForWrite uint64
	// durable is the highest index that the caller reported as written.
	durable uint64
}

// newEntryLog returns the log of a restored member, or ErrCorrupt if the durable state is
// inconsistent.
func newEntryLog(from DurableState) (entryLog, error) {
	index, term := from.Snapshot.Index, from.Snapshot.Term
	for i := range from.Entries {
		e := &from.Entries[i]
		if e.Index != index+1 || e.Term < term {
			return entryLog{}, errors.Wrapf(ErrCorrupt, "entry %d of term %d follows entry %d of term %d", e.Index, e.Term, index, term)
		}
		if e.Kind == EntryMembers && e.Members == nil {
			return entryLog{}, errors.Wrapf(ErrCorrupt, "membership entry %d has no membership", e.Index)
		}
		index, term = e.Index, e.Term
	}
	if from.Hard.Term < term && len(from.Entries) > 0 {
		return entryLog{}, errors.Wrapf(ErrCorrupt, "hard state term %d is older than the log's last term %d", from.Hard.Term, term)
	}
	base := from.Snapshot.Index
	return entryLog{
		snapshot:      from.Snapshot,
		entries:       slices.Clip(slices.Clone(from.Entries)),
		commit:        base,
		takenForApply: base,
		applied:       base,
		takenForWrite: index,
		durable:       index,
	}, nil
}

// lastIndex returns the index of the last entry, or of the snapshot if no entry follows
// it.
func (l *entryLog) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

// lastTerm returns the term of the last entry, or of the snapshot if no entry follows it.
func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index, which may be the last one in the
// snapshot, or false if the log does not hold its term.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	base := l.snapshot.Index
	switch {
	case index < base || index > l.lastIndex():
		return 0, false
	case index == base:
		return l.snapshot.Term, true
	default:
		return l.entries[index-base-1].Term, true
	}
}

// matches reports whether the log holds the given index with the given term.
func (l *entryLog) matches(index, term uint64) bool {
	ownTerm, ok := l.termAt(index)
	return ok && ownTerm == term
}

// slice returns the entries from lo to hi inclusive.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	from, to := lo-l.snapshot.Index-1, hi-l.snapshot.Index
	return l.entries[from:to:to]
}

// batch returns as many entries from lo to at most hi as fit into maxBytes, but at least
// one if there is any.
func (l *entryLog) batch(lo, hi uint64, maxBytes int) []Entry {
	entries := l.slice(lo, hi)
	size := 0
	for i := range entries {
		size += entrySize(&entries[i])
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// extend appends entries to the log.
func (l *entryLog) extend(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. It panics if the entry at index is committed.
func (l *entryLog) truncate(index uint64) {
	if index <= l.commit {
		panic(errors.AssertionFailedf("raft: truncating committed entry %d, commit index %d", index, l.commit))
	}
	keep := index - l.snapshot.Index - 1
	l.entries = l.entries[:keep:keep]
	l.takenForWrite = min(l.takenForWrite, index-1)
	l.durable = min(l.durable, index-1)
}

// markDurable records that the entries up to index are written. Entries that were
// replaced since Take returned them do not count.
func (l *entryLog) markDurable(index uint64) {
	l.durable = max(l.durable, min(index, l.takenForWrite))
}

// entriesToWrite returns the entries that Take has not yet returned for writing.
func (l *entryLog) entriesToWrite() []Entry {
	return l.slice(l.takenForWrite+1, l.lastIndex())
}

// entriesToApply returns the committed entries that Take has not yet returned for
// applying.
func (l *entryLog) entriesToApply() []Entry {
	return l.slice(l.takenForApply+1, l.commit)
}

// moreUpToDateThan reports whether this log is more up to date than a log whose last
// entry has the given index and term.
func (l *entryLog) moreUpToDateThan(index, term uint64) bool {
	ownTerm := l.lastTerm()
	return ownTerm > term || ownTerm == term && l.lastIndex() > index
}

// compact replaces the entries up to s.Index by s, a snapshot of the applied state.
func (l *entryLog) compact(s Snapshot) {
	l.entries = slices.Clone(l.slice(s.Index+1, l.lastIndex()))
	l.snapshot = s
}

// restore replaces the whole log by a snapshot from the leader.
func (l *entryLog) restore(s Snapshot) {
	*l = entryLog{
		snapshot:      s,
		commit:        s.Index,
		takenForApply: s.Index,
		applied:       l.applied,
		takenForWrite: s.Index,
		durable:       s.Index,
	}
}

// sizeBytes returns the total entrySize of the entries from lo to hi inclusive.
func (l *entryLog) sizeBytes(lo, hi uint64) int {
	size := 0
	entries := l.slice(lo, hi)
	for i := range entries {
		size += entrySize(&entries[i])
	}
	return size
}
