// Package changelog numbers the changes of named things, so that a copy elsewhere
// is brought forward by what changed since, at a cost that follows the number of
// changes and not the number of things. It has no clock, goroutine or I/O.
package changelog

import "sort"

// Log remembers the latest change of each name. One goroutine uses it.
type Log struct {
	revision uint64
	latest   map[string]uint64
	// order has the changes by revision. Of a name that changed again, the earlier
	// ones stay until the log is compacted.
	order []change
}

type change struct {
	revision uint64
	name     string
}

// New returns an empty log.
func New() *Log { return &Log{latest: map[string]uint64{}} }

// Note takes note of a change and returns its number.
func (l *Log) Note(name string) uint64 {
	l.revision++
	l.latest[name] = l.revision
	l.order = append(l.order, change{l.revision, name})
	l.compact()
	return l.revision
}

// Forget drops a name: a copy that has not heard of its latest change will not.
func (l *Log) Forget(name string) { delete(l.latest, name) }

// Revision is the number of the latest change, zero before the first.
func (l *Log) Revision() uint64 { return l.revision }

// Since calls fn for each name that changed after a revision, in the order of their
// latest changes.
func (l *Log) Since(revision uint64, fn func(name string)) {
	from := sort.Search(len(l.order), func(i int) bool { return l.order[i].revision > revision })
	for _, c := range l.order[from:] {
		if l.latest[c.name] == c.revision {
			fn(c.name)
		}
	}
}

// slack is how many superseded changes are kept beside as many as there are names,
// so that compacting costs little for each change.
const slack = 64

// compact drops superseded changes once they are the larger part.
func (l *Log) compact() {
	if len(l.order) <= 2*len(l.latest)+slack {
		return
	}
	kept := l.order[:0]
	for _, c := range l.order {
		if l.latest[c.name] == c.revision {
			kept = append(kept, c)
		}
	}
	clear(l.order[len(kept):])
	l.order = kept
}
