package contract

import (
	"fmt"
	"strings"

	"github.com/agateslip/agateslip/internal/yamlcheck"
)

// Defaults of optional fields.
const (
	// DefaultReplicas bounds the replicas of a model that names no bound.
	DefaultReplicas = 1
	// DefaultSlots is how many requests a replica runs at once if unset.
	DefaultSlots = 8
)

// Decode reads one contract from YAML, fills defaults and checks it. The error
// lists every problem with file, line, field and rule.
func Decode(file string, data []byte) (Contract, error) {
	var c Contract
	if err := yamlcheck.Decode(file, data, &c, nil); err != nil {
		return Contract{}, err
	}
	c.fillDefaults()
	if err := yamlcheck.Check(file, data, &c, crossFaults); err != nil {
		return Contract{}, err
	}
	return c, nil
}

// Validate checks a contract that did not come from YAML. The error lists every
// problem with field and rule.
func (c Contract) Validate() error {
	return yamlcheck.Check(c.Customer, nil, &c, crossFaults)
}

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

// crossFaults checks rules between fields.
func crossFaults(c *Contract) []yamlcheck.Fault {
	var faults []yamlcheck.Fault
	add := func(field, rule string) { faults = append(faults, yamlcheck.Fault{Field: field, Rule: rule}) }
	if len(c.Models) == 0 && len(c.Services) == 0 {
		add("models", "a contract needs at least one model or service")
	}
	if len(c.Models) > 0 && c.Capacity.Replicas == 0 {
		add("capacity.replicas", "must be at least 1 where the contract has models")
	}
	checkKeys(c, add)
	checkModels(c, add)
	checkServices(c, add)
	return faults
}

func checkKeys(c *Contract, add func(field, rule string)) {
	ids := map[string]bool{}
	hashes := map[string]bool{}
	for i, k := range c.Keys {
		if ids[k.ID] {
			add(fmt.Sprintf("keys[%d].id", i), "is used by an earlier key")
		}
		if hashes[k.SHA256] {
			add(fmt.Sprintf("keys[%d].sha256", i), "is used by an earlier key")
		}
		ids[k.ID] = true
		hashes[k.SHA256] = true
	}
}

func checkModels(c *Contract, add func(field, rule string)) {
	names := map[string]bool{}
	reserved := 0
	for i, m := range c.Models {
		path := fmt.Sprintf("models[%d]", i)
		if names[m.Name] {
			add(path+".name", "is used by an earlier model or adapter")
		}
		names[m.Name] = true
		for j, a := range m.Adapters {
			if names[a] {
				add(fmt.Sprintf("%s.adapters[%d]", path, j), "is used by an earlier model or adapter")
			}
			names[a] = true
		}
		if m.Replicas > c.Capacity.Replicas {
			add(path+".replicas", fmt.Sprintf("must be at most capacity.replicas, %d", c.Capacity.Replicas))
		}
		if m.Reserved > m.Replicas {
			add(path+".reserved", fmt.Sprintf("must be at most the model's replicas, %d", m.Replicas))
		}
		reserved += m.Reserved
	}
	if reserved > c.Capacity.Replicas {
		add("models", fmt.Sprintf("reserve %d replicas, more than capacity.replicas, %d", reserved, c.Capacity.Replicas))
	}
}

func checkServices(c *Contract, add func(field, rule string)) {
	names := map[string]bool{}
	for i, s := range c.Services {
		path := fmt.Sprintf("services[%d]", i)
		if names[s.Name] {
			add(path+".name", "is used by an earlier service")
		}
		names[s.Name] = true
		for j, r := range s.NotRepeatable {
			if strings.Contains(r.Path, "..") || strings.ContainsAny(r.Path, "?#%") {
				add(fmt.Sprintf("%s.notRepeatable[%d].path", path, j), "must be a plain path without .., ?, # or %")
			}
		}
	}
}
