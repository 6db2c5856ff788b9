package control

import (
	"cmp"
	"slices"

	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
)

// Result is the result of applying a log entry. Of Change, Claim and Grants at most the
// one that belongs to the command is set.
type Result struct {
	Change *ChangeResult       `json:"change,omitempty"`
	Claim  *ledger.ClaimResult `json:"claim,omitempty"`
	Grants []GrantResult       `json:"grants,omitempty"`
	// Applied reports whether the entry was carried out: a change that was decided counts
	// even if refused, a Finish or AbandonClaims only if it changed a claim.
	Applied bool `json:"applied"`
	// Fault states why the entry holds no valid command. Apart from the index of the
	// last applied entry, the state is then unchanged.
	Fault string `json:"fault,omitempty"`
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	// index is the log index of the last applied entry.
	index uint64
	// revision is the log index of the entry that last changed a contract.
	revision uint64
	// contracts holds the contracts in force, by customer.
	contracts map[string]VersionedContract
	// versions holds each customer's last version, also after the contract's removal.
	versions map[string]uint64
	// changes holds the decided changes by change ID; changeIDs lists them oldest first.
	changes      map[string]changeRecord
	changeIDs    []string
	grants       placement.Ledger
	claims       *ledger.Ledger
	auditTrail   []AuditEntry // the last MaxAuditEntries entries, oldest first
	lastAuditSeq uint64       // sequence number of the last audit entry, 0 before the first
	members      raft.Members // membership of the control group
}

// New returns the empty state before the first log entry.
func New() *State {
	return &State{
		contracts: map[string]VersionedContract{},
		versions:  map[string]uint64{},
		changes:   map[string]changeRecord{},
		claims:    ledger.New(),
	}
}

// Apply applies one log entry. Entries up to the last applied index are ignored and
// return the zero Result.
func (s *State) Apply(e raft.Entry) Result {
	if e.Index <= s.index {
		return Result{}
	}
	s.index = e.Index
	switch e.Kind {
	case raft.EntryCommand:
		return s.applyEncoded(e)
	case raft.EntryMembers:
		s.members = *e.Members
	case raft.EntryNoop:
	}
	return Result{Applied: true}
}

// applyEncoded decodes the command of an entry and applies it.
func (s *State) applyEncoded(e raft.Entry) Result {
	cmd, err := DecodeCommand(e.Data)
	if err != nil {
		return Result{Fault: err.Error()}
	}
	return s.applyCommand(e.Index, cmd)
}

func (s *State) applyCommand(index uint64, cmd Command) Result {
	switch {
	case cmd.ApplyContract != nil:
		r := s.applyContract(index, cmd.Origin, *cmd.ApplyContract)
		return Result{Change: &r, Applied: true}
	case cmd.RemoveContract != nil:
		r := s.removeContract(index, cmd.Origin, *cmd.RemoveContract)
		return Result{Change: &r, Applied: true}
	case cmd.Claim != nil:
		r := s.claims.Claim(*cmd.Claim)
		return Result{Claim: &r, Applied: true}
	case cmd.Finish != nil:
		_, ok := s.claims.Finish(*cmd.Finish)
		return Result{Applied: ok}
	case cmd.AbandonClaims != nil:
		n := s.claims.Abandon(cmd.AbandonClaims.Owner)
		return Result{Applied: n > 0}
	case cmd.Grants != nil:
		return Result{Grants: s.applyGrantChanges(cmd.Grants), Applied: true}
	case cmd.Note != nil:
		n := cmd.Note
		s.appendAudit(cmd.Origin, AuditEntry{Action: n.Action, Subject: n.Subject, Outcome: n.Outcome, Detail: n.Detail})
		return Result{Applied: true}
	default:
		return Result{Fault: "empty command"}
	}
}

// Index returns the log index of the last applied entry.
func (s *State) Index() uint64 { return s.index }

// Revision returns the log index of the entry that last changed a contract.
func (s *State) Revision() uint64 { return s.revision }

// Members returns the membership of the control group.
func (s *State) Members() raft.Members { return s.members }

// Contract returns the customer's contract in force, and whether there is one.
func (s *State) Contract(customer string) (VersionedContract, bool) {
	v, ok := s.contracts[customer]
	return v, ok
}

// Contracts returns the contracts in force, sorted by customer.
func (s *State) Contracts() []VersionedContract {
	list := make([]VersionedContract, 0, len(s.contracts))
	for _, v := range s.contracts {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b VersionedContract) int {
		return cmp.Compare(a.Contract.Customer, b.Contract.Customer)
	})
	return list
}

// ClaimRecord returns the ledger's record of a call that may run at most once, and
// whether there is one.
func (s *State) ClaimRecord(k ledger.Key) (ledger.Record, bool) { return s.claims.Lookup(k) }

// ClaimOwners returns the processes that hold pending claims, sorted.
func (s *State) ClaimOwners() []ledger.Owner { return s.claims.Owners() }

// stateImage is the state in the form that a snapshot encodes. Contracts are sorted and
// the encoding orders map keys, so that equal states have equal snapshots.
type stateImage struct {
	Index     uint64              `cbor:"1,keyasint"`
	Revision  uint64              `cbor:"2,keyasint"`
	Contracts []VersionedContract `cbor:"3,keyasint"`
	Versions  map[string]uint64   `cbor:"4,keyasint"`
	Changes   []changeRecord      `cbor:"5,keyasint"`
	Grants    placement.Ledger    `cbor:"6,keyasint"`
	Claims    ledger.Image        `cbor:"7,keyasint"`
	Trail     []AuditEntry        `cbor:"8,keyasint"`
	AuditSeq  uint64              `cbor:"9,keyasint"`
	Members   raft.Members        `cbor:"10,keyasint"`
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	img := stateImage{
		Index:     s.index,
		Revision:  s.revision,
		Contracts: s.Contracts(),
		Versions:  s.versions,
		Grants:    s.grants,
		Claims:    s.claims.Image(),
		Trail:     s.auditTrail,
		AuditSeq:  s.lastAuditSeq,
		Members:   s.members,
	}
	for _, id := range s.changeIDs {
		img.Changes = append(img.Changes, s.changes[id])
	}
	data, err := encMode.Marshal(img)
	return data, errors.Wrap(err, "encode state")
}

// Restore replaces the state with a snapshot. Empty data stands for the state before the
// first log entry. On an error the state is unchanged.
func (s *State) Restore(data []byte) error {
	fresh := New()
	if len(data) > 0 {
		var img stateImage
		if err := decMode.Unmarshal(data, &img); err != nil {
			return errors.Wrap(err, "decode state")
		}
		fresh.loadImage(img)
	}
	*s = *fresh
	return nil
}

// loadImage fills a new state from a decoded snapshot.
func (s *State) loadImage(img stateImage) {
	s.index = img.Index
	s.revision = img.Revision
	for _, v := range img.Contracts {
		s.contracts[v.Contract.Customer] = v
	}
	for customer, version := range img.Versions {
		s.versions[customer] = version
	}
	for _, c := range img.Changes {
		s.changes[c.ID] = c
		s.changeIDs = append(s.changeIDs, c.ID)
	}
	s.grants = img.Grants
	s.claims = ledger.FromImage(img.Claims)
	s.auditTrail = img.Trail
	s.lastAuditSeq = img.AuditSeq
	s.members = img.Members
}
