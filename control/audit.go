package control

import (
	"crypto/sha256"
	"encoding/hex"
)

// MaxAuditEntries is the number of audit entries that the state keeps. Older entries
// exist only in operators' exports; the digest chain shows whether an export has gaps.
const MaxAuditEntries = 20000

// AuditEntry is one entry of the audit trail. Each entry's digest covers the digest of
// the entry before it.
type AuditEntry struct {
	// Seq is the entry's sequence number. Numbers start at 1 and have no gaps.
	Seq    uint64 `cbor:"1,keyasint" json:"seq"`
	Origin Origin `cbor:"2,keyasint" json:"origin"`
	// Action is the requested operation, such as contract.apply.
	Action string `cbor:"3,keyasint" json:"action"`
	// Subject is the object of the action; for contract changes, the customer.
	Subject  string `cbor:"4,keyasint" json:"subject"`
	ChangeID string `cbor:"5,keyasint,omitempty" json:"changeId,omitempty"`
	Outcome  string `cbor:"6,keyasint" json:"outcome"`
	Detail   string `cbor:"7,keyasint,omitempty" json:"detail,omitempty"`
	// From and To are the contract versions before and after the action.
	From uint64 `cbor:"8,keyasint" json:"from"`
	To   uint64 `cbor:"9,keyasint" json:"to"`
	// Digest is the hexadecimal SHA-256 of this entry's encoding with Digest set to the
	// digest of the previous entry.
	Digest string `cbor:"10,keyasint" json:"digest"`
}

// chainedDigest returns the digest of e as the successor of the entry with prevDigest,
// which is empty for the first entry.
func (e AuditEntry) chainedDigest(prevDigest string) string {
	e.Digest = prevDigest
	data, err := encMode.Marshal(e)
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// VerifyAudit returns the sequence number of the first entry whose number or digest does
// not follow from the entry before it, or 0 if there is none. The digest of entries[0]
// is not checked, as the list does not hold its predecessor.
func VerifyAudit(entries []AuditEntry) uint64 {
	for i := 1; i < len(entries); i++ {
		e := entries[i]
		if e.Seq != entries[i-1].Seq+1 || e.Digest != e.chainedDigest(entries[i-1].Digest) {
			return e.Seq
		}
	}
	return 0
}

// appendAudit numbers e, chains it to the audit trail and appends it.
func (s *State) appendAudit(origin Origin, e AuditEntry) {
	prevDigest := ""
	if n := len(s.auditTrail); n > 0 {
		prevDigest = s.auditTrail[n-1].Digest
	}
	s.lastAuditSeq++
	e.Seq = s.lastAuditSeq
	e.Origin = origin
	e.Digest = e.chainedDigest(prevDigest)
	s.auditTrail = append(s.auditTrail, e)
	if len(s.auditTrail) > MaxAuditEntries {
		s.auditTrail = s.auditTrail[1:]
	}
}

// Audit returns the oldest kept entries with a sequence number above since, at most
// limit of them.
func (s *State) Audit(since uint64, limit int) []AuditEntry {
	var out []AuditEntry
	for _, e := range s.auditTrail {
		if e.Seq > since && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}
