// Package control is the replicated state of the system: contracts, grants of
// accelerator memory, claims of calls that may run at most once, and the audit
// trail. It is a deterministic state machine over the entries of a replicated
// log; it has no clock, I/O or randomness.
package control

import (
	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Origin says who asked for a command and where. It goes into the audit trail.
type Origin struct {
	// Actor is the operator or process that asked.
	Actor string `cbor:"1,keyasint" json:"actor"`
	// Node is the node that took the command.
	Node string `cbor:"2,keyasint" json:"node"`
	// UnixMillis is that node's wall clock, for people to read. Nothing is
	// decided by it.
	UnixMillis int64 `cbor:"3,keyasint" json:"unixMillis"`
}

// ApplyContract creates or replaces a contract.
type ApplyContract struct {
	// ChangeID identifies the change over resends.
	ChangeID string `cbor:"1,keyasint"`
	// BaseVersion is the version that the change was made from; 0 to create.
	BaseVersion uint64            `cbor:"2,keyasint"`
	Contract    contract.Contract `cbor:"3,keyasint"`
}

// RemoveContract ends a contract.
type RemoveContract struct {
	ChangeID    string `cbor:"1,keyasint"`
	BaseVersion uint64 `cbor:"2,keyasint"`
	Customer    string `cbor:"3,keyasint"`
}

// AbandonClaims settles the pending claims of a process that ended.
type AbandonClaims struct {
	Owner ledger.Owner `cbor:"1,keyasint"`
}

// Note adds a line to the audit trail and changes nothing else.
type Note struct {
	Action  string `cbor:"1,keyasint"`
	Subject string `cbor:"2,keyasint"`
	Outcome string `cbor:"3,keyasint"`
	Detail  string `cbor:"4,keyasint,omitempty"`
}

// Command is one entry of the log. Exactly one field beside Origin is set.
type Command struct {
	Origin         Origin          `cbor:"1,keyasint"`
	ApplyContract  *ApplyContract  `cbor:"2,keyasint,omitempty"`
	RemoveContract *RemoveContract `cbor:"3,keyasint,omitempty"`
	Claim          *ledger.Claim   `cbor:"4,keyasint,omitempty"`
	Finish         *ledger.Finish  `cbor:"5,keyasint,omitempty"`
	AbandonClaims  *AbandonClaims  `cbor:"6,keyasint,omitempty"`
	// Grants are changes of the ledger of grants, each checked by itself.
	Grants []placement.Change `cbor:"7,keyasint,omitempty"`
	Note   *Note              `cbor:"9,keyasint,omitempty"`
}

// maxElements bounds the lists of a decoded snapshot.
const maxElements = 1 << 24

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "cbor encoder"))
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "cbor decoder"))
	}
	return m
}

// Encode renders a command for the log.
func (c Command) Encode() ([]byte, error) {
	data, err := encMode.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}

// DecodeCommand reads a command of the log.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	err := decMode.Unmarshal(data, &c)
	return c, errors.Wrap(err, "decode command")
}
