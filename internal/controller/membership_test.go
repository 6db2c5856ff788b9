package controller

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/nodelink"
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

// TestSuccessorIsNotSilent guards against a member that is taken for gone since its predecessor at the same address was.
func TestSuccessorIsNotSilent(t *testing.T) {
	is := is.New(t)
	var s silence
	s.observe(map[raft.MemberID]bool{7: false}, true, 10*time.Second)
	s.observe(map[raft.MemberID]bool{7: false, 8: true}, true, 11*time.Second)
	is.Equal(s.silent(11 * time.Second)[7], time.Second)
	s.observe(map[raft.MemberID]bool{8: false}, true, 12*time.Second)
	is.Equal(s.silent(12*time.Second), map[raft.MemberID]time.Duration{8: 1})
}

// joinRound is a node without a log that looks for the leader e. A connection opens in the turn after its peer
// is listed, and closes with the list.
type joinRound struct {
	targets joinTargets
	// open and opening are the connections. down holds the nodes that accept none.
	open, opening []string
	down          []string
	// told is what each node answers: the leader that it names, or "" if it names none.
	told map[string]string
	// unsent counts requests to nodes without a connection.
	unsent int
}

// turn plays one turn and returns the node that was asked.
func (r *joinRound) turn(now time.Duration) (asked string) {
	links := slices.Concat([]string{"a", "b", "c"}, r.targets.links(now))
	slices.Sort(links)
	var peers []peer.Peer
	listed := func(link string) bool { return slices.Contains(links, link) }
	for _, link := range slices.Compact(links) {
		peers = append(peers, peer.Peer{Name: link})
	}
	r.open = slices.DeleteFunc(r.open, func(link string) bool { return !listed(link) })
	asked = r.targets.next(peers, func(link string) bool { return slices.Contains(r.open, link) })
	switch {
	case asked == "":
	case !slices.Contains(r.open, asked):
		r.unsent, asked = r.unsent+1, ""
	default:
		r.targets.asked(asked, peer.Errorf(nodelink.CodeNotLeader, "%s", r.told[asked]))
		r.targets.name(r.told[asked], now)
	}
	r.open = slices.Concat(r.open, r.opening)
	r.opening = nil
	for _, p := range peers {
		if !slices.Contains(r.open, p.Name) && !slices.Contains(r.down, p.Name) {
			r.opening = append(r.opening, p.Name)
		}
	}
	return asked
}

// TestJoinReachesLeaderThatIsNoSeed guards against a node without a log that never asks the leader e: one seed
// may be down, one names the leader, the others name nobody, a node d that is gone, or a seed that names nobody.
func TestJoinReachesLeaderThatIsNoSeed(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	for _, knowing := range seeds {
		for _, down := range []string{"", "a", "b", "c"} {
			for _, wrong := range []string{"", "a", "b", "c", "d"} {
				if down == knowing {
					continue
				}
				r := joinRound{down: []string{down, "d"}, told: map[string]string{knowing: "e"}}
				for _, s := range seeds {
					if s != knowing && s != wrong {
						r.told[s] = wrong
					}
				}
				asked := ""
				for turn := 0; turn < 12 && asked != "e"; turn++ {
					asked = r.turn(time.Duration(turn) * membershipInterval)
				}
				if asked != "e" || r.unsent > 0 {
					t.Errorf("%s knows the leader, %q is down, the others name %q: asked %q last, %d requests not sent",
						knowing, down, wrong, asked, r.unsent)
				}
			}
		}
	}
}

// TestNodesThatNameEachOtherDoNotHideLeader guards against a node that asks only two former leaders in turn, since each of
// them names the other.
func TestNodesThatNameEachOtherDoNotHideLeader(t *testing.T) {
	r := joinRound{told: map[string]string{"a": "b", "b": "a", "c": "e"}}
	for turn := range 12 {
		if r.turn(time.Duration(turn)*membershipInterval) == "e" {
			return
		}
	}
	t.Error("the leader was never asked")
}

// TestNamedLeaderIsForgotten guards against a node that connects for good to every leader it was ever named.
func TestNamedLeaderIsForgotten(t *testing.T) {
	is := is.New(t)
	var targets joinTargets
	targets.name("gone", time.Second)
	targets.asked("gone", peer.ErrOutcomeUnknown)
	is.Equal(targets.links(time.Second+namedLeaderTTL), []string{"gone"}) // it has not answered
	targets.name("gone", 3*time.Second)
	is.Equal(targets.links(3*time.Second+namedLeaderTTL), []string{"gone"}) // it was named again
	is.Equal(len(targets.links(3*time.Second+namedLeaderTTL+1)), 0)
	targets.name("follower", 10*time.Second)
	targets.asked("follower", peer.Errorf(nodelink.CodeNotLeader, ""))
	is.Equal(len(targets.links(10*time.Second)), 0)
}

// TestMembershipChecksAreFewUnderManyMessages guards against a check, and with it a join request, for each message of
// a leader that takes this node for another member.
func TestMembershipChecksAreFewUnderManyMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Controller{leaderSeen: make(chan string, 1)}
		ticker := time.NewTicker(membershipInterval)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second-1)
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(time.Millisecond) {
				c.noteLeader("e")
			}
		})
		checks := 0
		for targets := (joinTargets{}); c.awaitMembershipCheck(ctx, ticker.C, nil, &targets); checks++ {
		}
		wg.Wait()
		is.New(t).Equal(checks, 1+int((2*time.Second-1)/membershipInterval)) // the first message, and each tick
	})
}

// TestTwoWipedVotersAreExchangedInTwoSteps guards against a step for each learner: two disks are gone, and the
// nodes joined as 6 and 7.
func TestTwoWipedVotersAreExchangedInTwoSteps(t *testing.T) {
	is := is.New(t)
	c := &Controller{stateMachine: newStateMachine(nil, nil, nil)}
	c.cfg.Losses = 2
	members := map[uint64]confstate.Member{}
	var joined []confstate.Member
	for _, id := range []uint64{1, 2, 3, 6, 7} {
		members[id] = confstate.Member{ID: id}
		joined = append(joined, members[id])
	}
	c.stateMachine.setFounders(joined)
	c.cfg.CatchUp = contract.Duration(4 * time.Second)
	silent := map[raft.MemberID]time.Duration{6: 100 * time.Millisecond} // no heartbeat was answered yet
	removed, added, _ := c.dueExchange(raft.Members{Voters: []raft.MemberID{1, 2, 3, 4, 5}}, members, silent)
	is.Equal(removed, []raft.MemberID{4})
	is.Equal(added, []raft.MemberID{6, 7})
	removed, added, _ = c.dueExchange(raft.Members{Voters: []raft.MemberID{1, 2, 3, 5}, Learners: []raft.MemberID{6, 7}}, members, nil)
	is.Equal(removed, []raft.MemberID{5})
	is.Equal(len(added), 0)
	// Node 6 lost its disk again and joined as 8: all that is left of it goes at once.
	delete(members, 6)
	c.stateMachine.setFounders([]confstate.Member{members[1], members[2], members[3], members[7], {ID: 8}})
	removed, added, _ = c.dueExchange(raft.Members{Voters: []raft.MemberID{1, 2, 3, 5}, Learners: []raft.MemberID{6, 7}}, members, nil)
	is.Equal(removed, []raft.MemberID{5, 6})
	is.Equal(added, []raft.MemberID{8})
}
