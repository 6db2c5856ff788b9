package storage_test

import (
	"flag"
	"slices"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/faultfs"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

// call is one call of a Store: Save of out, Compact up to an index, or Close and Open.
type call struct {
	out     raft.Output
	compact uint64
	reopen  bool
}

func saveCall(term, first, last uint64) call {
	c := call{out: raft.Output{Hard: &raft.HardState{Term: term, Vote: 1}}}
	for i := first; i <= last; i++ {
		c.out.Entries = append(c.out.Entries, entry(i, term))
	}
	return c
}

// history appends and overwrites entries, changes the hard state only, starts segments, compacts, replaces the log with a
// received snapshot, and opens the log again.
var history = []call{
	saveCall(1, 2, 3), saveCall(2, 1, 0), saveCall(2, 3, 8), saveCall(3, 6, 7), saveCall(3, 8, 12), {reopen: true},
	saveCall(3, 13, 18), saveCall(4, 15, 15), {compact: 13}, saveCall(5, 16, 23), saveCall(5, 24, 24), {reopen: true}, {compact: 20},
	{out: raft.Output{
		Hard: &raft.HardState{Term: 6}, Snapshot: &raft.Snapshot{Index: 50, Term: 5, Data: []byte("received")},
		Entries: []raft.Entry{entry(51, 6)},
	}},
	saveCall(7, 51, 58), saveCall(7, 59, 60), {reopen: true},
}

// after returns the state after the call in state s.
func (c call) after(s raft.DurableState) raft.DurableState {
	if c.compact > 0 {
		kept := c.compact - s.Snapshot.Index
		s.Snapshot = raft.Snapshot{Index: c.compact, Term: s.Entries[kept-1].Term, Data: []byte("local")}
		s.Entries = s.Entries[kept:]
	}
	if c.out.Hard != nil {
		s.Hard = *c.out.Hard
	}
	if c.out.Snapshot != nil {
		s.Snapshot, s.Entries = *c.out.Snapshot, nil
	}
	if len(c.out.Entries) > 0 {
		s.Entries = slices.Concat(s.Entries[:c.out.Entries[0].Index-s.Snapshot.Index-1], c.out.Entries)
	}
	return s
}

// play makes the calls of history on a new member until one fails. It returns the state after the last call that
// succeeded, if any did, and the state after the call that failed.
func play(fs *faultfs.FS) (acked *raft.DurableState, next raft.DurableState) {
	next = initialState()
	s, err := storage.Create(options(fs), next)
	for _, c := range history {
		if err != nil {
			return acked, next
		}
		state := next
		acked, next = &state, c.after(state)
		switch {
		case c.reopen:
			if err = s.Close(); err == nil {
				s, _, err = storage.Open(options(fs))
			}
		case c.compact > 0:
			err = s.Compact(next.Snapshot)
		default:
			err = s.Save(c.out)
		}
	}
	if err == nil {
		acked = &next
	}
	return acked, next
}

var crashStride = flag.Int("crash.stride", 32, "ratio of all crashes to those after which another one is played")

// player counts the opened states.
type player struct {
	*testing.T
	states, crashes int
}

// skips counts a crash and reports whether no other one is to be played after it.
func (p *player) skips() bool {
	p.crashes++
	return p.crashes%*crashStride != 0
}

// expect opens fs as a new process does. What it finds must be one of the given states. A folder without a member is
// allowed only if acked is nil; the member is created then.
func (p *player) expect(fs *faultfs.FS, acked *raft.DurableState, next raft.DurableState) (*storage.Store, raft.DurableState) {
	p.Helper()
	p.states++
	s, found, err := storage.Open(options(fs))
	if errors.Is(err, storage.ErrNotCreated) && acked == nil {
		found = initialState()
		s, err = storage.Create(options(fs), found)
	}
	if err != nil {
		p.Fatalf("%v: acknowledged %+v", err, acked)
	}
	if !equalState(found, next) && (acked == nil || !equalState(found, *acked)) {
		p.Fatalf("found %+v, acknowledged %+v, then %+v", found, acked, next)
	}
	return s, found
}

// lastingly is expect, where what was found, and an entry that is saved then, must also be there after another loss of
// power. It returns the number of operations that the recovery took.
func (p *player) lastingly(fs *faultfs.FS, acked *raft.DurableState, next raft.DurableState) (ops int) {
	before := fs.Ops()
	s, found := p.expect(fs, acked, next)
	ops = fs.Ops() - before
	for state := range fs.CrashStates() {
		p.expect(state, &found, found)
	}
	last := found.Snapshot.Index + uint64(len(found.Entries))
	c := saveCall(9, last+1, last+1)
	if err := s.Save(c.out); err != nil {
		p.Fatal(err)
	}
	found = c.after(found)
	for state := range fs.CrashStates() {
		p.expect(state, &found, found)
	}
	return ops
}

// interrupted ends the process at operation op of the recovery, and then takes the power away.
func (p *player) interrupted(fs *faultfs.FS, op int, acked *raft.DurableState, next raft.DurableState) {
	fs.DieAt(fs.Ops() + op)
	s, _, err := storage.Open(options(fs))
	if errors.Is(err, storage.ErrNotCreated) && acked == nil {
		s, err = storage.Create(options(fs), initialState())
	}
	if err == nil && s != nil {
		p.Fatalf("operation %d did not end the recovery", op)
	}
	for state := range fs.CrashStates() {
		p.expect(state, acked, next)
	}
}

// anyCrash takes the power away now, in each state that this may leave, and again at each operation of the recovery.
func (p *player) anyCrash(fs *faultfs.FS, acked *raft.DurableState, next raft.DurableState) {
	for state := range fs.CrashStates() {
		if p.skips() {
			p.expect(state, acked, next)
			continue
		}
		for op := range p.lastingly(state.Clone(), acked, next) {
			p.interrupted(state.Clone(), op, acked, next)
		}
	}
}

// TestEveryCrashLeavesWhatWasAcknowledged ends the process or the machine at each operation of a history and of the recovery
// after it, and plays each state that the loss of power may leave.
func TestEveryCrashLeavesWhatWasAcknowledged(t *testing.T) {
	p := &player{T: t}
	reference := faultfs.New()
	play(reference)
	for op := range reference.Ops() + 1 {
		begin := func() (*faultfs.FS, *raft.DurableState, raft.DurableState) {
			fs := faultfs.New()
			fs.DieAt(op)
			acked, next := play(fs)
			return fs, acked, next
		}
		p.anyCrash(begin())
		killed := func() (*faultfs.FS, *raft.DurableState, raft.DurableState) {
			fs, acked, next := begin()
			fs.EndProcess()
			fs.Free()
			return fs, acked, next
		}
		for recovering := range p.lastingly(killed()) {
			if p.skips() {
				continue
			}
			fs, acked, next := killed()
			p.interrupted(fs, recovering, acked, next)
		}
	}
	t.Logf("%d operations, %d states", reference.Ops(), p.states)
}

// TestFullDiskAndLossOfPower fills the disk at bytes of a history and takes the power away, and again while the recovery has too
// little room.
func TestFullDiskAndLossOfPower(t *testing.T) {
	const plenty, stride, scarce = 1 << 20, 3, 400
	reference := faultfs.New()
	reference.Fill(plenty, syscall.ENOSPC)
	play(reference)
	p := &player{T: t}
	for room := 0; room < plenty-reference.Room(); room += stride {
		fs := faultfs.New()
		fs.Fill(room, syscall.ENOSPC)
		acked, next := play(fs)
		for state := range fs.CrashStates() {
			if p.skips() {
				continue
			}
			state.Fill(p.crashes%scarce, syscall.ENOSPC)
			if _, _, err := storage.Open(options(state)); err != nil && !errors.Is(err, syscall.ENOSPC) && acked != nil {
				t.Fatal(err)
			}
			for again := range state.CrashStates() {
				p.expect(again, acked, next)
			}
		}
	}
	t.Logf("%d states", p.states)
}

// TestDiscardedLogIsNeverOpened damages a record of a log and discards the log, with a crash at each operation. No state that
// this leaves may be opened: without its last segments, a damaged log reads as an older one.
func TestDiscardedLogIsNeverOpened(t *testing.T) {
	states := 0
	for op, ended := 0, false; !ended; op++ {
		fs := newLog(t)
		names := segmentNames(fs)
		data := readFile(t, fs, names[len(names)-1])
		data[frameHeader] ^= 0x10
		fs.Put(names[len(names)-1], data)
		fs.DieAt(fs.Ops() + op)
		ended = storage.Discard(fs, dir) == nil
		if op == 0 {
			continue // nothing was removed
		}
		for state := range fs.CrashStates() {
			states++
			_, found, err := storage.Open(options(state))
			var damaged *storage.DamagedError
			if !errors.Is(err, storage.ErrNotCreated) && !errors.As(err, &damaged) {
				t.Fatalf("operation %d: opened %+v, %v", op, found, err)
			}
			if err := storage.Discard(state, dir); err != nil {
				t.Fatal(err)
			}
			if _, err := storage.Create(options(state), initialState()); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Logf("%d states", states)
}
