package controller

import (
	"testing"

	"github.com/matryer/is"
)

// TestLinksToKeep guards against a new member that is stuck because its log ends before
// the entry that added the leader: it must be connected to the leader to receive the
// rest.
func TestLinksToKeep(t *testing.T) {
	is := is.New(t)
	founders, others := []string{"a", "b", "c"}, []string{"b", "seed", "told"}
	is.Equal(linksToKeep(founders, "d", others), []string{"a", "b", "c", "d"})
	is.Equal(linksToKeep(founders, "b", others), founders)
	is.Equal(linksToKeep(founders, "", others), []string{"a", "b", "c", "seed", "told"})
	is.Equal(linksToKeep(nil, "d", others), []string{"b", "d", "seed", "told"})
	is.Equal(len(linksToKeep(nil, "", nil)), 0)
}
