package controller

import (
	"testing"

	"github.com/matryer/is"
)

// TestLinksToKeep has a new member whose log ends before the leader joined: without
// a connection to the leader it would never get further.
func TestLinksToKeep(t *testing.T) {
	is := is.New(t)
	founders, others := []string{"a", "b", "c"}, []string{"b", "seed", "told"}
	is.Equal(linksToKeep(founders, "d", others), []string{"a", "b", "c", "d"})
	is.Equal(linksToKeep(founders, "b", others), founders)
	is.Equal(linksToKeep(founders, "", others), []string{"a", "b", "c", "seed", "told"})
	is.Equal(linksToKeep(nil, "d", others), []string{"b", "d", "seed", "told"})
	is.Equal(len(linksToKeep(nil, "", nil)), 0)
}
