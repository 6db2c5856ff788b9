package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/agateslip/agateslip/contract"
	"github.com/cockroachdb/errors"
)

// MaxChanges is how many accepted or refused changes are remembered, so that a
// resend gets the first answer again.
const MaxChanges = 20000

// ChangeOutcome says what became of a change.
type ChangeOutcome string

// Outcomes of a change.
const (
	// Accepted means that the change is committed.
	Accepted ChangeOutcome = "accepted"
	// Conflict means that another change won; nothing was changed.
	Conflict ChangeOutcome = "conflict"
	// ReusedID means that the change ID belongs to another change.
	ReusedID ChangeOutcome = "reused-id"
	// Clash means that the contract contradicts another customer's.
	Clash ChangeOutcome = "clash"
)

// ChangeResult answers a change of contracts.
type ChangeResult struct {
	Outcome ChangeOutcome `cbor:"1,keyasint" json:"outcome"`
	// Version is the contract's version after the change, or on a conflict the
	// version that won.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Revision is the configuration revision at which this was decided.
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// Detail says which rule a refused change breaks.
	Detail string `cbor:"4,keyasint,omitempty" json:"detail,omitempty"`
}

// Versioned is a contract with its version. Versions of a customer's contracts
// only grow, also over removal.
type Versioned struct {
	Version  uint64            `cbor:"1,keyasint" json:"version"`
	Contract contract.Contract `cbor:"2,keyasint" json:"contract"`
}

type change struct {
	ID string `cbor:"1,keyasint"`
	// Digest identifies the body.
	Digest string       `cbor:"2,keyasint"`
	Result ChangeResult `cbor:"3,keyasint"`
}

func digest(v any) string {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode change"))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (s *State) applyContract(index uint64, o Origin, cmd ApplyContract) ChangeResult {
	c := cmd.Contract
	return s.decide(o, "contract.apply", c.Customer, cmd.ChangeID, digest(cmd), func() ChangeResult {
		if r, ok := s.versionConflict(c.Customer, cmd.BaseVersion); ok {
			return r
		}
		if clash := s.clash(c); clash != "" {
			return ChangeResult{Outcome: Clash, Version: s.versions[c.Customer], Revision: s.revision, Detail: clash}
		}
		s.versions[c.Customer]++
		s.contracts[c.Customer] = Versioned{Version: s.versions[c.Customer], Contract: c}
		s.revision = index
		return ChangeResult{Outcome: Accepted, Version: s.versions[c.Customer], Revision: index}
	})
}

func (s *State) removeContract(index uint64, o Origin, cmd RemoveContract) ChangeResult {
	return s.decide(o, "contract.remove", cmd.Customer, cmd.ChangeID, digest(cmd), func() ChangeResult {
		if r, ok := s.versionConflict(cmd.Customer, cmd.BaseVersion); ok {
			return r
		}
		if _, ok := s.contracts[cmd.Customer]; !ok {
			return ChangeResult{Outcome: Conflict, Version: s.versions[cmd.Customer], Revision: s.revision, Detail: "no such contract"}
		}
		s.versions[cmd.Customer]++
		delete(s.contracts, cmd.Customer)
		s.revision = index
		return ChangeResult{Outcome: Accepted, Version: s.versions[cmd.Customer], Revision: index}
	})
}

// decide answers a resend from memory; otherwise it runs the change once,
// remembers its answer and audits it.
func (s *State) decide(o Origin, action, subject, id, sum string, run func() ChangeResult) ChangeResult {
	if first, ok := s.changes[id]; ok {
		if first.Digest == sum {
			return first.Result
		}
		r := ChangeResult{Outcome: ReusedID, Version: s.versions[subject], Revision: s.revision, Detail: "the change id belongs to another change"}
		s.audit(o, AuditEntry{Action: action, Subject: subject, ChangeID: id, Outcome: string(r.Outcome), Detail: r.Detail, From: s.versions[subject], To: s.versions[subject]})
		return r
	}
	from := s.versions[subject]
	r := run()
	s.remember(change{ID: id, Digest: sum, Result: r})
	s.audit(o, AuditEntry{Action: action, Subject: subject, ChangeID: id, Outcome: string(r.Outcome), Detail: r.Detail, From: from, To: s.versions[subject]})
	return r
}

func (s *State) remember(c change) {
	s.changes[c.ID] = c
	s.changeOrder = append(s.changeOrder, c.ID)
	if len(s.changeOrder) > MaxChanges {
		delete(s.changes, s.changeOrder[0])
		s.changeOrder = s.changeOrder[1:]
	}
}

func (s *State) versionConflict(customer string, base uint64) (ChangeResult, bool) {
	if s.currentVersion(customer) == base {
		return ChangeResult{}, false
	}
	return ChangeResult{
		Outcome:  Conflict,
		Version:  s.currentVersion(customer),
		Revision: s.revision,
		Detail:   fmt.Sprintf("the change was made from version %d; version %d is in force", base, s.currentVersion(customer)),
	}, true
}

// currentVersion is 0 where no contract is in force.
func (s *State) currentVersion(customer string) uint64 {
	return s.contracts[customer].Version
}

// clash finds what in c contradicts another customer's contract.
func (s *State) clash(c contract.Contract) string {
	for _, v := range s.Contracts() {
		if v.Contract.Customer == c.Customer {
			continue
		}
		for _, k := range c.Keys {
			for _, other := range v.Contract.Keys {
				if k.SHA256 == other.SHA256 {
					return fmt.Sprintf("key %s is a key of another customer", k.ID)
				}
			}
		}
	}
	return s.memoryConflict(c)
}
