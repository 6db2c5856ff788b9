package edge

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// controlNodes simulates the control nodes that an entry node asks, by link address.
type controlNodes struct {
	// opens is when connections to a node open, counted from when it is connected to; never if it has no entry.
	opens map[string]time.Duration
	// answers returns what a node tells, and whether it leads.
	answers func(link string) (a leaderAnswer, leads bool)

	connectedAt map[string]time.Duration
}

// find runs the finder from now on until a node answers as the leader, and returns when that was; zero if none did by
// the end.
func (n *controlNodes) find(f *leaderFinder, now, end time.Duration) time.Duration {
	connected := func(link string) bool {
		at, ok := n.connectedAt[link]
		delay, opens := n.opens[link]
		return ok && opens && now-at >= delay
	}
	if n.connectedAt == nil {
		n.connectedAt = map[string]time.Duration{}
	}
	for ; now < end; now += time.Millisecond {
		links, ask := f.next(now, connected)
		for link := range n.connectedAt {
			if !slices.Contains(links, link) {
				delete(n.connectedAt, link)
			}
		}
		for _, link := range links {
			if _, ok := n.connectedAt[link]; !ok {
				n.connectedAt[link] = now
			}
		}
		if ask == "" {
			now += retryPause
			continue
		}
		a, leads := n.answers(ask)
		if leads {
			f.answered(ask, nil, now)
			return now
		}
		f.failed(ask, a, now)
	}
	return 0
}

// TestLeaderIsFound has entry nodes look for leader L, which is no seed, within the time in which they must reach it.
func TestLeaderIsFound(t *testing.T) {
	const start, limit = time.Minute, time.Minute + 3*time.Second
	follows := func(named string) leaderAnswer { return leaderAnswer{follows: true, named: named} }
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		opens   map[string]time.Duration
		answers map[string]leaderAnswer
	}{
		"wiped seeds name nobody": {
			map[string]time.Duration{"a": ms, "b": ms, "c": ms, "L": ms},
			map[string]leaderAnswer{"a": follows(""), "b": follows(""), "c": follows("L")},
		},
		"two seeds are gone": {
			map[string]time.Duration{"c": ms, "L": ms}, map[string]leaderAnswer{"c": follows("L")},
		},
		"every connection opens slowly": {
			map[string]time.Duration{"a": 1100 * ms, "b": 1100 * ms, "c": 1100 * ms, "L": 1100 * ms},
			map[string]leaderAnswer{"a": follows(""), "b": follows(""), "c": follows("L")},
		},
		"followers name different leaders": {
			map[string]time.Duration{"a": ms, "b": ms, "c": ms, "L": 600 * ms},
			map[string]leaderAnswer{"a": follows("gone"), "b": follows("L"), "c": follows("gone")},
		},
		"a node that is gone for good is named in turn": {
			map[string]time.Duration{"a": ms, "b": ms, "c": ms, "L": 600 * ms},
			map[string]leaderAnswer{"a": follows("gone"), "b": follows("gone too"), "c": follows("L")},
		},
		"two nodes name each other": {
			map[string]time.Duration{"a": ms, "b": ms, "c": ms, "L": 600 * ms},
			map[string]leaderAnswer{"a": follows("b"), "b": follows("a"), "c": follows("L")},
		},
		"a former leader cannot decide": {
			map[string]time.Duration{"a": ms, "b": ms, "c": ms, "L": 600 * ms},
			map[string]leaderAnswer{"a": {cannotDecide: true}, "b": follows("a"), "c": follows("L")},
		},
		"requests get no answer": {
			map[string]time.Duration{"a": ms, "b": ms, "c": ms, "L": ms},
			map[string]leaderAnswer{"a": {}, "b": {}, "c": follows("L")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, seeds := range [][]string{{"a", "b", "c"}, {"c", "b", "a"}, {"b", "a", "c"}} {
				n := controlNodes{opens: c.opens, answers: func(link string) (leaderAnswer, bool) {
					return c.answers[link], link == "L"
				}}
				f := newLeaderFinder(seeds)
				if found := n.find(f, start, limit); found == 0 {
					t.Errorf("seeds %v: the leader was not found; candidates %v", seeds, f.candidates)
				}
				if links, ask := f.next(limit, func(string) bool { return true }); !slices.Equal(links, []string{"L"}) || ask != "L" {
					t.Errorf("then: connects to %v, asks %q", links, ask)
				}
			}
		})
	}
}

// TestLeaderIsFoundAtChangedSeeds replaces seeds that are gone while they keep being connected to.
func TestLeaderIsFoundAtChangedSeeds(t *testing.T) {
	is := is.New(t)
	n := controlNodes{opens: map[string]time.Duration{"d": time.Millisecond, "L": time.Millisecond}}
	n.answers = func(link string) (leaderAnswer, bool) {
		return leaderAnswer{follows: true, named: "L"}, link == "L"
	}
	f := newLeaderFinder([]string{"a", "b", "c"})
	is.Equal(n.find(f, time.Minute, 2*time.Minute), time.Duration(0))
	f.setSeeds([]string{"d"})
	is.True(n.find(f, 2*time.Minute, 2*time.Minute+3*time.Second) != 0)
}

// TestFormerLeaderIsAskedAgain cuts the connection to the leader, which goes on leading.
func TestFormerLeaderIsAskedAgain(t *testing.T) {
	is := is.New(t)
	f := newLeaderFinder([]string{"a"})
	f.answered("L", []string{"a", "L"}, time.Minute)
	f.failed("L", leaderAnswer{}, time.Minute)
	links, ask := f.next(time.Minute, func(string) bool { return false })
	is.Equal(links, []string{"L", "a"})
	is.Equal(ask, "")
	_, ask = f.next(time.Minute+retryPause, func(link string) bool { return link == "L" })
	is.Equal(ask, "L")
}
