package routes

import (
	"fmt"
	"math"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the errors that Check returns.
var ErrInvalid = errors.New("configuration is invalid")

// Problem is one field of a configuration that violates a rule, or that has no effect.
type Problem struct {
	// Field is the path of the field with the names of routes, services and tenants, such as routes.r-1.timeout.
	Field string `json:"field"`
	// Rule states what is wrong with it.
	Rule string `json:"rule"`
}

// String formats the problem as "field: rule".
func (p Problem) String() string { return p.Field + ": " + p.Rule }

// problems collects problems.
type problems struct {
	list []Problem
	// most is how many are collected; zero means all.
	most int
}

func (ps *problems) add(field, rule string, args ...any) {
	if ps.most == 0 || len(ps.list) < ps.most {
		ps.list = append(ps.list, Problem{Field: field, Rule: fmt.Sprintf(rule, args...)})
	}
}

// Check returns an error marked ErrInvalid that names the first invalid field and the
// rule that it violates, or nil if the configuration is valid.
func (c *Configuration) Check() error {
	found := problems{most: 1}
	c.check(&found)
	if len(found.list) == 0 {
		return nil
	}
	return errors.Mark(errors.Newf("%s", found.list[0]), ErrInvalid)
}

// Problems returns every invalid field. No problem names a key.
func (c *Configuration) Problems() []Problem {
	var found problems
	c.check(&found)
	return found.list
}

func (c *Configuration) check(found *problems) {
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			found.add("services", "a service has no name")
		}
		services[s.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	routeByKey := map[hostPrefix]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.check(services, found)
		key := hostPrefix{strings.ToLower(r.Host), r.Prefix}
		if other, ok := routeByKey[key]; ok {
			found.add("routes."+r.Name, "host and prefix are those of route %s", other)
		}
		routeByKey[key] = r.Name
	}
	c.checkTenants(found)
}

func (r *Route) check(services map[string]bool, found *problems) {
	field := "routes." + r.Name
	if r.Host == "" {
		found.add(field+".host", "is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		found.add(field+".prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		found.add(field+".timeout", "is not positive")
	}
	if r.Kind == 0 {
		found.add(field+".kind", "is unknown")
	}
	if r.Attempts < 1 {
		found.add(field+".attempts", "is less than one")
	}
	total := 0.0
	for _, b := range r.Backends {
		if !services[b.Service] {
			found.add(field+".service", "no service is named %q", b.Service)
		}
		if b.Weight < 0 {
			found.add(field+".weight", "is negative")
		}
		total += b.Weight
	}
	if total <= 0 {
		found.add(field+".weight", "the weights add up to zero")
	}
}

func (c *Configuration) checkTenants(found *problems) {
	named, byKey := map[string]bool{}, map[KeyDigest]string{}
	for i := range c.Tenants {
		t := &c.Tenants[i]
		field := "tenants." + t.Name
		if t.Name == "" {
			found.add("tenants", "a tenant has no name")
		}
		if named[t.Name] {
			found.add(field+".name", "another tenant has the same name")
		}
		if t.Quota != nil && !t.Quota.valid() {
			found.add(field+".quota", "has an unknown unit, or is negative or no number")
		}
		named[t.Name] = true
		for _, key := range t.Keys {
			if other, ok := byKey[key]; ok && other != t.Name {
				found.add(field+".keys", "a key is also one of tenant %s", other)
			}
			byKey[key] = t.Name
		}
	}
}

// valid reports whether the numbers of a quota can be those of a token bucket.
func (q *Quota) valid() bool {
	for _, n := range []float64{q.PerSecond, q.Burst, q.UnstatedCost} {
		if !(n >= 0) || math.IsInf(n, 1) {
			return false
		}
	}
	return q.Unit != 0
}
