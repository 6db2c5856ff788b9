package control

import (
	"fmt"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/placement"
	"github.com/cockroachdb/errors"
)

// ErrNoContract refuses a grant for a model that the customer's contract does not name
// as a model of its own; adapters get no grants.
var ErrNoContract = errors.New("no contract names the model")

// ErrGrantTooSmall refuses a grant that is charged less memory than the contract states
// for the model.
var ErrGrantTooSmall = errors.New("the model needs more memory than the grant is charged")

// GrantResult is the result of one change to the grant ledger.
type GrantResult struct {
	// Grant is the grant that the change added or altered.
	Grant placement.Grant `json:"grant"`
	// Refused is the reason for a refusal; it is empty if the change was applied.
	Refused string `json:"refused,omitempty"`
}

// applyGrantChanges applies each change that the contracts in force and the upstream's
// memory allow. The check happens here so that a planner that worked from an older state
// cannot over-commit memory.
func (s *State) applyGrantChanges(changes []placement.Change) []GrantResult {
	results := make([]GrantResult, len(changes))
	for i, c := range changes {
		grant, err := s.applyGrantChange(c)
		results[i].Grant = grant
		if err != nil {
			results[i].Refused = err.Error()
		}
	}
	return results
}

// applyGrantChange checks an added grant against the customer's contract and applies the
// change to the grant ledger.
func (s *State) applyGrantChange(c placement.Change) (placement.Grant, error) {
	var limits placement.Limits
	if c.Kind == placement.Add {
		v, ok := s.contracts[c.Grant.Customer]
		target, named := v.Contract.Target(c.Grant.Model)
		if !ok || !named || target.Adapter != "" {
			return placement.Grant{}, ErrNoContract
		}
		if c.Grant.Memory < int64(target.Model.Memory) {
			return placement.Grant{}, ErrGrantTooSmall
		}
		limits = placement.Limits{Model: target.Model.Replicas, Customer: v.Contract.Capacity.Replicas}
	}
	return s.grants.Apply(c, limits)
}

// Grants returns a copy of the grant ledger.
func (s *State) Grants() placement.Ledger { return s.grants.Clone() }

// findModelClash describes the first model of c that another customer's contract defines
// with a different memory size or as an adapter, or returns "" if there is none. Models
// with the same name in several contracts are the same model.
func (s *State) findModelClash(c contract.Contract) string {
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
