package contract

import (
	"slices"
	"strings"
)

// Target is the model, and possibly the adapter, that a called model name stands for.
type Target struct {
	// Model is the model that serves the call.
	Model Model
	// Adapter is the called adapter of the model, or empty if the model itself is called.
	Adapter string
}

// Target returns the target of a model or adapter name, and whether the contract has it.
func (c Contract) Target(name string) (Target, bool) {
	for _, m := range c.Models {
		if m.Name == name {
			return Target{Model: m}, true
		}
		if slices.Contains(m.Adapters, name) {
			return Target{Model: m, Adapter: name}, true
		}
	}
	return Target{}, false
}

// Service returns the plain service with a name, and whether the contract has it.
func (c Contract) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// RunsAtMostOnce reports whether a call of the service must run at most once, because a
// route in NotRepeatable selects it. path is the path below the service's prefix.
func (s Service) RunsAtMostOnce(method, path string) bool {
	for _, r := range s.NotRepeatable {
		if r.matches(method, path) {
			return true
		}
	}
	return false
}

// matches reports whether the route selects a call. A trailing slash of path makes no
// difference.
func (r Route) matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(path, r.Path) || path == strings.TrimSuffix(r.Path, "/")
	}
	return path == r.Path || path == r.Path+"/"
}
