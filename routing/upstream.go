package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateslip/agateslip/directory"
)

// adapterKey identifies an adapter of a model.
type adapterKey struct {
	model, adapter string
}

// upstream is the state that the selector keeps of one upstream.
type upstream struct {
	id          string
	idHash      uint64 // of the ID
	incarnation uint64
	addr        string
	domain      string
	software    string
	slots       int
	acceptsWork bool
	service     string
	replicas    []directory.Replica // ready ones

	hasReport      bool   // a load report has been applied
	reportSeq      uint64 // of the latest load report
	othersRequests int    // of other nodes, by that report
	ownRequests    int    // of this node, that have not ended

	breaker *Breaker
}

// load returns the estimated number of requests at the upstream: those of other nodes by
// the latest report, and those of this node by its own count.
func (u *upstream) load() int {
	return u.othersRequests + u.ownRequests
}

// hasAdapter reports whether a replica of the model has the adapter loaded.
func (u *upstream) hasAdapter(model, adapter string) bool {
	r := u.replica(model)
	return r != nil && slices.Contains(r.Adapters, adapter)
}

// replica returns the upstream's ready replica of a model, or nil.
func (u *upstream) replica(model string) *directory.Replica {
	for i := range u.replicas {
		if u.replicas[i].Model == model {
			return &u.replicas[i]
		}
	}
	return nil
}

// choice returns the Choice of this upstream for a request.
func (u *upstream) choice(q Query) Choice {
	c := Choice{Upstream: u.id, Incarnation: u.incarnation, Addr: u.addr, Software: u.software}
	if r := u.replica(q.Model); r != nil {
		c.Grant = r.Grant
		c.HasAdapter = slices.Contains(r.Adapters, q.Adapter)
	}
	return c
}

// Update applies the directory's view of an upstream. A new incarnation starts without
// the state of the earlier one; a view of an older incarnation is ignored, and one
// without a newer report only decides whether the upstream takes new work.
func (s *Selector) Update(v directory.View) {
	a := v.Announcement
	u := s.upstreams[a.ID]
	if u != nil && a.Incarnation < u.incarnation {
		return
	}
	if u == nil || a.Incarnation > u.incarnation {
		s.Remove(a.ID)
		u = &upstream{
			id:          a.ID,
			idHash:      xxhash.Sum64String(a.ID),
			incarnation: a.Incarnation,
			breaker:     NewBreaker(s.config.Breaker),
		}
		s.upstreams[a.ID] = u
	}
	u.acceptsWork = v.AcceptsWork()
	if u.hasReport && a.Seq <= u.reportSeq {
		return
	}
	u.hasReport, u.reportSeq = true, a.Seq
	u.addr, u.domain, u.software, u.slots = a.Addr, a.Domain, a.Software, a.Slots
	// The report includes this node's requests; they are assumed not to have changed since.
	u.othersRequests = max(0, a.Load.Running+a.Load.Queued-u.ownRequests)
	if !u.listedAs(a) {
		s.relist(u, a)
	}
}

// relist updates the lists to the service, models and adapters of the announcement.
func (s *Selector) relist(u *upstream, a directory.Announcement) {
	s.removeFromLists(u)
	u.service = a.Service
	u.replicas = nil
	for _, r := range a.Replicas {
		if r.State == directory.Ready {
			u.replicas = append(u.replicas, r)
		}
	}
	s.addToLists(u)
}

// addToLists adds the upstream to the lists of all that it serves.
func (s *Selector) addToLists(u *upstream) {
	if u.service != "" {
		insertByID(s.services, u.service, u)
	}
	for _, r := range u.replicas {
		insertByID(s.models, r.Model, u)
		for _, adapter := range r.Adapters {
			insertByID(s.adapters, adapterKey{r.Model, adapter}, u)
		}
	}
}

// removeFromLists removes the upstream from the lists of all that it serves.
func (s *Selector) removeFromLists(u *upstream) {
	deleteByID(s.services, u.service, u)
	for _, r := range u.replicas {
		deleteByID(s.models, r.Model, u)
		for _, adapter := range r.Adapters {
			deleteByID(s.adapters, adapterKey{r.Model, adapter}, u)
		}
	}
}

// listedAs reports whether the lists already match what the announcement says that the
// upstream serves.
func (u *upstream) listedAs(a directory.Announcement) bool {
	if u.service != a.Service {
		return false
	}
	n := 0
	for _, r := range a.Replicas {
		if r.State != directory.Ready {
			continue
		}
		if n >= len(u.replicas) || !sameListing(u.replicas[n], r) {
			return false
		}
		n++
	}
	return n == len(u.replicas)
}

// sameListing reports whether two states of a replica lead to the same entries in the
// lists and the same choices.
func sameListing(a, b directory.Replica) bool {
	return a.Grant == b.Grant && a.Model == b.Model && slices.Equal(a.Adapters, b.Adapters)
}

// Remove removes an upstream. Its incarnation must have ended.
func (s *Selector) Remove(id string) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	s.removeFromLists(u)
	s.prefixes.Remove(id)
	delete(s.upstreams, id)
}

// compareUpstream orders upstreams by ID.
func compareUpstream(u *upstream, id string) int {
	return cmp.Compare(u.id, id)
}

// insertByID inserts an upstream into the list under name, which is sorted by ID, unless
// it is there.
func insertByID[K comparable](lists map[K][]*upstream, name K, u *upstream) {
	list := lists[name]
	at, found := slices.BinarySearchFunc(list, u.id, compareUpstream)
	if !found {
		lists[name] = slices.Insert(list, at, u)
	}
}

// deleteByID removes an upstream from the list under name, and the list once it is empty.
func deleteByID[K comparable](lists map[K][]*upstream, name K, u *upstream) {
	list := lists[name]
	at, found := slices.BinarySearchFunc(list, u.id, compareUpstream)
	if !found {
		return
	}
	if len(list) == 1 {
		delete(lists, name)
		return
	}
	lists[name] = slices.Delete(list, at, at+1)
}

// Sent records that a request is sent to the chosen upstream. Each Sent must be followed
// by one Done. prefix holds the block hashes of the request's prompt.
func (s *Selector) Sent(c Choice, prefix []BlockHash, now time.Duration) {
	u := s.current(c)
	if u == nil {
		return
	}
	u.ownRequests++
	u.breaker.Sent(now)
	s.prefixes.Sent(u.id, u.incarnation, prefix, now)
}

// Ending is how a request ended, as far as it concerns the upstream.
type Ending int

// Ending values.
const (
	// Answered means that the upstream answered.
	Answered Ending = iota
	// Failed means that the upstream did not answer, or answered with an error that it
	// caused itself.
	Failed
	// Canceled means that the request ended for a reason that shows nothing about the
	// upstream.
	Canceled
	// Rejected means that the upstream refused the request as overloaded.
	Rejected
	// Doubtful means that the answer says that the request did not run, and may not be the upstream's.
	Doubtful
)

// Done records the end of a request that was recorded with Sent.
func (s *Selector) Done(c Choice, ending Ending, now time.Duration) {
	u := s.current(c)
	if u == nil {
		return
	}
	u.ownRequests = max(0, u.ownRequests-1)
	switch ending {
	case Answered:
		u.breaker.Succeeded(now)
	case Failed:
		u.breaker.Failed(now)
	case Canceled:
		u.breaker.Canceled(now)
	case Doubtful:
		u.breaker.Distrusted(now)
	case Rejected:
		u.breaker.Canceled(now)
		// The upstream has more requests than its latest report showed. Count it as
		// overloaded until the next report.
		u.othersRequests = max(u.othersRequests, int(s.config.MaxRequestsPerSlot*float64(u.slots)))
	}
}

// current returns the upstream of a choice, or nil if it was removed or restarted.
func (s *Selector) current(c Choice) *upstream {
	u := s.upstreams[c.Upstream]
	if u == nil || u.incarnation != c.Incarnation {
		return nil
	}
	return u
}

// Load returns the estimated number of requests at an upstream; zero if it is unknown.
func (s *Selector) Load(id string) int {
	u := s.upstreams[id]
	if u == nil {
		return 0
	}
	return u.load()
}
