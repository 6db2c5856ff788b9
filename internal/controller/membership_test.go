package controller

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/peer"
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

// TestSilenceCountsFromCurrentTerm guards against a leader that replaces a member for a
// silence that it saw when it led before.
func TestSilenceCountsFromCurrentTerm(t *testing.T) {
	is := is.New(t)
	var s silence
	is.Equal(s.observe(2, 7, false, 10*time.Second), time.Duration(0))
	is.Equal(s.observe(2, 7, false, 11*time.Second), time.Second)
	is.Equal(s.observe(5, 7, false, 30*time.Second), time.Duration(0)) // leads again
	is.Equal(s.observe(5, 7, false, 31*time.Second), time.Second)
	is.Equal(s.observe(5, 7, true, 32*time.Second), time.Duration(0))
	is.Equal(s.observe(5, 7, false, 40*time.Second), time.Duration(0))
}

// TestJoinReachesLeaderThatIsNoSeed guards against a new node that never asks the leader: a
// seed is down, and the others name a leader that is connected one turn later.
func TestJoinReachesLeaderThatIsNoSeed(t *testing.T) {
	const leader = "e"
	for _, down := range []string{"a", "b", "c"} {
		for _, stale := range []string{"", "d"} { // the leader that the first seed names
			targets, hint, connected := joinTargets{}, "", ""
			asked := ""
			for turn := 0; turn < 12 && asked != leader; turn++ {
				peers := []peer.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
				if hint != "" {
					peers = append(peers, peer.Peer{Name: hint})
				}
				asked = targets.next(peers, hint, hint != "" && hint == connected)
				connected = hint
				switch asked {
				case down, "d":
					hint = nextHint(hint, asked, "")
				case "a":
					hint = nextHint(hint, asked, cmp.Or(stale, leader))
				default:
					hint = nextHint(hint, asked, leader)
				}
			}
			if asked != leader {
				t.Errorf("%s is down, stale leader %q: the leader was never asked", down, stale)
			}
		}
	}
}
