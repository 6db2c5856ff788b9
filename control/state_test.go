package control

import (
	"fmt"
	"testing"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/raft"
	"github.com/matryer/is"
)

// log applies commands to a state at consecutive indices.
type log struct {
	state *State
	next  uint64
}

func newLog() *log { return &log{state: New(), next: 1} }

func (l *log) apply(is *is.I, cmd Command) Result {
	is.Helper()
	data, err := cmd.Encode()
	is.NoErr(err)
	l.next++
	return l.state.Apply(raft.Entry{Index: l.next, Term: 1, Data: data})
}

func sample(customer, key string) contract.Contract {
	return contract.Contract{
		Customer: customer,
		Keys:     []contract.Key{{ID: "k", SHA256: key}},
		Wait:     1,
		Capacity: contract.Capacity{Replicas: 2, Concurrency: 1, Rate: 1, Burst: 1, Queue: 1},
		Models:   []contract.Model{{Name: "m", Memory: 10, Replicas: 1, Slots: 1}},
	}
}

func applyCmd(id string, base uint64, c contract.Contract) Command {
	return Command{Origin: Origin{Actor: "op", Node: "n"}, ApplyContract: &ApplyContract{ChangeID: id, BaseVersion: base, Contract: c}}
}

func TestRacingChangesOneWins(t *testing.T) {
	is := is.New(t)
	l := newLog()
	is.Equal(l.apply(is, applyCmd("1", 0, sample("a", "x"))).Change.Outcome, Accepted)
	first := l.apply(is, applyCmd("2", 1, sample("a", "y"))).Change
	second := l.apply(is, applyCmd("3", 1, sample("a", "z"))).Change
	is.Equal(first.Outcome, Accepted)
	is.Equal(second.Outcome, Conflict)
	is.Equal(second.Version, uint64(2)) // the version that won
	v, _ := l.state.Contract("a")
	is.Equal(v.Contract.Keys[0].SHA256, "y")
}

func TestResendGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	l := newLog()
	cmd := applyCmd("1", 0, sample("a", "x"))
	first := *l.apply(is, cmd).Change
	l.apply(is, applyCmd("2", 1, sample("a", "y")))
	is.Equal(*l.apply(is, cmd).Change, first)
	data, err := l.state.Snapshot()
	is.NoErr(err)
	is.NoErr(l.state.Restore(data))
	is.Equal(*l.apply(is, cmd).Change, first)
	is.Equal(l.apply(is, applyCmd("1", 0, sample("a", "z"))).Change.Outcome, ReusedID)
}

func TestRemovedContractKeepsItsVersions(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.apply(is, applyCmd("1", 0, sample("a", "x")))
	gone := l.apply(is, Command{RemoveContract: &RemoveContract{ChangeID: "2", BaseVersion: 1, Customer: "a"}})
	is.Equal(gone.Change.Version, uint64(2))
	is.Equal(l.apply(is, applyCmd("3", 1, sample("a", "x"))).Change.Outcome, Conflict)
	is.Equal(l.apply(is, applyCmd("4", 0, sample("a", "x"))).Change.Version, uint64(3))
}

func TestContractsMustNotClash(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.apply(is, applyCmd("1", 0, sample("a", "x")))
	is.Equal(l.apply(is, applyCmd("2", 0, sample("b", "x"))).Change.Outcome, Clash) // same key
	other := sample("b", "y")
	other.Models[0].Memory = 11
	is.Equal(l.apply(is, applyCmd("3", 0, other)).Change.Outcome, Clash) // same model, other memory
}

func TestGrantsAreCheckedAgainstContracts(t *testing.T) {
	is := is.New(t)
	l := newLog()
	grant := func(memory int64, upstream string) []placement.Change {
		g := placement.Grant{Key: placement.Key{Customer: "a", Model: "m"}, Upstream: upstream, Incarnation: 1, Memory: memory}
		return []placement.Change{{Kind: placement.Add, Grant: g, UpstreamMemory: 15}}
	}
	is.True(l.apply(is, Command{Grants: grant(10, "u1")}).Grants[0].Refused != "") // no contract
	l.apply(is, applyCmd("1", 0, sample("a", "x")))
	is.True(l.apply(is, Command{Grants: grant(9, "u1")}).Grants[0].Refused != "") // too little memory charged
	is.Equal(l.apply(is, Command{Grants: grant(10, "u1")}).Grants[0].Refused, "")
	is.True(l.apply(is, Command{Grants: grant(10, "u2")}).Grants[0].Refused != "") // replicas
	is.Equal(len(l.state.Grants().Grants), 1)
}

func TestAuditChain(t *testing.T) {
	is := is.New(t)
	l := newLog()
	for i := range 5 {
		l.apply(is, applyCmd(fmt.Sprint(i), uint64(i), sample("a", "x")))
	}
	l.apply(is, applyCmd("late", 1, sample("a", "x")))
	entries := l.state.Audit(0, 100)
	is.Equal(len(entries), 6)
	is.Equal(entries[5].Outcome, string(Conflict)) // refusals are audited too
	is.Equal(entries[3].From, uint64(3))
	is.Equal(entries[3].To, uint64(4))
	is.Equal(VerifyAudit(entries), uint64(0))
	entries[2].Origin.Actor = "someone else"
	is.Equal(VerifyAudit(entries), uint64(3))
}

// TestSnapshotKeepsEverything compares a state that lived on with one that was
// restored from a snapshot, by their encodings, which are deterministic.
func TestSnapshotKeepsEverything(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.apply(is, applyCmd("1", 0, sample("a", "x")))
	l.apply(is, Command{Claim: &ledger.Claim{Key: ledger.Key{Customer: "a", Idempotency: "k"}, Attempt: "t"}})
	l.apply(is, Command{Finish: &ledger.Finish{Key: ledger.Key{Customer: "a", Idempotency: "k"}, Attempt: "t", State: ledger.Done, Answer: &ledger.Answer{Status: 200}}})
	before, err := l.state.Snapshot()
	is.NoErr(err)
	restored := &log{state: New(), next: l.next}
	is.NoErr(restored.state.Restore(before))
	for _, x := range []*log{l, restored} {
		x.apply(is, applyCmd("2", 1, sample("a", "y")))
		x.apply(is, Command{Claim: &ledger.Claim{Key: ledger.Key{Customer: "a", Idempotency: "k"}, Attempt: "u"}})
	}
	one, err := l.state.Snapshot()
	is.NoErr(err)
	two, err := restored.state.Snapshot()
	is.NoErr(err)
	is.Equal(one, two)
}

func TestDamagedEntryChangesNothing(t *testing.T) {
	is := is.New(t)
	s := New()
	res := s.Apply(raft.Entry{Index: 2, Data: []byte{0xff}})
	is.True(res.Fault != "")
	is.Equal(s.Index(), uint64(2))
}
