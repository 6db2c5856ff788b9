// Package confstate holds the replicated state of a managed deployment: the configuration
// in force, the addresses of the control group's members, the member that may send orders
// to upstreams, the calls that crash upstreams, at which software version streams began, and which upstreams
// leave. Only commands of a replicated log change it, with the same result on every member.
//
// Load pattern: several operators at once send whole configurations in quick succession,
// and resend each whose answer is lost.
package confstate

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/origin"
	"github.com/agateslip/agateslip/quarantine"
)

// Member is a member of the control group and its addresses.
type Member struct {
	// ID is the member's identity in the log. A member that loses its disk joins again
	// with a new ID.
	ID uint64 `json:"id"`
	// Node is the name of the member's node.
	Node string `json:"node"`
	// Link is the address for other nodes, as host:port.
	Link string `json:"link"`
	// Operators is the address for operators and upstreams, as host:port.
	Operators string `json:"operators"`
}

// Orderer is the node that may send orders to upstreams.
type Orderer struct {
	// Node is the node's name. Orders carry it as their holder.
	Node string `json:"node"`
	// Fence is the fencing number of the node's orders: the log index of the command that
	// made it the orderer. It increases with each such command, so no two share it.
	Fence uint64 `json:"fence"`
}

// Command is one command in the log. Exactly one field is set.
type Command struct {
	Configure *Configure `json:"configure,omitempty"`
	// Join adds or replaces a member.
	Join *Member `json:"join,omitempty"`
	// Retire is the ID of a member to remove permanently.
	Retire *uint64 `json:"retire,omitempty"`
	// SetOrderer is the name of the node that becomes the orderer.
	SetOrderer *string `json:"order,omitempty"`
	// Quarantine replaces the signatures in quarantine.
	Quarantine *[]quarantine.Signature `json:"quarantine,omitempty"`
	// Evidence replaces the evidence against what is not in quarantine.
	Evidence *[]quarantine.Evidence `json:"evidence,omitempty"`
	// Streams changes what is known of the origins of streams.
	Streams *origin.Change `json:"streams,omitempty"`
	// Depart records that an upstream leaves. Members of builds before it change nothing.
	Depart *Departure `json:"depart,omitempty"`
}

// SetQuarantine returns the command that replaces the signatures in quarantine. A nil list would
// be encoded as if the field were not set.
func SetQuarantine(signatures []quarantine.Signature) Command {
	list := append([]quarantine.Signature{}, signatures...)
	return Command{Quarantine: &list}
}

// SetEvidence returns the command that replaces the evidence.
func SetEvidence(evidence []quarantine.Evidence) Command {
	list := append([]quarantine.Evidence{}, evidence...)
	return Command{Evidence: &list}
}

// Configure puts a configuration in force, unless one of the same or a higher version is
// in force.
type Configure struct {
	Version uint64 `json:"version"`
	// Document is the configuration in the operators' encoding, compressed. Equal
	// configurations have equal documents, so that resends are recognized.
	Document []byte `json:"document"`
}

// Settles returns the result of a later command, and whether it is settled: while c, or one of a higher version, is in force, another
// with its version or a lower one never comes into force. A nil c settles none.
func (c *Configure) Settles(later Configure) (result Result, settled bool) {
	switch {
	case c == nil || later.Version > c.Version:
		return 0, false
	case later.Version < c.Version:
		return Overtaken, true
	case slices.Equal(later.Document, c.Document):
		return Repeated, true
	}
	return Conflict, true
}

// Result is the result of a command.
type Result uint8

// Results of a command.
const (
	// Accepted means that the command was applied.
	Accepted Result = iota + 1
	// Repeated means that the same configuration is already in force.
	Repeated
	// Overtaken means that a configuration of a higher version is in force.
	Overtaken
	// Conflict means that a configuration of the same version but with other content is
	// in force.
	Conflict
)

var resultNames = [...]string{"undecided", "accepted", "repeated", "overtaken", "conflict"}

// String returns the result's name for logs and metrics: "undecided" for the zero value,
// which no command results in, and for unknown values.
func (r Result) String() string {
	if int(r) >= len(resultNames) {
		r = 0
	}
	return resultNames[r]
}

// State is the replicated state. Only the owner of the log may change it.
type State struct {
	// Version and Document are those of the configuration in force. Document is nil
	// before the first one.
	Version  uint64 `json:"version"`
	Document []byte `json:"document,omitempty"`
	// Members holds the members by ID.
	Members map[uint64]Member `json:"members"`
	// Orderer is the zero value before the first SetOrderer command.
	Orderer Orderer `json:"orderer"`
	// Quarantine identifies the calls that entry nodes refuse because they crash upstreams, and
	// Evidence is what speaks against others. A new leader, and all nodes after a restart,
	// go on with them.
	Quarantine []quarantine.Signature `json:"quarantine,omitempty"`
	Evidence   []quarantine.Evidence  `json:"evidence,omitempty"`
	// Streams tells at which software version streams began.
	Streams *origin.Table `json:"streams"`
	// Departures holds the latest departures, by the ID of the upstream. Nothing else in the state
	// depends on them, so that a member which lacks some does not part from the others.
	Departures map[string]Departure `json:"departures,omitempty"`
}

// New returns the state of a new control group with its first members.
func New(founders ...Member) *State {
	s := &State{Members: map[uint64]Member{}, Streams: origin.NewTable(), Departures: map[string]Departure{}}
	for _, m := range founders {
		s.Members[m.ID] = m
	}
	return s
}

// Apply applies the command at a log index.
func (s *State) Apply(index uint64, c Command) Result {
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Join != nil:
		s.join(*c.Join)
	case c.Retire != nil:
		delete(s.Members, *c.Retire)
	case c.SetOrderer != nil:
		s.Orderer = Orderer{Node: *c.SetOrderer, Fence: index}
	case c.Quarantine != nil:
		s.Quarantine = *c.Quarantine
	case c.Evidence != nil:
		s.Evidence = *c.Evidence
	case c.Streams != nil:
		s.Streams.Apply(c.Streams)
	case c.Depart != nil:
		s.depart(index, *c.Depart)
	}
	return Accepted
}

// configure puts the configuration in force if its version is higher than that in force, or
// if none is in force.
func (s *State) configure(c *Configure) Result {
	if s.Document != nil {
		inForce := Configure{Version: s.Version, Document: s.Document}
		if result, settled := inForce.Settles(*c); settled {
			return result
		}
	}
	s.Version, s.Document = c.Version, c.Document
	return Accepted
}

// join adds or replaces a member and removes members with other IDs at the same address.
// Their disks are lost: a member with its disk keeps its ID.
func (s *State) join(m Member) {
	maps.DeleteFunc(s.Members, func(id uint64, other Member) bool { return other.Link == m.Link && id != m.ID })
	s.Members[m.ID] = m
}

// Marshal encodes the state as JSON.
func (s *State) Marshal() ([]byte, error) { return json.Marshal(s) }

// Unmarshal decodes a state that Marshal returned.
func Unmarshal(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decode replicated state")
	}
	if s.Streams == nil {
		s.Streams = origin.NewTable()
	}
	return s, nil
}
