package control

import (
	"fmt"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/placement"
	"github.com/cockroachdb/errors"
)

// ErrNoContract refuses a grant that no contract asks for.
var ErrNoContract = errors.New("no contract names the model")

// ErrTooSmall refuses a grant that is charged less memory than the contract
// states for the model.
var ErrTooSmall = errors.New("the model needs more memory than the grant is charged")

// GrantResult answers one change of the grants.
type GrantResult struct {
	// Grant is the grant that was added or altered.
	Grant placement.Grant `json:"grant"`
	// Refused says which bound the change would break; empty if applied.
	Refused string `json:"refused,omitempty"`
}

// changeGrants checks every change against the contracts in force and the
// memory that exists, so that a planner that worked from an older state cannot
// over-commit.
func (s *State) changeGrants(changes []placement.Change) []GrantResult {
	results := make([]GrantResult, len(changes))
	for i, c := range changes {
		grant, err := s.changeGrant(c)
		results[i].Grant = grant
		if err != nil {
			results[i].Refused = err.Error()
		}
	}
	return results
}

func (s *State) changeGrant(c placement.Change) (placement.Grant, error) {
	var limits placement.Limits
	if c.Kind == placement.Add {
		v, ok := s.contracts[c.Grant.Customer]
		target, named := v.Contract.Target(c.Grant.Model)
		if !ok || !named || target.Adapter != "" {
			return placement.Grant{}, ErrNoContract
		}
		if c.Grant.Memory < int64(target.Model.Memory) {
			return placement.Grant{}, ErrTooSmall
		}
		limits = placement.Limits{Model: target.Model.Replicas, Customer: v.Contract.Capacity.Replicas}
	}
	return s.grants.Apply(c, limits)
}

// Grants returns a copy of the ledger of grants.
func (s *State) Grants() placement.Ledger { return s.grants.Clone() }

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
