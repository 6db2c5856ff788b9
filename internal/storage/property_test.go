package storage_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/agateslip/agateslip/internal/faultfs"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestAnyHistorySurvivesCrashes makes random calls that save and overwrite entries,
// compact the log and save received snapshots, and crashes during some of them. After
// a crash, Open must return the state before or after the interrupted call.
func TestAnyHistorySurvivesCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := faultfs.New()
		state := initialState()
		s, err := storage.Create(options(fs), state)
		must(t, err)
		for range rapid.IntRange(1, 25).Draw(t, "calls") {
			call, next := drawCall(t, state)
			crash := rapid.IntRange(0, 3).Draw(t, "crash") == 0
			if crash {
				fs.DieAt(fs.Ops() + rapid.IntRange(0, 12).Draw(t, "operation"))
			}
			err := call(s)
			if err == nil {
				state = next
			}
			if !crash {
				must(t, err)
				continue
			}
			fs.Crash(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "kept"), 1)))
			var got raft.DurableState
			s, got, err = storage.Open(options(fs))
			must(t, err)
			if !equalState(got, state) && !equalState(got, next) {
				t.Fatalf("found %+v, expected %+v or %+v", got, state, next)
			}
			state = got
		}
	})
}

// drawCall draws a store call that is valid in the given state. It returns the call
// and the state after it.
func drawCall(t *rapid.T, state raft.DurableState) (func(*storage.Store) error, raft.DurableState) {
	next := state
	last := state.Snapshot.Index + uint64(len(state.Entries))
	term := max(state.Hard.Term, state.Snapshot.Term) + rapid.Uint64Range(0, 1).Draw(t, "term")
	switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
	case kind == 0 && len(state.Entries) > 0:
		at := rapid.IntRange(1, len(state.Entries)).Draw(t, "compact")
		last := state.Entries[at-1]
		next.Snapshot = raft.Snapshot{Index: last.Index, Term: last.Term, Data: []byte("local")}
		next.Entries = slices.Clone(state.Entries[at:])
		return func(s *storage.Store) error { return s.Compact(next.Snapshot) }, next
	case kind == 1:
		next.Hard = raft.HardState{Term: term}
		next.Snapshot = raft.Snapshot{Index: last + 5, Term: term, Data: []byte("received")}
		next.Entries = nil
		out := raft.Output{Hard: &next.Hard, Snapshot: &next.Snapshot}
		return func(s *storage.Store) error { return s.Save(out) }, next
	default:
		first := rapid.Uint64Range(state.Snapshot.Index+1, last+1).Draw(t, "first")
		next.Hard = raft.HardState{Term: term, Vote: 1}
		out := raft.Output{Hard: &next.Hard}
		for i := range rapid.Uint64Range(0, 4).Draw(t, "entries") {
			out.Entries = append(out.Entries, entry(first+i, term))
		}
		if len(out.Entries) > 0 {
			next.Entries = append(slices.Clone(state.Entries[:first-state.Snapshot.Index-1]), out.Entries...)
		}
		return func(s *storage.Store) error { return s.Save(out) }, next
	}
}

// equalState reports whether a and b are equal, not comparing the members.
func equalState(a, b raft.DurableState) bool {
	return a.Hard == b.Hard && a.Snapshot.Index == b.Snapshot.Index && a.Snapshot.Term == b.Snapshot.Term &&
		string(a.Snapshot.Data) == string(b.Snapshot.Data) &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y raft.Entry) bool {
			return x.Index == y.Index && x.Term == y.Term && string(x.Data) == string(y.Data)
		})
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("%+v", errors.WithStack(err))
	}
}
