package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/raft"
)

// addressBook maps member IDs to link addresses. It uses the replicated state and falls
// back to addresses learned from other nodes, the seeds and the log while a member is not
// in that state.
type addressBook struct {
	stateMachine *stateMachine

	mu      sync.Mutex
	learned map[raft.MemberID]string
}

func newAddressBook(s *stateMachine, founders []confstate.Member) *addressBook {
	b := &addressBook{stateMachine: s, learned: map[raft.MemberID]string{}}
	b.add(founders)
	return b
}

// add records the link addresses of members that are not in the replicated state yet.
func (b *addressBook) add(members []confstate.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range members {
		b.learned[raft.MemberID(m.ID)] = m.Link
	}
}

// learn records the link address of a member that is not in the replicated state yet.
func (b *addressBook) learn(id raft.MemberID, link string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learned[id] = link
}

// NodeOf implements replica.Directory. Node names are link addresses.
func (b *addressBook) NodeOf(id raft.MemberID) (string, bool) {
	if m, ok := b.stateMachine.members()[uint64(id)]; ok {
		return m.Link, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	link, ok := b.learned[id]
	return link, ok
}

// linksOf returns the known link addresses of the members of the Raft group.
func (b *addressBook) linksOf(m raft.Members) []string {
	var links []string
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if link, ok := b.NodeOf(id); ok {
			links = append(links, link)
		}
	}
	return links
}

// learnedLinks returns the learned addresses.
func (b *addressBook) learnedLinks() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Values(b.learned))
}

// joinedMembers returns the members that the join commands in the given log entries add.
// A restarted member does not know yet whether these entries are committed, but it must
// be able to reach the leader to find out.
func joinedMembers(entries []raft.Entry) []confstate.Member {
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
