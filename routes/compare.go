package routes

import (
	"cmp"
	"fmt"
	"slices"
)

// Change is a field that differs between two configurations. From or To is empty where one of them lacks the field.
type Change struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String formats the change for operators.
func (c Change) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("%s: added, %s", c.Field, c.To)
	case c.To == "":
		return fmt.Sprintf("%s: removed, was %s", c.Field, c.From)
	}
	return fmt.Sprintf("%s: %s, was %s", c.Field, c.To, c.From)
}

// Compare returns what differs in next from the configuration in force, sorted by field. It names no key.
func Compare(inForce, next *Configuration) []Change {
	before, after := inForce.fields(), next.fields()
	var changes []Change
	for field, from := range before {
		if to := after[field]; to != from {
			changes = append(changes, Change{field, from, to})
		}
	}
	for field, to := range after {
		if _, ok := before[field]; !ok {
			changes = append(changes, Change{Field: field, To: to})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Field, b.Field) })
	return changes
}

// fields returns the values of all fields by their paths.
func (c *Configuration) fields() map[string]string {
	out := map[string]string{}
	set := func(field string, value any) { out[field] = fmt.Sprint(value) }
	set("version", c.Version)
	set("limits.headerBytes", c.Limits.HeaderBytes)
	set("limits.bodyBytes", c.Limits.BodyBytes)
	set("limits.headerTime", c.Limits.HeaderTime)
	set("limits.idleTime", c.Limits.IdleTime)
	set("tenants", c.Keyed)
	for i := range c.Routes {
		c.Routes[i].setFields(set)
	}
	for i := range c.Services {
		c.Services[i].setFields(set)
	}
	for i := range c.Tenants {
		c.Tenants[i].setFields(set)
	}
	return out
}

func (r *Route) setFields(set func(string, any)) {
	field := "routes." + r.Name
	set(field, r.Host+r.Prefix)
	set(field+".kind", r.Kind)
	set(field+".timeout", r.Timeout)
	set(field+".target", r.Target)
	set(field+".pauseTarget", r.PauseTarget)
	set(field+".priority", r.Priority)
	set(field+".attempts", r.Attempts)
	set(field+".affinity", r.Affinity)
	set(field+".resumable", r.Resumable)
	set(field+".public", r.Public)
	for _, b := range r.Backends {
		set(field+".weight."+b.Service, b.Weight)
	}
}

func (s *Service) setFields(set func(string, any)) {
	field := "services." + s.Name
	set(field, "health at "+s.HealthPath)
	set(field+".connections", s.Connections)
	e := s.Engine
	if e == nil {
		return
	}
	set(field+".slots", e.Slots)
	set(field+".cacheTokens", e.CacheTokens)
	set(field+".weightsMB", e.WeightsMB)
	set(field+".adapterPlaces", e.AdapterPlaces)
	set(field+".storeLoadsPerSecond", e.StoreLoadsPerSecond)
	set(field+".hostMB", e.HostMB)
	set(field+".diskMB", e.DiskMB)
	for _, m := range e.Models {
		set(field+".models."+m.Name, fmt.Sprintf("%g MB, loaded in %v, %d adapters of %g MB", m.SizeMB, m.StoreLoad, m.Adapters, m.AdapterMB))
	}
}

// setFields sets the number of keys, and one field a key, named by the start of its digest, so that an exchanged key
// shows as one.
func (t *Tenant) setFields(set func(string, any)) {
	field := "tenants." + t.Name
	set(field, fmt.Sprintf("%d keys", len(t.Keys)))
	for _, key := range t.Keys {
		set(fmt.Sprintf("%s.keys.%x", field, key[:4]), "valid")
	}
	if t.Priority != nil {
		set(field+".priority", *t.Priority)
	}
	if q := t.Quota; q != nil {
		set(field+".quota", fmt.Sprintf("%g %v a second, burst %g, calls that state no tokens %g", q.PerSecond, q.Unit, q.Burst, q.UnstatedCost))
	}
}
