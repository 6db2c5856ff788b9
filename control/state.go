package control

import (
	"cmp"
	"slices"

	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
)

// Result is what applying a command answers. Exactly the field that belongs to
// the command is set.
type Result struct {
	Change  *ChangeResult       `json:"change,omitempty"`
	Claim   *ledger.ClaimResult `json:"claim,omitempty"`
	Grants  []GrantResult       `json:"grants,omitempty"`
	Applied bool                `json:"applied"`
	// Fault says why the entry could not be read; the state is unchanged.
	Fault string `json:"fault,omitempty"`
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	// index is the last applied entry.
	index uint64
	// revision is the entry that last changed a contract.
	revision    uint64
	contracts   map[string]Versioned
	versions    map[string]uint64
	changes     map[string]change
	changeOrder []string
	grants      placement.Ledger
	claims      *ledger.Ledger
	trail       []AuditEntry
	auditSeq    uint64
	members     raft.Members
}

// New returns the state before the first entry.
func New() *State {
	return &State{
		contracts: map[string]Versioned{},
		versions:  map[string]uint64{},
		changes:   map[string]change{},
		claims:    ledger.New(),
	}
}

// Apply applies one entry of the log. Entries already applied are ignored.
func (s *State) Apply(e raft.Entry) Result {
	if e.Index <= s.index {
		return Result{}
	}
	s.index = e.Index
	switch e.Kind {
	case raft.EntryCommand:
		return s.applyData(e)
	case raft.EntryMembers:
		s.members = *e.Members
	case raft.EntryNoop:
	}
	return Result{Applied: true}
}

func (s *State) applyData(e raft.Entry) Result {
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
		return Result{Grants: s.changeGrants(cmd.Grants), Applied: true}
	case cmd.Note != nil:
		n := cmd.Note
		s.audit(cmd.Origin, AuditEntry{Action: n.Action, Subject: n.Subject, Outcome: n.Outcome, Detail: n.Detail})
		return Result{Applied: true}
	default:
		return Result{Fault: "empty command"}
	}
}

// Index is the last applied entry.
func (s *State) Index() uint64 { return s.index }

// Revision is the entry that last changed a contract.
func (s *State) Revision() uint64 { return s.revision }

// Members is the membership of the control group.
func (s *State) Members() raft.Members { return s.members }

// Contract returns the contract in force for a customer.
func (s *State) Contract(customer string) (Versioned, bool) {
	v, ok := s.contracts[customer]
	return v, ok
}

// Contracts lists the contracts in force, by customer.
func (s *State) Contracts() []Versioned {
	list := make([]Versioned, 0, len(s.contracts))
	for _, v := range s.contracts {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b Versioned) int {
		return cmp.Compare(a.Contract.Customer, b.Contract.Customer)
	})
	return list
}

// Claimed returns the record of a call that may run at most once.
func (s *State) Claimed(k ledger.Key) (ledger.Record, bool) { return s.claims.Lookup(k) }

// ClaimOwners lists the processes that hold pending claims.
func (s *State) ClaimOwners() []ledger.Owner { return s.claims.Owners() }

// image is the encoded form of the state. Lists are sorted, so that equal
// states encode equally.
type image struct {
	Index     uint64            `cbor:"1,keyasint"`
	Revision  uint64            `cbor:"2,keyasint"`
	Contracts []Versioned       `cbor:"3,keyasint"`
	Versions  map[string]uint64 `cbor:"4,keyasint"`
	Changes   []change          `cbor:"5,keyasint"`
	Grants    placement.Ledger  `cbor:"6,keyasint"`
	Claims    ledger.Image      `cbor:"7,keyasint"`
	Trail     []AuditEntry      `cbor:"8,keyasint"`
	AuditSeq  uint64            `cbor:"9,keyasint"`
	Members   raft.Members      `cbor:"10,keyasint"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	img := image{
		Index:     s.index,
		Revision:  s.revision,
		Contracts: s.Contracts(),
		Versions:  s.versions,
		Grants:    s.grants,
		Claims:    s.claims.Image(),
		Trail:     s.trail,
		AuditSeq:  s.auditSeq,
		Members:   s.members,
	}
	for _, id := range s.changeOrder {
		img.Changes = append(img.Changes, s.changes[id])
	}
	data, err := encMode.Marshal(img)
	return data, errors.Wrap(err, "encode state")
}

// Restore replaces the state by a snapshot. Empty data is the state before the
// first entry.
func (s *State) Restore(data []byte) error {
	fresh := New()
	if len(data) > 0 {
		var img image
		if err := decMode.Unmarshal(data, &img); err != nil {
			return errors.Wrap(err, "decode state")
		}
		fresh.load(img)
	}
	*s = *fresh
	return nil
}

func (s *State) load(img image) {
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
		s.changeOrder = append(s.changeOrder, c.ID)
	}
	s.grants = img.Grants
	s.claims = ledger.FromImage(img.Claims)
	s.trail = img.Trail
	s.auditSeq = img.AuditSeq
	s.members = img.Members
}
