package contract

import (
	"slices"
	"strings"
)

// Target is what a call of a model name leads to.
type Target struct {
	// Model is the model that serves the call.
	Model Model
	// Adapter is the adapter the call names, or empty.
	Adapter string
}

// Target finds the model or adapter that callers address by name.
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

// Service finds a plain service by name.
func (c Contract) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// RunsOnce says whether a call of the service may run at most once. path is
// the path below the service's prefix.
func (s Service) RunsOnce(method, path string) bool {
	for _, r := range s.NotRepeatable {
		if r.matches(method, path) {
			return true
		}
	}
	return false
}

func (r Route) matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(path, r.Path) || path == strings.TrimSuffix(r.Path, "/")
	}
	return path == r.Path || path == r.Path+"/"
}
