package contract

import (
	"fmt"
	"strings"

	"github.com/agateslip/agateslip/internal/yamlcheck"
)

// Defaults of optional fields.
const (
	// DefaultReplicas is Model.Replicas if unset.
	DefaultReplicas = 1
	// DefaultSlots is Model.Slots if unset.
	DefaultSlots = 8
)

// Decode decodes a contract from YAML, sets defaults and validates it. The error is a
// yamlcheck.Problems, which lists each problem with file, line, field and rule. Rules
// between fields are checked only if every field is valid by itself.
func Decode(file string, data []byte) (Contract, error) {
	var c Contract
	if err := yamlcheck.Decode(file, data, &c, nil); err != nil {
		return Contract{}, err
	}
	c.fillDefaults()
	if err := yamlcheck.Check(file, data, &c, crossFieldFaults); err != nil {
		return Contract{}, err
	}
	return c, nil
}

// Validate validates a contract that was not decoded from YAML. The error is a
// yamlcheck.Problems, which lists each problem with field and rule; the customer's name
// takes the place of the file.
func (c Contract) Validate() error {
	return yamlcheck.Check(c.Customer, nil, &c, crossFieldFaults)
}

// fillDefaults sets the unset optional fields of models.
func (c *Contract) fillDefaults() {
	for i := range c.Models {
		m := &c.Models[i]
		if m.Replicas == 0 {
			m.Replicas = DefaultReplicas
		}
		if m.Slots == 0 {
			m.Slots = DefaultSlots
		}
	}
}

// crossFieldFaults returns the violations of rules that involve several fields.
func crossFieldFaults(c *Contract) []yamlcheck.Fault {
	var faults []yamlcheck.Fault
	addFault := func(field, rule string) { faults = append(faults, yamlcheck.Fault{Field: field, Rule: rule}) }
	if len(c.Models) == 0 && len(c.Services) == 0 {
		addFault("models", "a contract needs at least one model or service")
	}
	if len(c.Models) > 0 && c.Capacity.Replicas == 0 {
		addFault("capacity.replicas", "must be at least 1 where the contract has models")
	}
	checkKeys(c, addFault)
	checkModels(c, addFault)
	checkServices(c, addFault)
	return faults
}

// checkKeys requires unique key IDs and hashes.
func checkKeys(c *Contract, addFault func(field, rule string)) {
	ids := map[string]bool{}
	hashes := map[string]bool{}
	for i, k := range c.Keys {
		if ids[k.ID] {
			addFault(fmt.Sprintf("keys[%d].id", i), "is used by an earlier key")
		}
		if hashes[k.SHA256] {
			addFault(fmt.Sprintf("keys[%d].sha256", i), "is used by an earlier key")
		}
		ids[k.ID] = true
		hashes[k.SHA256] = true
	}
}

// checkModels requires unique model and adapter names, and replica numbers within the
// limits of the model and of the customer.
func checkModels(c *Contract, addFault func(field, rule string)) {
	names := map[string]bool{}
	reserved := 0
	for i, m := range c.Models {
		path := fmt.Sprintf("models[%d]", i)
		if names[m.Name] {
			addFault(path+".name", "is used by an earlier model or adapter")
		}
		names[m.Name] = true
		for j, a := range m.Adapters {
			if names[a] {
				addFault(fmt.Sprintf("%s.adapters[%d]", path, j), "is used by an earlier model or adapter")
			}
			names[a] = true
		}
		if m.Replicas > c.Capacity.Replicas {
			addFault(path+".replicas", fmt.Sprintf("must be at most capacity.replicas, %d", c.Capacity.Replicas))
		}
		if m.Reserved > m.Replicas {
			addFault(path+".reserved", fmt.Sprintf("must be at most the model's replicas, %d", m.Replicas))
		}
		reserved += m.Reserved
	}
	if reserved > c.Capacity.Replicas {
		addFault("models", fmt.Sprintf("reserve %d replicas, more than capacity.replicas, %d", reserved, c.Capacity.Replicas))
	}
}

// checkServices requires unique service names and routes with plain paths.
func checkServices(c *Contract, addFault func(field, rule string)) {
	names := map[string]bool{}
	for i, s := range c.Services {
		path := fmt.Sprintf("services[%d]", i)
		if names[s.Name] {
			addFault(path+".name", "is used by an earlier service")
		}
		names[s.Name] = true
		for j, r := range s.NotRepeatable {
			if strings.Contains(r.Path, "..") || strings.ContainsAny(r.Path, "?#%") {
				addFault(fmt.Sprintf("%s.notRepeatable[%d].path", path, j), "must be a plain path without .., ?, # or %")
			}
		}
	}
}
