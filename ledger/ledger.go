// Package ledger records calls that may run at most once. A call is claimed before its
// first byte is sent upstream. Its record then keeps the outcome, so that a repeated
// call gets the first answer and does not run again.
//
// The ledger is a deterministic state machine for use in a replicated log. It uses no
// clock, I/O or randomness.
package ledger

import (
	"github.com/cespare/xxhash/v2"
)

// Retention bounds.
const (
	// MaxRecords is the number of settled calls whose outcome is kept.
	MaxRecords = 16384
	// MaxAnswerBytes bounds the total size of the kept answer bodies, in bytes. The
	// oldest bodies are dropped first; the outcome of their calls stays.
	MaxAnswerBytes = 8 << 20
	// MaxForgotten is the number of calls evicted beyond MaxRecords whose keys are still
	// refused.
	MaxForgotten = 262144
)

// Key identifies one call of one customer.
type Key struct {
	Customer string `cbor:"1,keyasint" json:"customer"`
	// Idempotency is the caller's idempotency key.
	Idempotency string `cbor:"2,keyasint" json:"key"`
}

// hash returns the 64-bit hash by which evicted keys are remembered.
func (k Key) hash() uint64 {
	return xxhash.Sum64String(k.Customer + "\x00" + k.Idempotency)
}

// Owner is the process that made a claim. A restarted node is a different owner.
type Owner struct {
	Node string `cbor:"1,keyasint" json:"node"`
	// Boot identifies the process among those of the node.
	Boot string `cbor:"2,keyasint" json:"boot"`
}

// State is the state of a claimed call.
type State uint8

// States of a claimed call.
const (
	// Pending means that the owner may be running the call.
	Pending State = iota + 1
	// Ran means that the call ran and its answer was received.
	Ran
	// Unknown means that the call may have run and its answer is lost.
	Unknown
	// NotRun means that the call provably did not run; another attempt may claim it.
	NotRun
)

// String returns the name under which callers see the state.
func (s State) String() string {
	switch s {
	case Pending:
		return "pending"
	case Ran:
		return "ran"
	case Unknown:
		return "unknown"
	case NotRun:
		return "not-run"
	default:
		return "invalid"
	}
}

// HeaderField is one header line of an answer.
type HeaderField struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Answer is the upstream's answer to a call that ran.
type Answer struct {
	// Status is the HTTP status code.
	Status int           `cbor:"1,keyasint" json:"status"`
	Header []HeaderField `cbor:"2,keyasint,omitempty" json:"header,omitempty"`
	Body   []byte        `cbor:"3,keyasint,omitempty" json:"body,omitempty"`
	// BodyDropped reports that the answer had a body that is not kept.
	BodyDropped bool `cbor:"4,keyasint,omitempty" json:"bodyDropped,omitempty"`
}

// Record is the state of one claimed call.
type Record struct {
	Key Key `cbor:"1,keyasint" json:"key"`
	// Fingerprint is a digest of the call's method, path and body. It detects a key that
	// is reused for another call.
	Fingerprint string `cbor:"2,keyasint" json:"fingerprint"`
	Owner       Owner  `cbor:"3,keyasint" json:"owner"`
	// Attempt identifies the attempt that holds the claim.
	Attempt string `cbor:"4,keyasint" json:"attempt"`
	State   State  `cbor:"5,keyasint" json:"state"`
	// Answer is set in state Ran if the owner reported the answer.
	Answer *Answer `cbor:"6,keyasint,omitempty" json:"answer,omitempty"`
}

// Verdict is the decision on a claim.
type Verdict uint8

// Verdicts of a claim.
const (
	// Granted means that the claiming attempt may send the call once.
	Granted Verdict = iota + 1
	// InProgress means that another attempt holds the claim and has not settled it.
	InProgress
	// Settled means that the call has an outcome, which the record holds.
	Settled
	// Mismatch means that the key was used for a call with another fingerprint.
	Mismatch
	// Forgotten means that the key was used and the record of its call was evicted.
	Forgotten
)

// Claim requests the right to send a call. The fields are those of Record.
type Claim struct {
	Key         Key    `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
	Owner       Owner  `cbor:"3,keyasint"`
	Attempt     string `cbor:"4,keyasint"`
}

// ClaimResult is the result of a Claim. Record is the record of the key; it is empty if
// the verdict is Forgotten.
type ClaimResult struct {
	Verdict Verdict `cbor:"1,keyasint" json:"verdict"`
	Record  Record  `cbor:"2,keyasint" json:"record"`
}

// Finish settles a claim with the outcome of its call.
type Finish struct {
	Key     Key    `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// State is Ran, Unknown or NotRun.
	State State `cbor:"3,keyasint"`
	// Answer is kept only if State is Ran.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
}

// Ledger holds the records of claimed calls. It is not safe for concurrent use.
type Ledger struct {
	records map[Key]*Record
	// settledQueue lists settled keys, oldest first. A key that was claimed again after
	// NotRun may have several entries; only the one whose number is in settledSeq counts.
	// lastSeq is the number of the last entry.
	settledQueue []settledEntry
	settledSeq   map[Key]uint64
	lastSeq      uint64
	// bodyQueue lists the keys whose answer body was stored, oldest first. Keys of evicted
	// records may remain in it. bodyBytes is the total size of the kept bodies.
	bodyQueue []Key
	bodyBytes int
	// forgottenQueue lists the hashes of evicted keys, oldest first; forgottenSet holds
	// the same hashes.
	forgottenQueue []uint64
	forgottenSet   map[uint64]struct{}
}

// settledEntry is a settled key and the sequence number of its settlement.
type settledEntry struct {
	Key Key    `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint"`
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		records:      map[Key]*Record{},
		settledSeq:   map[Key]uint64{},
		forgottenSet: map[uint64]struct{}{},
	}
}

// Claim grants a call to at most one attempt at a time. A repeated claim by the attempt
// that holds the pending claim is granted again, since the claimer may have lost the
// first result. An attempt that settled its claim as NotRun is not granted it again:
// such a claim is a late duplicate of its message, and nobody would settle it.
func (l *Ledger) Claim(c Claim) ClaimResult {
	r, ok := l.records[c.Key]
	if !ok {
		return l.claimNew(c)
	}
	switch {
	case r.Fingerprint != c.Fingerprint:
		return ClaimResult{Verdict: Mismatch, Record: *r}
	case r.State == NotRun && r.Attempt != c.Attempt:
		l.reopen(r, c)
		return ClaimResult{Verdict: Granted, Record: *r}
	case r.State == Pending && r.Attempt == c.Attempt:
		return ClaimResult{Verdict: Granted, Record: *r}
	case r.State == Pending:
		return ClaimResult{Verdict: InProgress, Record: *r}
	default:
		return ClaimResult{Verdict: Settled, Record: *r}
	}
}

// claimNew grants a claim on a key without a record, unless the key was evicted.
func (l *Ledger) claimNew(c Claim) ClaimResult {
	if _, forgotten := l.forgottenSet[c.Key.hash()]; forgotten {
		return ClaimResult{Verdict: Forgotten}
	}
	r := &Record{Key: c.Key, Fingerprint: c.Fingerprint, Owner: c.Owner, Attempt: c.Attempt, State: Pending}
	l.records[c.Key] = r
	return ClaimResult{Verdict: Granted, Record: *r}
}

// reopen gives a call that did not run to a new attempt. Its entry in settledQueue no
// longer counts.
func (l *Ledger) reopen(r *Record, c Claim) {
	r.Owner = c.Owner
	r.Attempt = c.Attempt
	r.State = Pending
	delete(l.settledSeq, c.Key)
}

// Finish settles a claim and returns its record and whether it changed. A pending claim
// accepts any outcome from the attempt that holds it. An Unknown outcome may still be
// replaced by a known one, since the owner may only have been disconnected. Every other
// Finish is ignored.
func (l *Ledger) Finish(f Finish) (Record, bool) {
	r, ok := l.records[f.Key]
	if !ok || r.Attempt != f.Attempt {
		return Record{}, false
	}
	resolvesUnknown := r.State == Unknown && f.State != Unknown
	if r.State != Pending && !resolvesUnknown {
		return *r, false
	}
	r.State = f.State
	if f.State == Ran {
		l.storeAnswer(r, f.Answer)
	}
	if !resolvesUnknown {
		l.enqueueSettled(r.Key)
	}
	return *r, true
}

// Abandon settles every pending claim of an owner as Unknown and returns their number.
func (l *Ledger) Abandon(owner Owner) int {
	var keys []Key
	for k, r := range l.records {
		if r.State == Pending && r.Owner == owner {
			keys = append(keys, k)
		}
	}
	sortKeys(keys)
	for _, k := range keys {
		l.records[k].State = Unknown
		l.enqueueSettled(k)
	}
	return len(keys)
}

// Owners returns the owners that hold pending claims, sorted by node and process.
func (l *Ledger) Owners() []Owner {
	seen := map[Owner]struct{}{}
	for _, r := range l.records {
		if r.State == Pending {
			seen[r.Owner] = struct{}{}
		}
	}
	return sortedOwners(seen)
}

// Lookup returns the record of a key, and whether there is one.
func (l *Ledger) Lookup(k Key) (Record, bool) {
	r, ok := l.records[k]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Len returns the number of records, pending and settled.
func (l *Ledger) Len() int { return len(l.records) }
