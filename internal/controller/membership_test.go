package controller

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/raft"
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

// TestSilenceEndsWhereObservationDoes guards against a leader that replaces a member for a silence
// that it saw before it was held up itself.
func TestSilenceEndsWhereObservationDoes(t *testing.T) {
	is := is.New(t)
	var s silence
	at := func(now time.Duration, reachable bool) time.Duration {
		s.observe(map[raft.MemberID]bool{7: reachable}, true, now)
		return s.silent(now)[7].Truncate(time.Millisecond)
	}
	is.Equal(at(10*time.Second, false), time.Duration(0))
	is.Equal(at(11*time.Second, false), time.Second)
	is.Equal(at(30*time.Second, false), time.Duration(0)) // after a freeze
	is.Equal(at(31*time.Second, false), time.Second)
	is.Equal(at(32*time.Second, true), time.Duration(0))
	is.Equal(len(s.silent(32*time.Second)), 0)
	is.Equal(at(33*time.Second, false), time.Duration(0))
	is.Equal(at(34*time.Second, false), time.Second)
}

// TestStartingMemberIsNotSilent guards against a leader that replaces a member because the two have
// not connected yet after a start: there the silence begins only with the first leader.
func TestStartingMemberIsNotSilent(t *testing.T) {
	is := is.New(t)
	var s silence
	both := map[raft.MemberID]bool{7: false, 8: true}
	for now := 10 * time.Second; now <= 13*time.Second; now += time.Second {
		s.observe(both, false, now)
		is.Equal(len(s.silent(now)), 0)
	}
	s.observe(both, true, 14*time.Second)
	s.observe(both, false, 15*time.Second) // the leader is lost again
	s.observe(map[raft.MemberID]bool{7: false, 8: false}, false, 16*time.Second)
	is.Equal(s.silent(16 * time.Second)[7], 2*time.Second)
	s.observe(map[raft.MemberID]bool{7: false, 8: false}, false, 17*time.Second)
	is.Equal(s.silent(17 * time.Second)[8], time.Second) // reached before
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
