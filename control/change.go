package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/agateslip/agateslip/contract"
	"github.com/cockroachdb/errors"
)

// MaxChangeRecords is the number of decided changes, accepted or refused, whose results
// are kept, so that a resent change gets the first result again.
const MaxChangeRecords = 20000

// ChangeOutcome is the decision on a contract change.
type ChangeOutcome string

// Outcomes of a contract change. All except Accepted leave the contracts unchanged.
const (
	// Accepted means that the change is committed and applied.
	Accepted ChangeOutcome = "accepted"
	// Conflict means that the change was made from a version that is no longer in force,
	// or removes a contract that does not exist.
	Conflict ChangeOutcome = "conflict"
	// ReusedID means that a change with other content has the same change ID.
	ReusedID ChangeOutcome = "reused-id"
	// Clash means that the contract contradicts another customer's contract: they share
	// a key, or define a model differently.
	Clash ChangeOutcome = "clash"
)

// ChangeResult is the result of an ApplyContract or RemoveContract command.
type ChangeResult struct {
	Outcome ChangeOutcome `cbor:"1,keyasint" json:"outcome"`
	// Version is the contract's version after an accepted change. After a refusal it is
	// the customer's last version, except that a change made from a wrong version gets
	// the version in force, 0 if there is none.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Revision is the State.Revision after the decision.
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// Detail states why a change was refused; it is empty if accepted.
	Detail string `cbor:"4,keyasint,omitempty" json:"detail,omitempty"`
}

// VersionedContract is a contract with its version. A customer's versions only increase,
// also when the contract is removed and created anew.
type VersionedContract struct {
	Version  uint64            `cbor:"1,keyasint" json:"version"`
	Contract contract.Contract `cbor:"2,keyasint" json:"contract"`
}

// changeRecord is a decided change and its result.
type changeRecord struct {
	// ID is the change ID.
	ID string `cbor:"1,keyasint"`
	// Digest is the digest of the command, which tells a resend from a reused ID.
	Digest string       `cbor:"2,keyasint"`
	Result ChangeResult `cbor:"3,keyasint"`
}

// commandDigest returns the hexadecimal SHA-256 of the encoded command.
func commandDigest(cmd any) string {
	data, err := encMode.Marshal(cmd)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode command for its digest"))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (s *State) applyContract(index uint64, origin Origin, cmd ApplyContract) ChangeResult {
	c := cmd.Contract
	return s.applyOnce(origin, "contract.apply", c.Customer, cmd.ChangeID, commandDigest(cmd), func() ChangeResult {
		if r, ok := s.versionConflict(c.Customer, cmd.BaseVersion); ok {
			return r
		}
		if clash := s.findClash(c); clash != "" {
			return ChangeResult{Outcome: Clash, Version: s.versions[c.Customer], Revision: s.revision, Detail: clash}
		}
		s.versions[c.Customer]++
		s.contracts[c.Customer] = VersionedContract{Version: s.versions[c.Customer], Contract: c}
		s.revision = index
		return ChangeResult{Outcome: Accepted, Version: s.versions[c.Customer], Revision: index}
	})
}

func (s *State) removeContract(index uint64, origin Origin, cmd RemoveContract) ChangeResult {
	return s.applyOnce(origin, "contract.remove", cmd.Customer, cmd.ChangeID, commandDigest(cmd), func() ChangeResult {
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

// applyOnce returns the recorded result if the change was decided before. Otherwise it
// calls apply, records the result and audits it. A command that reuses the change ID of
// another one is refused and audited.
func (s *State) applyOnce(origin Origin, action, subject, changeID, digest string, apply func() ChangeResult) ChangeResult {
	if first, ok := s.changes[changeID]; ok {
		if first.Digest == digest {
			return first.Result
		}
		r := ChangeResult{Outcome: ReusedID, Version: s.versions[subject], Revision: s.revision, Detail: "the change id belongs to another change"}
		s.appendAudit(origin, AuditEntry{Action: action, Subject: subject, ChangeID: changeID, Outcome: string(r.Outcome), Detail: r.Detail, From: s.versions[subject], To: s.versions[subject]})
		return r
	}
	from := s.versions[subject]
	r := apply()
	s.recordChange(changeRecord{ID: changeID, Digest: digest, Result: r})
	s.appendAudit(origin, AuditEntry{Action: action, Subject: subject, ChangeID: changeID, Outcome: string(r.Outcome), Detail: r.Detail, From: from, To: s.versions[subject]})
	return r
}

// recordChange keeps the result of a change and drops the oldest beyond MaxChangeRecords.
func (s *State) recordChange(c changeRecord) {
	s.changes[c.ID] = c
	s.changeIDs = append(s.changeIDs, c.ID)
	if len(s.changeIDs) > MaxChangeRecords {
		delete(s.changes, s.changeIDs[0])
		s.changeIDs = s.changeIDs[1:]
	}
}

// versionConflict returns a Conflict result and true if base is not the version of the
// customer's contract in force.
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

// currentVersion returns the version of the customer's contract in force, or 0 if there
// is none.
func (s *State) currentVersion(customer string) uint64 {
	return s.contracts[customer].Version
}

// findClash describes the first contradiction between c and another customer's contract,
// or returns "" if there is none.
func (s *State) findClash(c contract.Contract) string {
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
	return s.findModelClash(c)
}
