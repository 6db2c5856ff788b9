// Package confstate is the replicated state of a managed deployment: the
// configuration in force, where the members of the control group are, and who
// may send orders to upstreams. It is changed by the commands of a replicated
// log only, in the same way on every member.
//
// Load pattern: whole configurations in quick succession, from several operators
// at once, each sent again after a lost answer.
package confstate

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Member is where a member of the control group runs.
type Member struct {
	// ID is the member's identity in the log; a lost disk ends it.
	ID uint64 `json:"id"`
	// Node is the name of its machine.
	Node string `json:"node"`
	// Link is the address for other nodes, Operators the one for operators and
	// upstreams, both as host:port.
	Link      string `json:"link"`
	Operators string `json:"operators"`
}

// Orderer is the member that may send orders to upstreams.
type Orderer struct {
	// Node is the machine; upstreams know it as the holder.
	Node string `json:"node"`
	// Fence grows with each orderer and is never used by two.
	Fence uint64 `json:"fence"`
}

// Command is one entry of the log. One field is set.
type Command struct {
	Configure *Configure `json:"configure,omitempty"`
	Join      *Member    `json:"join,omitempty"`
	// Retire takes a member off for good.
	Retire *uint64 `json:"retire,omitempty"`
	// Order makes a node the one that sends orders.
	Order *string `json:"order,omitempty"`
}

// Configure puts a configuration in force unless a higher version is.
type Configure struct {
	Version uint64 `json:"version"`
	// Document is the configuration in the operators' encoding, compressed. Equal
	// configurations have equal documents.
	Document []byte `json:"document"`
}

// Result says what became of a command.
type Result uint8

// Results of a command.
const (
	// Accepted commands are in force.
	Accepted Result = iota + 1
	// Repeated configurations are in force already.
	Repeated
	// Overtaken configurations have a lower version than the one in force and
	// changed nothing.
	Overtaken
	// Conflict means that the version in force has other content.
	Conflict
)

var resultNames = [...]string{"undecided", "accepted", "repeated", "overtaken", "conflict"}

// String names the result for logs and metrics. The zero value is no decision.
func (r Result) String() string {
	if int(r) >= len(resultNames) {
		r = 0
	}
	return resultNames[r]
}

// State is the replicated state. Only the log's owner changes it.
type State struct {
	Version  uint64            `json:"version"`
	Document []byte            `json:"document,omitempty"`
	Members  map[uint64]Member `json:"members"`
	Orderer  Orderer           `json:"orderer"`
}

// New returns the state of a new group.
func New(founders ...Member) *State {
	s := &State{Members: map[uint64]Member{}}
	for _, m := range founders {
		s.Members[m.ID] = m
	}
	return s
}

// Apply carries out the command at an index of the log.
func (s *State) Apply(index uint64, c Command) Result {
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Join != nil:
		s.join(*c.Join)
	case c.Retire != nil:
		delete(s.Members, *c.Retire)
	case c.Order != nil:
		s.Orderer = Orderer{Node: *c.Order, Fence: index}
	}
	return Accepted
}

func (s *State) configure(c *Configure) Result {
	switch {
	case c.Version < s.Version:
		return Overtaken
	case c.Version == s.Version && s.Document != nil:
		if slices.Equal(c.Document, s.Document) {
			return Repeated
		}
		return Conflict
	}
	s.Version, s.Document = c.Version, c.Document
	return Accepted
}

// join also forgets members that ran at the same address before: their disks are
// gone, or the newcomer would not be one.
func (s *State) join(m Member) {
	maps.DeleteFunc(s.Members, func(id uint64, o Member) bool { return o.Link == m.Link && id != m.ID })
	s.Members[m.ID] = m
}

// Marshal encodes the state.
func (s *State) Marshal() ([]byte, error) { return json.Marshal(s) }

// Unmarshal decodes what Marshal returned.
func Unmarshal(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decode replicated state")
	}
	return s, nil
}
