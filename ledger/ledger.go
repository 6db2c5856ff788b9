// Package ledger records calls that may run at most once. A call is claimed
// before its first byte goes out; the claim then holds the call's outcome, so
// that a repeat gets the first call's answer and never runs again.
//
// The ledger is a deterministic state machine: it is meant to be applied from a
// replicated log and has no clock, I/O or randomness.
package ledger

import (
	"github.com/cespare/xxhash/v2"
)

// Retention bounds.
const (
	// MaxRecords is how many settled calls keep their outcome.
	MaxRecords = 16384
	// MaxAnswerBytes bounds the answer bodies held, in bytes. The oldest answers
	// are dropped first; their outcome stays.
	MaxAnswerBytes = 8 << 20
	// MaxForgotten is how many calls older than MaxRecords are still refused.
	MaxForgotten = 262144
)

// Key identifies one call of one customer.
type Key struct {
	Customer string `cbor:"1,keyasint" json:"customer"`
	// Idempotency is the caller's idempotency key.
	Idempotency string `cbor:"2,keyasint" json:"key"`
}

func (k Key) hash() uint64 {
	return xxhash.Sum64String(k.Customer + "\x00" + k.Idempotency)
}

// Owner is one process of a node: a restart is another owner.
type Owner struct {
	Node string `cbor:"1,keyasint" json:"node"`
	// Boot identifies the process.
	Boot string `cbor:"2,keyasint" json:"boot"`
}

// State is how far a claimed call is.
type State uint8

// States of a claimed call.
const (
	// Pending means that the owner may be running the call.
	Pending State = iota + 1
	// Done means that the call ran and its answer was received.
	Done
	// Unknown means that the call may have run and its answer is lost.
	Unknown
	// NotRun means that the call provably did not run; it may be claimed again.
	NotRun
)

// String names the state as callers see it.
func (s State) String() string {
	switch s {
	case Pending:
		return "pending"
	case Done:
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
	// BodyDropped says that the body is no longer, or never was, held.
	BodyDropped bool `cbor:"4,keyasint,omitempty" json:"bodyDropped,omitempty"`
}

// Record is the ledger's knowledge of one call.
type Record struct {
	Key Key `cbor:"1,keyasint" json:"key"`
	// Fingerprint is a digest of the call: method, path and body.
	Fingerprint string `cbor:"2,keyasint" json:"fingerprint"`
	Owner       Owner  `cbor:"3,keyasint" json:"owner"`
	// Attempt identifies the run that holds the claim.
	Attempt string  `cbor:"4,keyasint" json:"attempt"`
	State   State   `cbor:"5,keyasint" json:"state"`
	Answer  *Answer `cbor:"6,keyasint,omitempty" json:"answer,omitempty"`
}

// Verdict says what a claimer may do.
type Verdict uint8

// Verdicts of a claim.
const (
	// Granted lets the claimer send the call once.
	Granted Verdict = iota + 1
	// InProgress means that another attempt holds the claim.
	InProgress
	// Settled means that the call has an outcome; see the record.
	Settled
	// Mismatch means that the key was used for another call.
	Mismatch
	// Forgotten means that the key was used and its outcome is no longer held.
	Forgotten
)

// Claim asks for the right to send a call.
type Claim struct {
	Key         Key    `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
	Owner       Owner  `cbor:"3,keyasint"`
	Attempt     string `cbor:"4,keyasint"`
}

// ClaimResult answers a Claim. Record is the ledger's record of the key, unless
// the verdict is Forgotten.
type ClaimResult struct {
	Verdict Verdict `cbor:"1,keyasint" json:"verdict"`
	Record  Record  `cbor:"2,keyasint" json:"record"`
}

// Finish settles a claim.
type Finish struct {
	Key     Key    `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// State is Done, Unknown or NotRun.
	State  State   `cbor:"3,keyasint"`
	Answer *Answer `cbor:"4,keyasint,omitempty"`
}

// Ledger holds the records. It is not safe for concurrent use.
type Ledger struct {
	records map[Key]*Record
	// settled lists settled keys, oldest first. A key that was claimed again
	// after NotRun may stand in it more than once; only the newest counts.
	settled   []settledKey
	settledAt map[Key]uint64
	nextSeq   uint64
	// answers lists the keys whose answer body is held, oldest first.
	answers     []Key
	answerBytes int
	// forgotten lists hashes of older keys, oldest first.
	forgotten    []uint64
	forgottenSet map[uint64]struct{}
}

type settledKey struct {
	Key Key    `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint"`
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		records:      map[Key]*Record{},
		settledAt:    map[Key]uint64{},
		forgottenSet: map[uint64]struct{}{},
	}
}

// Claim grants a call to at most one attempt. Claiming again with the attempt
// that already holds a pending claim is granted: the claimer lost the answer. An
// attempt that gave its claim back gets none again: that is a late copy of its
// message, which nobody would settle.
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

func (l *Ledger) claimNew(c Claim) ClaimResult {
	if _, old := l.forgottenSet[c.Key.hash()]; old {
		return ClaimResult{Verdict: Forgotten}
	}
	r := &Record{Key: c.Key, Fingerprint: c.Fingerprint, Owner: c.Owner, Attempt: c.Attempt, State: Pending}
	l.records[c.Key] = r
	return ClaimResult{Verdict: Granted, Record: *r}
}

func (l *Ledger) reopen(r *Record, c Claim) {
	r.Owner = c.Owner
	r.Attempt = c.Attempt
	r.State = Pending
	delete(l.settledAt, c.Key)
}

// Finish settles a claim and returns its record. A pending claim takes any
// outcome of the attempt that holds it. An unknown outcome may still become
// known, when the attempt's owner was only cut off. Everything else is ignored
// and reported as false.
func (l *Ledger) Finish(f Finish) (Record, bool) {
	r, ok := l.records[f.Key]
	if !ok || r.Attempt != f.Attempt {
		return Record{}, false
	}
	late := r.State == Unknown && f.State != Unknown
	if r.State != Pending && !late {
		return *r, false
	}
	r.State = f.State
	if f.State == Done {
		l.keepAnswer(r, f.Answer)
	}
	if !late {
		l.settle(r.Key)
	}
	return *r, true
}

// Abandon marks every pending claim of an owner that ended as Unknown and
// returns how many there were.
func (l *Ledger) Abandon(o Owner) int {
	var keys []Key
	for k, r := range l.records {
		if r.State == Pending && r.Owner == o {
			keys = append(keys, k)
		}
	}
	sortKeys(keys)
	for _, k := range keys {
		l.records[k].State = Unknown
		l.settle(k)
	}
	return len(keys)
}

// Owners lists the owners that hold pending claims, sorted.
func (l *Ledger) Owners() []Owner {
	seen := map[Owner]struct{}{}
	for _, r := range l.records {
		if r.State == Pending {
			seen[r.Owner] = struct{}{}
		}
	}
	return sortedOwners(seen)
}

// Lookup returns the record of a key.
func (l *Ledger) Lookup(k Key) (Record, bool) {
	r, ok := l.records[k]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Len is the number of records held.
func (l *Ledger) Len() int { return len(l.records) }
