package quarantine

import (
	"cmp"
	"slices"
	"strings"

	"github.com/agateslip/agateslip/fleet"
)

// Trait identifies what calls for a service can have in common.
type Trait struct {
	Service string `json:"s"`
	ID      string `json:"p"`
}

// requestPrefix begins the IDs of requests. IDs of parts of prompts contain no colon.
const requestPrefix = "request:"

// RequestID returns the ID of the trait that all repeats of a request have, and no other call.
func RequestID(fingerprint string) string { return requestPrefix + fingerprint }

// IsRequest reports whether an ID is that of a request.
func IsRequest(id string) bool { return strings.HasPrefix(id, requestPrefix) }

func compareTrait(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}

// Signature identifies the calls for a service that have all of the given traits. Traits is
// sorted and not empty.
type Signature struct {
	Service string   `json:"s"`
	Traits  []string `json:"p"`
	// Trials is the number of calls that were allowed since the quarantine began, to find out
	// whether they still crash upstreams.
	Trials int `json:"t,omitempty"`
}

// Matches reports whether a call for a service has all traits of the signature.
func (s *Signature) Matches(service string, traits []string) bool {
	if s.Service != service {
		return false
	}
	return !slices.ContainsFunc(s.Traits, func(id string) bool { return !slices.Contains(traits, id) })
}

// equal reports whether two signatures are the same.
func (s Signature) equal(o Signature) bool {
	return s.Service == o.Service && s.Trials == o.Trials && slices.Equal(s.Traits, o.Traits)
}

// Equal reports whether two lists hold the same signatures in the same order.
func Equal(a, b []Signature) bool {
	return slices.EqualFunc(a, b, func(x, y Signature) bool { return x.equal(y) })
}

// Key returns a string that identifies the calls, whatever the trials.
func (s *Signature) Key() string { return s.Service + "\x00" + strings.Join(s.Traits, "\x00") }

// Loss is a call that was lost with its upstream.
type Loss struct {
	Engine  fleet.Incarnation `json:"e"`
	Service string            `json:"s"`
	Traits  []string          `json:"p"`
	// Late is set if the node learned only after the attempt that the upstream had ended. Further calls may
	// have been sent until then.
	Late bool `json:"l,omitempty"`
}

// Evidence is what a detector knows against a trait. It outlasts the detector's leader.
type Evidence struct {
	Trait   Trait               `json:"t"`
	Crashes []fleet.Incarnation `json:"c"`
	// Companions are the parts of prompts that were present each time, sorted.
	Companions []string `json:"w,omitempty"`
}

// EqualEvidence reports whether two lists hold the same evidence in the same order.
func EqualEvidence(a, b []Evidence) bool {
	return slices.EqualFunc(a, b, func(x, y Evidence) bool {
		return x.Trait == y.Trait && slices.Equal(x.Crashes, y.Crashes) && slices.Equal(x.Companions, y.Companions)
	})
}

func compareEngine(a, b fleet.Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}
