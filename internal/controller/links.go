package controller

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/raft"
)

// addressBook finds members by their identity: those of the replicated state,
// and until that is known those that others told.
type addressBook struct {
	store *store

	mu   sync.Mutex
	told map[raft.MemberID]string
	// hinted is the address of a leader whose identity is not known yet.
	hinted string
}

func newAddressBook(s *store, founders []confstate.Member) *addressBook {
	b := &addressBook{store: s, told: map[raft.MemberID]string{}}
	b.tell(founders)
	return b
}

// tell takes members that another node named.
func (b *addressBook) tell(members []confstate.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range members {
		b.told[raft.MemberID(m.ID)] = m.Link
	}
}

// NodeOf implements replica.Directory; nodes are named by their link address.
func (b *addressBook) NodeOf(id raft.MemberID) (string, bool) {
	if m, ok := b.store.members()[uint64(id)]; ok {
		return m.Link, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	link, ok := b.told[id]
	return link, ok
}

// all returns the addresses that others told.
func (b *addressBook) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	links := make([]string, 0, len(b.told)+1)
	for _, link := range b.told {
		links = append(links, link)
	}
	if b.hinted != "" {
		links = append(links, b.hinted)
	}
	return links
}

// hint takes the address of a leader that another node named.
func (b *addressBook) hint(link string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hinted = link
}

// joinedIn returns the members that entries of the log name. A member that starts
// again does not know yet that they are committed, but must reach whoever leads
// to learn it.
func joinedIn(entries []raft.Entry) []confstate.Member {
	var members []confstate.Member
	for _, e := range entries {
		if e.Kind != raft.EntryCommand {
			continue
		}
		var c confstate.Command
		if err := json.Unmarshal(e.Data, &c); err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "entry %d of the log", e.Index))
		}
		if c.Join != nil {
			members = append(members, *c.Join)
		}
	}
	return members
}
