package routes

import (
	"fmt"
	"math"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the errors that Check returns.
var ErrInvalid = errors.New("configuration is invalid")

// Check returns an error marked ErrInvalid that names the first invalid field and the
// rule that it violates, or nil if the configuration is valid.
func (c *Configuration) Check() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			return invalid("services", "a service has no name")
		}
		services[s.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	routeByKey := map[hostPrefix]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		key := hostPrefix{strings.ToLower(r.Host), r.Prefix}
		if other, ok := routeByKey[key]; ok {
			return invalid("routes."+r.Name, "host and prefix are those of route %s", other)
		}
		routeByKey[key] = r.Name
	}
	return c.checkTenants()
}

// checkTenants checks the tenants. Its errors name no key.
func (c *Configuration) checkTenants() error {
	named, byKey := map[string]bool{}, map[KeyDigest]string{}
	for i := range c.Tenants {
		t := &c.Tenants[i]
		field := "tenants." + t.Name
		switch {
		case t.Name == "":
			return invalid("tenants", "a tenant has no name")
		case named[t.Name]:
			return invalid(field+".name", "another tenant has the same name")
		case t.Quota != nil && !t.Quota.valid():
			return invalid(field+".quota", "is negative or no number")
		}
		named[t.Name] = true
		for _, key := range t.Keys {
			if other, ok := byKey[key]; ok && other != t.Name {
				return invalid(field+".keys", "a key is also one of tenant %s", other)
			}
			byKey[key] = t.Name
		}
	}
	return nil
}

// valid reports whether the numbers of a quota can be those of a token bucket.
func (q *Quota) valid() bool {
	for _, n := range []float64{q.PerSecond, q.Burst, q.PlainTokens} {
		if !(n >= 0) || math.IsInf(n, 1) {
			return false
		}
	}
	return q.Unit != 0
}

func (r *Route) check(services map[string]bool) error {
	field := "routes." + r.Name
	switch {
	case r.Host == "":
		return invalid(field+".host", "is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid(field+".prefix", "%q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return invalid(field+".timeout", "is not positive")
	case r.Kind == 0:
		return invalid(field+".kind", "is unknown")
	case r.Attempts < 1:
		return invalid(field+".attempts", "is less than one")
	}
	total := 0.0
	for _, b := range r.Backends {
		if !services[b.Service] {
			return invalid(field+".service", "no service is named %q", b.Service)
		}
		if b.Weight < 0 {
			return invalid(field+".weight", "is negative")
		}
		total += b.Weight
	}
	if total <= 0 {
		return invalid(field+".weight", "the weights add up to zero")
	}
	return nil
}

func invalid(field, rule string, args ...any) error {
	return errors.Mark(errors.Newf("%s: %s", field, fmt.Sprintf(rule, args...)), ErrInvalid)
}
