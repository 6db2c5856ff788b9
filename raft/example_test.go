package raft_test

import (
	"fmt"
	"time"

	"github.com/agateslip/agateslip/raft"
)

// replica drives one Core. A real replica also writes to disk and sends over the network.
type replica struct {
	core    *raft.Core
	applied []string
}

// drainOutput does what the Core asks for and returns the messages to deliver.
func (r *replica) drainOutput(now raft.Instant) []raft.Message {
	var messages []raft.Message
	for r.core.HasOutput() {
		out := r.core.Take(now)
		// Hard, Snapshot and Entries are synced to disk here.
		if n := len(out.Entries); n > 0 {
			r.core.Persisted(out.Entries[n-1].Index, now)
		}
		messages = append(messages, out.Messages...)
		for _, entry := range out.Committed {
			if entry.Kind == raft.EntryCommand {
				r.applied = append(r.applied, string(entry.Data))
			}
			r.core.Applied(entry.Index)
		}
	}
	return messages
}

// deliver delivers messages, and those sent in reply, until none is left.
func deliver(group map[raft.MemberID]*replica, messages []raft.Message, now raft.Instant) {
	for len(messages) > 0 {
		m := messages[0]
		r := group[m.To]
		r.core.Step(m, now)
		messages = append(messages[1:], r.drainOutput(now)...)
	}
}

func Example() {
	voters := []raft.MemberID{1, 2, 3}
	founding := raft.Snapshot{Index: 1, Term: 1, Members: raft.Members{Voters: voters}}
	group := map[raft.MemberID]*replica{}
	for _, id := range voters {
		core, err := raft.New(raft.Config{
			ID:              id,
			Heartbeat:       100 * time.Millisecond,
			ElectionTimeout: time.Second,
			Lease:           900 * time.Millisecond,
			MaxBatchBytes:   1 << 20,
			MaxInflight:     16,
		}, raft.DurableState{Snapshot: founding}, 0)
		if err != nil {
			fmt.Println(err)
			return
		}
		group[id] = &replica{core: core}
	}

	// Member 1 is the first to handle its expired election timer.
	now := 2 * time.Second
	group[1].core.Tick(now)
	deliver(group, group[1].drainOutput(now), now)
	fmt.Println("member 1 has a lease:", group[1].core.LeaseValid(now))

	for _, command := range []string{"set a", "set b"} {
		if _, _, err := group[1].core.Propose([]byte(command), now); err != nil {
			fmt.Println(err)
			return
		}
	}
	deliver(group, group[1].drainOutput(now), now)
	for _, id := range voters {
		fmt.Println("member", id, "applied", group[id].applied)
	}
	// Output:
	// member 1 has a lease: true
	// member 1 applied [set a set b]
	// member 2 applied [set a set b]
	// member 3 applied [set a set b]
}
