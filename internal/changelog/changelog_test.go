package changelog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestSinceMatchesModel compares Since with a map of the latest change of each name.
func TestSinceMatchesModel(t *testing.T) {
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
			latest[name] = l.Record(name)
		}
		since := rapid.Uint64Range(0, l.Revision()+1).Draw(t, "since")
		previous := since
		reported := map[string]bool{}
		l.Since(since, func(name string) {
			if latest[name] <= previous {
				t.Fatalf("%s changed at %d, reported after %d", name, latest[name], previous)
			}
			previous = latest[name]
			reported[name] = true
		})
		for name, at := range latest {
			if reported[name] != (at > since) {
				t.Fatalf("%s changed at %d, since %d: reported %v", name, at, since, reported[name])
			}
		}
	})
}

// TestCompactionBoundsLog guards against a log that grows with the number of changes
// when the number of names stays the same.
func TestCompactionBoundsLog(t *testing.T) {
	l := New()
	for i := range 100_000 {
		l.Record(fmt.Sprint(i % 10))
	}
	is.New(t).True(len(l.changes) <= 2*10+compactionSlack)
}
