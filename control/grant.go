package control

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/agateslip/agateslip/contract"
)

// Grant is the decision that one upstream holds one replica of a model. It is
// charged against the model's replicas and the upstream's memory until it ends.
type Grant struct {
	// ID identifies the grant and is its fencing number. IDs only grow.
	ID uint64 `cbor:"1,keyasint" json:"id"`
	// Model is the granted model.
	Model string `cbor:"2,keyasint" json:"model"`
	// Upstream and Incarnation name the process that holds the grant.
	Upstream    string `cbor:"3,keyasint" json:"upstream"`
	Incarnation uint64 `cbor:"4,keyasint" json:"incarnation"`
	// Memory is the accelerator memory charged, in bytes.
	Memory int64 `cbor:"5,keyasint" json:"memory"`
	// Customer is the customer whose contract asked for the replica first.
	Customer string `cbor:"6,keyasint" json:"customer"`
}

// NewGrant asks for a grant. Its ID follows from the log.
type NewGrant struct {
	Grant Grant `cbor:"1,keyasint"`
	// UpstreamMemory is the accelerator memory that the upstream announced, in
	// bytes.
	UpstreamMemory int64 `cbor:"2,keyasint"`
}

// AddGrants asks for grants. Each is checked by itself.
type AddGrants struct {
	Grants []NewGrant `cbor:"1,keyasint"`
}

// EndGrants ends grants whose replica is gone.
type EndGrants struct {
	IDs []uint64 `cbor:"1,keyasint"`
	// Reason says how it is known that the replicas are gone.
	Reason string `cbor:"2,keyasint"`
}

// GrantResult answers one NewGrant.
type GrantResult struct {
	// Grant carries its ID if it was accepted.
	Grant Grant `json:"grant"`
	// Refused says which bound the grant would break; empty if accepted.
	Refused string `json:"refused,omitempty"`
}

// maxGrantsPerEntry bounds the grants of one log entry, so that a grant's ID
// follows from the entry's index.
const maxGrantsPerEntry = 1024

// addGrants checks every grant against the contracts in force and the memory
// that exists. A planner that worked from an older state cannot over-commit.
func (s *State) addGrants(index uint64, cmd AddGrants) []GrantResult {
	results := make([]GrantResult, len(cmd.Grants))
	for i, ng := range cmd.Grants {
		results[i].Grant = ng.Grant
		refused := s.grantFault(ng)
		if i >= maxGrantsPerEntry {
			refused = fmt.Sprintf("more than %d grants in one entry", maxGrantsPerEntry)
		}
		if refused != "" {
			results[i].Refused = refused
			continue
		}
		g := ng.Grant
		g.ID = index*maxGrantsPerEntry + uint64(i)
		s.grants[g.ID] = g
		results[i].Grant = g
	}
	return results
}

func (s *State) grantFault(ng NewGrant) string {
	replicas, used := 0, int64(0)
	for _, g := range s.grants {
		if g.Model == ng.Grant.Model {
			replicas++
		}
		if g.Upstream == ng.Grant.Upstream && g.Incarnation == ng.Grant.Incarnation {
			used += g.Memory
		}
	}
	bound, memory := s.modelBound(ng.Grant.Model)
	switch {
	case bound == 0:
		return "no contract names the model"
	case replicas >= bound:
		return fmt.Sprintf("the contracts allow %d replicas of the model", bound)
	case ng.Grant.Memory < memory:
		return fmt.Sprintf("the model needs %d bytes of memory", memory)
	case used+ng.Grant.Memory > ng.UpstreamMemory:
		return fmt.Sprintf("the upstream has %d bytes of memory left", ng.UpstreamMemory-used)
	}
	return ""
}

// modelBound is how many replicas the contracts allow together, and the memory
// of one.
func (s *State) modelBound(model string) (replicas int, memory int64) {
	for _, v := range s.contracts {
		for _, m := range v.Contract.Models {
			if m.Name == model {
				replicas += m.Replicas
				memory = max(memory, int64(m.Memory))
			}
		}
	}
	return replicas, memory
}

func (s *State) endGrants(cmd EndGrants) int {
	ended := 0
	for _, id := range cmd.IDs {
		if _, ok := s.grants[id]; ok {
			delete(s.grants, id)
			ended++
		}
	}
	return ended
}

// Grants lists the grants in force, by ID.
func (s *State) Grants() []Grant {
	grants := make([]Grant, 0, len(s.grants))
	for _, g := range s.grants {
		grants = append(grants, g)
	}
	slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.ID, b.ID) })
	return grants
}

// memoryConflict finds a model whose memory differs from another contract's.
func (s *State) memoryConflict(c contract.Contract) string {
	for _, m := range c.Models {
		for _, v := range s.Contracts() {
			if v.Contract.Customer == c.Customer {
				continue
			}
			other, ok := v.Contract.Target(m.Name)
			if ok && other.Adapter == "" && other.Model.Memory != m.Memory {
				return fmt.Sprintf("model %s has memory %v in the contract of %s", m.Name, other.Model.Memory, v.Contract.Customer)
			}
			if ok && other.Adapter != "" {
				return fmt.Sprintf("model %s is an adapter in the contract of %s", m.Name, v.Contract.Customer)
			}
		}
	}
	return ""
}
