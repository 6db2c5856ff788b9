package raft

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// checker records what the members did and panics if an invariant is violated. Rapid and
// the tests report the panic as a failure.
type checker struct {
	// leaders is the leader of each term.
	leaders map[uint64]MemberID
	// committed holds the entries that some member knew to be committed, by index.
	committed    map[uint64]committedEntry
	maxCommitted uint64
	// stateAt is the application state after each applied index.
	stateAt map[uint64][]byte
	// minReadIndex is, for each read request, the highest committed index when the read
	// was requested.
	minReadIndex map[uint64]uint64
	// checkedTerm is, for each member, the term for which checkLeader last checked it.
	checkedTerm map[MemberID]uint64
}

// committedEntry is a committed entry, and the term of the first member known to have
// committed it.
type committedEntry struct {
	Entry
	knownInTerm uint64
}

func newChecker() checker {
	return checker{
		leaders:      map[uint64]MemberID{},
		committed:    map[uint64]committedEntry{},
		stateAt:      map[uint64][]byte{},
		minReadIndex: map[uint64]uint64{},
		checkedTerm:  map[MemberID]uint64{},
	}
}

// failInvariant panics with the violated invariant.
func failInvariant(format string, args ...any) {
	panic("invariant violated: " + fmt.Sprintf(format, args...))
}

// checkMember checks election safety and leader completeness for a member, and records
// the entries that it knows to be committed.
func (k *checker) checkMember(h *host) {
	c := h.core
	if c.role == Leader && k.checkedTerm[h.id] != c.term {
		k.checkLeader(h)
	}
	for i := max(k.maxCommitted, c.log.snapshot.Index) + 1; i <= c.log.commit; i++ {
		k.committed[i] = committedEntry{Entry: c.log.slice(i, i)[0], knownInTerm: c.term}
	}
	k.maxCommitted = max(k.maxCommitted, c.log.commit)
}

// checkLeader checks that a new leader is the only one in its term and holds every entry
// that was known to be committed in an earlier term.
func (k *checker) checkLeader(h *host) {
	c := h.core
	k.checkedTerm[h.id] = c.term
	if other, ok := k.leaders[c.term]; ok && other != h.id {
		failInvariant("members %d and %d both lead term %d", other, h.id, c.term)
	}
	k.leaders[c.term] = h.id
	for index, e := range k.committed {
		if e.knownInTerm < c.term && index > c.log.snapshot.Index && !c.log.matches(index, e.Term) {
			failInvariant("leader %d of term %d lacks committed entry %d of term %d", h.id, c.term, index, e.Term)
		}
	}
}

// checkApplied checks that an applied entry is the committed one, and that all members
// have the same state after it.
func (k *checker) checkApplied(h *host, e Entry) {
	if known, ok := k.committed[e.Index]; ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
		failInvariant("member %d applies entry %d of term %d, but the committed entry has term %d", h.id, e.Index, e.Term, known.Term)
	}
	if state, ok := k.stateAt[e.Index]; ok && !bytes.Equal(state, h.state) {
		failInvariant("member %d has a different state at index %d", h.id, e.Index)
	}
	k.stateAt[e.Index] = h.state
}

// checkRead checks that a confirmed read sees everything committed when it was requested.
func (k *checker) checkRead(h *host, r ReadResult) {
	if want := k.minReadIndex[r.Request]; r.OK && r.Index < want {
		failInvariant("member %d may read at index %d, but index %d was committed before the request", h.id, r.Index, want)
	}
}

// checkInstant checks every member that is neither down nor frozen, and that at most one
// member, frozen or not, holds a lease at this instant.
func (k *checker) checkInstant(n *network) {
	var holder *host
	for _, h := range n.hosts {
		if h.down {
			continue
		}
		if !h.frozen {
			k.checkMember(h)
		}
		if !h.core.LeaseValid(n.clock(h)) {
			continue
		}
		if holder != nil {
			failInvariant("members %d and %d both hold a lease", holder.id, h.id)
		}
		holder = h
	}
}

// checkLogs checks the log matching property for each pair of members.
func (k *checker) checkLogs(n *network) {
	for i, a := range n.hosts {
		for _, b := range n.hosts[i+1:] {
			checkLogMatching(a, b)
		}
	}
}

// checkLogMatching checks that entries of the same index and term are equal in two logs,
// and that all entries before an equal one are equal too.
func checkLogMatching(a, b *host) {
	la, lb := &a.core.log, &b.core.log
	equalAbove := false
	for i := min(la.lastIndex(), lb.lastIndex()); i >= max(la.snapshot.Index, lb.snapshot.Index)+1; i-- {
		ea, eb := la.slice(i, i)[0], lb.slice(i, i)[0]
		equal := ea.Term == eb.Term && bytes.Equal(ea.Data, eb.Data)
		if equalAbove && !equal || ea.Term == eb.Term && !equal {
			failInvariant("logs of members %d and %d differ at index %d", a.id, b.id, i)
		}
		equalAbove = equalAbove || equal
	}
}

// checkConverged checks that there is a leader, and that all running members have applied
// the same entries as the leader and have the same state.
func (k *checker) checkConverged(n *network) {
	leader := n.leader()
	if leader == nil {
		failInvariant("no leader after healing")
	}
	members := leader.core.members.latest()
	for _, id := range slices.Sorted(maps.Keys(leader.core.Status().Match)) {
		h := n.host(id)
		if h == nil || h.down || !members.has(id) {
			continue
		}
		if h.core.log.applied != leader.core.log.applied || !bytes.Equal(h.state, leader.state) {
			failInvariant("member %d applied index %d, leader %d applied index %d, or their states differ", id, h.core.log.applied, leader.id, leader.core.log.applied)
		}
	}
	if leader.core.log.commit < k.maxCommitted {
		failInvariant("leader %d has commit index %d, but index %d is known to be committed", leader.id, leader.core.log.commit, k.maxCommitted)
	}
}
