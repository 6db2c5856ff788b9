package routes

import (
	"fmt"
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
	return nil
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
