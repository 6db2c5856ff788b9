package edge

import (
	"slices"
	"sync"
	"time"
)

const (
	// retryPause is the pause before a request that failed is repeated.
	retryPause = 25 * time.Millisecond
	// openInterval is the interval at which connections to further control nodes are opened while none answers as
	// the leader.
	openInterval = 100 * time.Millisecond
	// namedTTL is how long an entry node stays connected to one that it knows only since it was named as the
	// leader. It covers several attempts to connect.
	namedTTL = 5 * time.Second
	// searchReportAfter is how long no leader answers before that is logged, and again after each such time.
	searchReportAfter = time.Second
)

// leaderFinder selects the control nodes to connect to and the one to ask. Once a node has answered as the leader,
// that is the only one. Before, these are the nodes named as the leader, and one after the other the members and
// seeds. The connections stay open until a leader answers: a request that does not reach a node says nothing about
// it. Methods may be called from any goroutine; times are of package boottime.
type leaderFinder struct {
	mu      sync.Mutex
	seeds   []string
	members []string
	// target is the link address of the node that was asked last.
	target string
	// found is set while target answers as the leader. Otherwise, searchedAt is when the search began and
	// reportedAt when it was last reported; zero if it was not.
	found                  bool
	searchedAt, reportedAt time.Duration
	// candidates are the nodes to connect to.
	candidates []candidate
	// preferred is the node that was named as the leader last; "" after its answer that it is not.
	preferred string
	// turnAt is when a node was last asked in turn, askAt when the next one may be, and openAt when the next
	// connection is opened.
	turnAt, askAt, openAt time.Duration
	// rotation counts the nodes that became candidates in turn.
	rotation int
}

// candidate is a control node to connect to.
type candidate struct {
	link string
	// askedAt and namedAt are when it was last asked and last named as the leader; zero if it was not.
	askedAt, namedAt time.Duration
}

// newLeaderFinder returns a finder that starts with the first seed.
func newLeaderFinder(seeds []string) *leaderFinder {
	return &leaderFinder{seeds: seeds, target: seeds[0]}
}

// current returns the link address of the control node that was asked last.
func (f *leaderFinder) current() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target
}

// setSeeds replaces the seeds.
func (f *leaderFinder) setSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// next returns the nodes to connect to and the connected one to ask now; "" if there is none yet.
func (f *leaderFinder) next(now time.Duration, connected func(link string) bool) (links []string, ask string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.found && !connected(f.target) || f.searchedAt == 0 {
		f.search(now)
	}
	if !f.found {
		f.updateCandidates(now)
	}
	for _, c := range f.candidates {
		links = append(links, c.link)
	}
	chosen := f.choose(now, connected)
	if chosen == nil {
		return links, ""
	}
	chosen.askedAt, f.target = now, chosen.link
	return links, chosen.link
}

// search begins a search, with the former leader as its first candidate.
func (f *leaderFinder) search(now time.Duration) {
	f.found, f.searchedAt, f.reportedAt, f.openAt = false, now, 0, now+openInterval
	f.candidate(f.target).namedAt = now
}

// candidate returns the candidate with a link address, which becomes one if it was none.
func (f *leaderFinder) candidate(link string) *candidate {
	for i := range f.candidates {
		if f.candidates[i].link == link {
			return &f.candidates[i]
		}
	}
	f.candidates = append(f.candidates, candidate{link: link})
	return &f.candidates[len(f.candidates)-1]
}

// updateCandidates removes the candidates that nothing speaks for any more, and adds the next member or seed if it is
// time.
func (f *leaderFinder) updateCandidates(now time.Duration) {
	known := slices.Concat(f.members, f.seeds)
	f.candidates = slices.DeleteFunc(f.candidates, func(c candidate) bool {
		return !slices.Contains(known, c.link) && c.link != f.target && now-c.namedAt > namedTTL
	})
	if now < f.openAt {
		return
	}
	f.openAt = now + openInterval
	for range known {
		f.rotation++
		before := len(f.candidates)
		if f.candidate(known[f.rotation%len(known)]); len(f.candidates) > before {
			return
		}
	}
}

// choose returns the connected candidate to ask: the leader or, while it is unknown, the one named as such or the one
// that was asked longest ago. A named node is asked at once, but only once before the next turn: two nodes that name
// each other do not keep the others from being asked.
func (f *leaderFinder) choose(now time.Duration, connected func(link string) bool) *candidate {
	if f.found {
		return f.candidate(f.target)
	}
	var oldest *candidate
	for i := range f.candidates {
		c := &f.candidates[i]
		if !connected(c.link) {
			continue
		}
		if c.link == f.preferred && c.askedAt < f.turnAt {
			return c
		}
		if oldest == nil || c.askedAt < oldest.askedAt {
			oldest = c
		}
	}
	if now < f.askAt || oldest == nil {
		return nil
	}
	f.turnAt = now
	return oldest
}

// answered records that a node answered as the leader, and the members that it reported; none are reported by an
// answer that tells only a configuration. If that ends a search, it returns for how long no leader had answered.
func (f *leaderFinder) answered(link string, members []string, now time.Duration) (missing time.Duration, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(members) > 0 {
		f.members = members
	}
	if f.found && link == f.target {
		return 0, false
	}
	f.found, f.target, f.preferred = true, link, ""
	f.candidates = []candidate{{link: link, askedAt: now}}
	return now - f.searchedAt, true
}

// leaderAnswer is what the failure of a request to a control node tells about the leader.
type leaderAnswer struct {
	// follows is set if the node answered that it does not lead.
	follows bool
	// cannotDecide is set if it answered that it leads and cannot decide at present.
	cannotDecide bool
	// named is the leader that it named, or "".
	named string
}

// failed records that a request to a node failed.
func (f *leaderFinder) failed(link string, a leaderAnswer, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.found {
		f.search(now)
	}
	f.askAt = now + retryPause
	if a.follows && f.preferred == link {
		f.preferred = ""
	}
	switch {
	case a.named != "":
		f.candidate(a.named).namedAt = now
		f.preferred = a.named
	case a.cannotDecide:
		f.preferred = link
	default:
		f.openAt = now // nothing is known that could be waited for
	}
}

// searchReport is what a search without success has come to.
type searchReport struct {
	missing               time.Duration
	connected, connecting []string
	named                 string
}

// report returns what to log about a search, now and then.
func (f *leaderFinder) report(now time.Duration, connected func(link string) bool) (searchReport, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.found || now-max(f.searchedAt, f.reportedAt) < searchReportAfter {
		return searchReport{}, false
	}
	f.reportedAt = now
	r := searchReport{missing: now - f.searchedAt, named: f.preferred}
	for _, c := range f.candidates {
		if connected(c.link) {
			r.connected = append(r.connected, c.link)
		} else {
			r.connecting = append(r.connecting, c.link)
		}
	}
	return r, true
}
