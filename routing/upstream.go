package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateslip/agateslip/directory"
)

// adapterKey names an adapter of a model.
type adapterKey struct {
	model, adapter string
}

// upstream is what the selector knows of one upstream.
type upstream struct {
	id          string
	hash        uint64 // of the ID
	incarnation uint64
	addr        string
	domain      string
	slots       int
	takes       bool
	service     string
	replicas    []directory.Replica // ready ones

	known  bool   // a load report has been taken
	seq    uint64 // of the latest load report
	others int    // load that other nodes put there, by that report
	own    int    // requests that this node has there now

	breaker *Breaker
}

// load estimates the requests at the upstream now: what the report tells of
// other nodes, and what this node knows of its own.
func (u *upstream) load() int {
	return u.others + u.own
}

// hasAdapter reports whether a replica of the model has the adapter loaded.
func (u *upstream) hasAdapter(model, adapter string) bool {
	r := u.replica(model)
	return r != nil && slices.Contains(r.Adapters, adapter)
}

// replica returns the ready replica of a model, or nil.
func (u *upstream) replica(model string) *directory.Replica {
	for i := range u.replicas {
		if u.replicas[i].Model == model {
			return &u.replicas[i]
		}
	}
	return nil
}

// choice returns the upstream as the choice for a request.
func (u *upstream) choice(q Query) Choice {
	c := Choice{Upstream: u.id, Incarnation: u.incarnation, Addr: u.addr}
	if r := u.replica(q.Model); r != nil {
		c.Grant = r.Grant
		c.HasAdapter = slices.Contains(r.Adapters, q.Adapter)
	}
	return c
}

// Update takes what the directory knows of an upstream.
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
			hash:        xxhash.Sum64String(a.ID),
			incarnation: a.Incarnation,
			breaker:     NewBreaker(s.config.Breaker),
		}
		s.upstreams[a.ID] = u
	}
	u.takes = v.Takes()
	if u.known && a.Seq <= u.seq {
		return
	}
	u.known, u.seq = true, a.Seq
	u.addr, u.domain, u.slots = a.Addr, a.Domain, a.Slots
	// The report counts this node's requests too, about as they are now.
	u.others = max(0, a.Load.Running+a.Load.Queued-u.own)
	if !u.serves(a) {
		s.index(u, a)
	}
}

// index lists the upstream under what it serves now.
func (s *Selector) index(u *upstream, a directory.Announcement) {
	s.unlistAll(u)
	u.service = a.Service
	u.replicas = nil
	for _, r := range a.Replicas {
		if r.State == directory.Ready {
			u.replicas = append(u.replicas, r)
		}
	}
	s.listAll(u)
}

// listAll lists the upstream under all that it serves.
func (s *Selector) listAll(u *upstream) {
	if u.service != "" {
		enlist(s.services, u.service, u)
	}
	for _, r := range u.replicas {
		enlist(s.models, r.Model, u)
		for _, adapter := range r.Adapters {
			enlist(s.adapters, adapterKey{r.Model, adapter}, u)
		}
	}
}

// unlistAll removes the upstream from all lists.
func (s *Selector) unlistAll(u *upstream) {
	unlist(s.services, u.service, u)
	for _, r := range u.replicas {
		unlist(s.models, r.Model, u)
		for _, adapter := range r.Adapters {
			unlist(s.adapters, adapterKey{r.Model, adapter}, u)
		}
	}
}

// serves reports whether the upstream is listed under what the announcement
// says it serves.
func (u *upstream) serves(a directory.Announcement) bool {
	if u.service != a.Service {
		return false
	}
	n := 0
	for _, r := range a.Replicas {
		if r.State != directory.Ready {
			continue
		}
		if n >= len(u.replicas) || !sameReplica(u.replicas[n], r) {
			return false
		}
		n++
	}
	return n == len(u.replicas)
}

// sameReplica reports whether two states of a replica are listed alike.
func sameReplica(a, b directory.Replica) bool {
	return a.Grant == b.Grant && a.Model == b.Model && slices.Equal(a.Adapters, b.Adapters)
}

// Remove forgets an upstream whose incarnation has ended and does not return.
func (s *Selector) Remove(id string) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	s.unlistAll(u)
	s.prefixes.Remove(id)
	delete(s.upstreams, id)
}

// compareUpstream orders upstreams by ID.
func compareUpstream(u *upstream, id string) int {
	return cmp.Compare(u.id, id)
}

// enlist adds an upstream to the sorted list of a target, once.
func enlist[K comparable](lists map[K][]*upstream, name K, u *upstream) {
	list := lists[name]
	at, found := slices.BinarySearchFunc(list, u.id, compareUpstream)
	if !found {
		lists[name] = slices.Insert(list, at, u)
	}
}

// unlist removes an upstream from the list of a target.
func unlist[K comparable](lists map[K][]*upstream, name K, u *upstream) {
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

// Sent notes that a request goes to the chosen upstream. Each Sent is followed
// by one Done.
func (s *Selector) Sent(c Choice, prefix []BlockHash, now time.Duration) {
	u := s.current(c)
	if u == nil {
		return
	}
	u.own++
	u.breaker.Sent(now)
	s.prefixes.Sent(u.id, u.incarnation, prefix, now)
}

// Ending says how a request ended, as far as it tells about the upstream.
type Ending int

// Endings.
const (
	// Answered means that the upstream answered.
	Answered Ending = iota
	// Failed means that the upstream did not answer, or with its own fault.
	Failed
	// Canceled means that the request ended for another cause.
	Canceled
	// Rejected means that the upstream refused the request as overloaded.
	Rejected
)

// Done notes the end of a request.
func (s *Selector) Done(c Choice, ending Ending, now time.Duration) {
	u := s.current(c)
	if u == nil {
		return
	}
	u.own = max(0, u.own-1)
	switch ending {
	case Answered:
		u.breaker.Succeeded(now)
	case Failed:
		u.breaker.Failed(now)
	case Canceled:
		u.breaker.Canceled(now)
	case Rejected:
		u.breaker.Canceled(now)
		// It has more work than its last report tells. The next one corrects.
		u.others = max(u.others, int(s.config.Overload*float64(u.slots)))
	}
}

// current returns the upstream of a choice, if its incarnation still runs.
func (s *Selector) current(c Choice) *upstream {
	u := s.upstreams[c.Upstream]
	if u == nil || u.incarnation != c.Incarnation {
		return nil
	}
	return u
}

// Load returns the estimated number of requests at an upstream.
func (s *Selector) Load(id string) int {
	u := s.upstreams[id]
	if u == nil {
		return 0
	}
	return u.load()
}
