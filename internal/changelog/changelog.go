// Package changelog numbers the changes of named items, so that a remote copy can be
// brought up to date with only the items that changed since its revision. The cost
// grows with the number of changes, not with the number of items. The package has no
// clock, goroutine or I/O.
package changelog

import "sort"

// Log records the latest change of each name. It is not safe for concurrent use.
type Log struct {
	revision uint64
	latest   map[string]uint64
	// changes lists the changes by ascending revision. A change that was superseded by
	// a later one of the same name stays until the log is compacted.
	changes []change
}

type change struct {
	revision uint64
	name     string
}

// New returns an empty log.
func New() *Log { return &Log{latest: map[string]uint64{}} }

// Record records a change of name and returns its revision.
func (l *Log) Record(name string) uint64 {
	l.revision++
	l.latest[name] = l.revision
	l.changes = append(l.changes, change{l.revision, name})
	l.compact()
	return l.revision
}

// Forget removes a name. A copy that has not received the latest change of the name
// never receives it.
func (l *Log) Forget(name string) { delete(l.latest, name) }

// Revision returns the revision of the latest change, or zero if there is none.
func (l *Log) Revision() uint64 { return l.revision }

// Since calls fn for each name that changed after the given revision, in the order of
// the latest changes.
func (l *Log) Since(revision uint64, fn func(name string)) {
	from := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].revision > revision })
	for _, c := range l.changes[from:] {
		if l.latest[c.name] == c.revision {
			fn(c.name)
		}
	}
}

// compactionSlack is how many superseded changes may be kept in addition to one per name.
// It keeps the amortized cost of compaction per change small.
const compactionSlack = 64

// compact drops the superseded changes once there are more than compactionSlack of
// them beyond the number of names.
func (l *Log) compact() {
	if len(l.changes) <= 2*len(l.latest)+compactionSlack {
		return
	}
	kept := l.changes[:0]
	for _, c := range l.changes {
		if l.latest[c.name] == c.revision {
			kept = append(kept, c)
		}
	}
	clear(l.changes[len(kept):])
	l.changes = kept
}
