// Package control holds the replicated state of the system: contracts, grants of
// accelerator memory, claims on calls that may run at most once, and the audit trail.
// It is a deterministic state machine over the entries of a replicated log and uses no
// clock, I/O or randomness.
package control

import (
	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Origin identifies who requested a command and through which node. It is written to
// the audit trail.
type Origin struct {
	// Actor is the operator or process that requested the command.
	Actor string `cbor:"1,keyasint" json:"actor"`
	// Node is the node that received the request.
	Node string `cbor:"2,keyasint" json:"node"`
	// UnixMillis is that node's wall-clock time in milliseconds. It is informational;
	// no decision depends on it.
	UnixMillis int64 `cbor:"3,keyasint" json:"unixMillis"`
}

// ApplyContract creates or replaces a contract.
type ApplyContract struct {
	// ChangeID identifies the change. A resend carries the same ID.
	ChangeID string `cbor:"1,keyasint"`
	// BaseVersion is the version that the change was made from; 0 creates the contract.
	BaseVersion uint64            `cbor:"2,keyasint"`
	Contract    contract.Contract `cbor:"3,keyasint"`
}

// RemoveContract removes a customer's contract.
type RemoveContract struct {
	// ChangeID identifies the change. A resend carries the same ID.
	ChangeID string `cbor:"1,keyasint"`
	// BaseVersion is the version of the contract to remove.
	BaseVersion uint64 `cbor:"2,keyasint"`
	Customer    string `cbor:"3,keyasint"`
}

// AbandonClaims settles the pending claims of a process that ended or was not heard
// from for too long. Their outcome becomes unknown.
type AbandonClaims struct {
	Owner ledger.Owner `cbor:"1,keyasint"`
}

// AuditNote appends an entry to the audit trail and changes nothing else.
type AuditNote struct {
	Action  string `cbor:"1,keyasint"`
	Subject string `cbor:"2,keyasint"`
	Outcome string `cbor:"3,keyasint"`
	Detail  string `cbor:"4,keyasint,omitempty"`
}

// Command is one command in the log. Exactly one field besides Origin is set.
type Command struct {
	Origin         Origin          `cbor:"1,keyasint"`
	ApplyContract  *ApplyContract  `cbor:"2,keyasint,omitempty"`
	RemoveContract *RemoveContract `cbor:"3,keyasint,omitempty"`
	Claim          *ledger.Claim   `cbor:"4,keyasint,omitempty"`
	Finish         *ledger.Finish  `cbor:"5,keyasint,omitempty"`
	AbandonClaims  *AbandonClaims  `cbor:"6,keyasint,omitempty"`
	// Grants are changes to the grant ledger. Each is accepted or refused on its own.
	Grants []placement.Change `cbor:"7,keyasint,omitempty"`
	Note   *AuditNote         `cbor:"9,keyasint,omitempty"`
}

// maxElements bounds the length of each list and map in decoded CBOR data. Snapshots
// hold the longest ones.
const maxElements = 1 << 24

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "create CBOR encoder mode"))
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "create CBOR decoder mode"))
	}
	return m
}

// Encode encodes the command for the log. Equal commands encode equally.
func (c Command) Encode() ([]byte, error) {
	data, err := encMode.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}

// DecodeCommand decodes a command that Encode returned.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	err := decMode.Unmarshal(data, &c)
	return c, errors.Wrap(err, "decode command")
}
