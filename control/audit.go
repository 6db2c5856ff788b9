package control

import (
	"crypto/sha256"
	"encoding/hex"
)

// MaxAudit is how many audit entries the state keeps. Older ones live on in
// what operators exported; the digests show whether an export is complete.
const MaxAudit = 20000

// AuditEntry is one line of the audit trail.
type AuditEntry struct {
	// Seq numbers the entries without gaps from 1.
	Seq    uint64 `cbor:"1,keyasint" json:"seq"`
	Origin Origin `cbor:"2,keyasint" json:"origin"`
	// Action is what was asked, as in contract.apply.
	Action string `cbor:"3,keyasint" json:"action"`
	// Subject is what the action was about.
	Subject  string `cbor:"4,keyasint" json:"subject"`
	ChangeID string `cbor:"5,keyasint,omitempty" json:"changeId,omitempty"`
	Outcome  string `cbor:"6,keyasint" json:"outcome"`
	Detail   string `cbor:"7,keyasint,omitempty" json:"detail,omitempty"`
	// From and To are the subject's versions before and after.
	From uint64 `cbor:"8,keyasint" json:"from"`
	To   uint64 `cbor:"9,keyasint" json:"to"`
	// Digest is the SHA-256 over the previous entry's digest and this entry.
	Digest string `cbor:"10,keyasint" json:"digest"`
}

// chain computes the digest of e after prev.
func (e AuditEntry) chain(prev string) string {
	e.Digest = prev
	data, err := encMode.Marshal(e)
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// VerifyAudit returns the sequence number of the first entry that does not
// follow from the one before it, or 0 if all do.
func VerifyAudit(entries []AuditEntry) uint64 {
	for i := 1; i < len(entries); i++ {
		e := entries[i]
		if e.Seq != entries[i-1].Seq+1 || e.Digest != e.chain(entries[i-1].Digest) {
			return e.Seq
		}
	}
	return 0
}

func (s *State) audit(o Origin, e AuditEntry) {
	prev := ""
	if n := len(s.trail); n > 0 {
		prev = s.trail[n-1].Digest
	}
	s.auditSeq++
	e.Seq = s.auditSeq
	e.Origin = o
	e.Digest = e.chain(prev)
	s.trail = append(s.trail, e)
	if len(s.trail) > MaxAudit {
		s.trail = s.trail[1:]
	}
}

// Audit returns at most limit entries after sequence number since.
func (s *State) Audit(since uint64, limit int) []AuditEntry {
	var out []AuditEntry
	for _, e := range s.trail {
		if e.Seq > since && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}
