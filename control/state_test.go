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

// testLog applies commands to a state at consecutive log indices.
type testLog struct {
	state     *State
	lastIndex uint64
}

func newLog() *testLog { return &testLog{state: New(), lastIndex: 1} }

func (l *testLog) apply(is *is.I, cmd Command) Result {
	is.Helper()
	data, err := cmd.Encode()
	is.NoErr(err)
	l.lastIndex++
	return l.state.Apply(raft.Entry{Index: l.lastIndex, Term: 1, Data: data})
}

// sampleContract returns a contract with one key hash and one model.
func sampleContract(customer, key string) contract.Contract {
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

func TestConcurrentChangeConflicts(t *testing.T) {
	is := is.New(t)
	l := newLog()
	is.Equal(l.apply(is, applyCmd("1", 0, sampleContract("a", "x"))).Change.Outcome, Accepted)
	first := l.apply(is, applyCmd("2", 1, sampleContract("a", "y"))).Change
	second := l.apply(is, applyCmd("3", 1, sampleContract("a", "z"))).Change
	is.Equal(first.Outcome, Accepted)
	is.Equal(second.Outcome, Conflict)
	is.Equal(second.Version, uint64(2)) // the version in force
	v, _ := l.state.Contract("a")
	is.Equal(v.Contract.Keys[0].SHA256, "y")
}

func TestResendReturnsFirstResult(t *testing.T) {
	is := is.New(t)
	l := newLog()
	cmd := applyCmd("1", 0, sampleContract("a", "x"))
	first := *l.apply(is, cmd).Change
	l.apply(is, applyCmd("2", 1, sampleContract("a", "y")))
	is.Equal(*l.apply(is, cmd).Change, first)
	data, err := l.state.Snapshot()
	is.NoErr(err)
	is.NoErr(l.state.Restore(data))
	is.Equal(*l.apply(is, cmd).Change, first)
	is.Equal(l.apply(is, applyCmd("1", 0, sampleContract("a", "z"))).Change.Outcome, ReusedID)
}

func TestRemoveKeepsVersionCounter(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.apply(is, applyCmd("1", 0, sampleContract("a", "x")))
	removed := l.apply(is, Command{RemoveContract: &RemoveContract{ChangeID: "2", BaseVersion: 1, Customer: "a"}})
	is.Equal(removed.Change.Version, uint64(2))
	is.Equal(l.apply(is, applyCmd("3", 1, sampleContract("a", "x"))).Change.Outcome, Conflict)
	is.Equal(l.apply(is, applyCmd("4", 0, sampleContract("a", "x"))).Change.Version, uint64(3))
}

func TestContractClash(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.apply(is, applyCmd("1", 0, sampleContract("a", "x")))
	is.Equal(l.apply(is, applyCmd("2", 0, sampleContract("b", "x"))).Change.Outcome, Clash) // same key hash
	other := sampleContract("b", "y")
	other.Models[0].Memory = 11
	is.Equal(l.apply(is, applyCmd("3", 0, other)).Change.Outcome, Clash) // same model, different memory
}

func TestGrantLimits(t *testing.T) {
	is := is.New(t)
	l := newLog()
	grant := func(memory int64, upstream string) []placement.Change {
		g := placement.Grant{Key: placement.Key{Customer: "a", Model: "m"}, Upstream: upstream, Incarnation: 1, Memory: memory}
		return []placement.Change{{Kind: placement.Add, Grant: g, UpstreamMemory: 15}}
	}
	is.True(l.apply(is, Command{Grants: grant(10, "u1")}).Grants[0].Refused != "") // no contract
	l.apply(is, applyCmd("1", 0, sampleContract("a", "x")))
	is.True(l.apply(is, Command{Grants: grant(9, "u1")}).Grants[0].Refused != "") // too little memory charged
	is.Equal(l.apply(is, Command{Grants: grant(10, "u1")}).Grants[0].Refused, "")
	is.True(l.apply(is, Command{Grants: grant(10, "u2")}).Grants[0].Refused != "") // replica limit reached
	is.Equal(len(l.state.Grants().Grants), 1)
}

func TestAuditChain(t *testing.T) {
	is := is.New(t)
	l := newLog()
	for i := range 5 {
		l.apply(is, applyCmd(fmt.Sprint(i), uint64(i), sampleContract("a", "x")))
	}
	l.apply(is, applyCmd("late", 1, sampleContract("a", "x")))
	entries := l.state.Audit(0, 100)
	is.Equal(len(entries), 6)
	is.Equal(entries[5].Outcome, string(Conflict)) // refusals are audited too
	is.Equal(entries[3].From, uint64(3))
	is.Equal(entries[3].To, uint64(4))
	is.Equal(VerifyAudit(entries), uint64(0))
	entries[2].Origin.Actor = "someone else"
	is.Equal(VerifyAudit(entries), uint64(3))
}

// TestRestoredStateMatchesOriginal applies the same commands to a state and to one restored
// from its snapshot. Both must have equal snapshots afterwards; encoding is deterministic.
func TestRestoredStateMatchesOriginal(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.apply(is, applyCmd("1", 0, sampleContract("a", "x")))
	l.apply(is, Command{Claim: &ledger.Claim{Key: ledger.Key{Customer: "a", Idempotency: "k"}, Attempt: "t"}})
	l.apply(is, Command{Finish: &ledger.Finish{Key: ledger.Key{Customer: "a", Idempotency: "k"}, Attempt: "t", State: ledger.Ran, Answer: &ledger.Answer{Status: 200}}})
	before, err := l.state.Snapshot()
	is.NoErr(err)
	restored := &testLog{state: New(), lastIndex: l.lastIndex}
	is.NoErr(restored.state.Restore(before))
	for _, replica := range []*testLog{l, restored} {
		replica.apply(is, applyCmd("2", 1, sampleContract("a", "y")))
		replica.apply(is, Command{Claim: &ledger.Claim{Key: ledger.Key{Customer: "a", Idempotency: "k"}, Attempt: "u"}})
	}
	originalSnapshot, err := l.state.Snapshot()
	is.NoErr(err)
	restoredSnapshot, err := restored.state.Snapshot()
	is.NoErr(err)
	is.Equal(originalSnapshot, restoredSnapshot)
}

func TestUndecodableEntry(t *testing.T) {
	is := is.New(t)
	s := New()
	res := s.Apply(raft.Entry{Index: 2, Data: []byte{0xff}})
	is.True(res.Fault != "")
	is.Equal(s.Index(), uint64(2))
}
