package changelog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestSinceNamesWhatChanged compares the log with a list of all changes.
func TestSinceNamesWhatChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		latest := map[string]uint64{}
		for range rapid.IntRange(0, 400).Draw(t, "changes") {
			name := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "name"))
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				l.Forget(name)
				delete(latest, name)
				continue
			}
			latest[name] = l.Note(name)
		}
		since := rapid.Uint64Range(0, l.Revision()+1).Draw(t, "since")
		before := since
		seen := map[string]bool{}
		l.Since(since, func(name string) {
			if latest[name] <= before {
				t.Fatalf("%s changed at %d, named after %d", name, latest[name], before)
			}
			before = latest[name]
			seen[name] = true
		})
		for name, at := range latest {
			if seen[name] != (at > since) {
				t.Fatalf("%s changed at %d, since %d: named %v", name, at, since, seen[name])
			}
		}
	})
}

// TestTheLogStaysAsLongAsItsNames has few names that change for ever.
func TestTheLogStaysAsLongAsItsNames(t *testing.T) {
	l := New()
	for i := range 100_000 {
		l.Note(fmt.Sprint(i % 10))
	}
	is.New(t).True(len(l.order) <= 2*10+slack)
}
