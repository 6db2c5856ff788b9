package routes

import (
	"math"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestTenantsAreChecked(t *testing.T) {
	key := DigestKey("secret")
	cases := map[string][]Tenant{
		"a key of two":   {{Name: "a", Keys: []KeyDigest{key}}, {Name: "b", Keys: []KeyDigest{DigestKey("other"), key}}},
		"same name":      {{Name: "a"}, {Name: "a"}},
		"no name":        {{Keys: []KeyDigest{key}}},
		"negative quota": {{Name: "a", Quota: &Quota{Unit: QuotaCalls, PerSecond: -1}}},
		"endless quota":  {{Name: "a", Quota: &Quota{Unit: QuotaTokens, PerSecond: 1, Burst: math.Inf(1)}}},
		"unknown unit":   {{Name: "a", Quota: &Quota{PerSecond: 1}}},
	}
	for name, tenants := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := (&Configuration{Keyed: true, Tenants: tenants}).Check()
			is.True(errors.Is(err, ErrInvalid))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
	is := is.New(t)
	is.NoErr((&Configuration{Keyed: true, Tenants: []Tenant{{Name: "a", Keys: []KeyDigest{key, key}}, {Name: "b"}}}).Check())
}

// TestTenantsPrecedeRoutes checks that the priority of a tenant goes before that of any route, and that routes order
// the calls of tenants of one priority.
func TestTenantsPrecedeRoutes(t *testing.T) {
	is := is.New(t)
	priority := func(p int) *int { return &p }
	urgent, normal, unstated := &Tenant{Priority: priority(1)}, &Tenant{Priority: priority(2)}, &Tenant{}
	first, second, last := &Route{Priority: 0}, &Route{Priority: 1}, &Route{Priority: math.MaxInt}
	ascending := []struct {
		tenant *Tenant
		route  *Route
	}{{nil, first}, {nil, second}, {unstated, last}, {urgent, first}, {urgent, second}, {urgent, last}, {normal, first}, {normal, last}}
	table := NewTable(&Configuration{Keyed: true, Tenants: []Tenant{*urgent, *normal, *unstated}, Routes: []Route{*first, *second, *last}})
	for i, a := range ascending[:len(ascending)-1] {
		b := ascending[i+1]
		is.True(Priority(a.tenant, a.route) < Priority(b.tenant, b.route))
		rank, ranks := table.Rank(a.tenant, a.route)
		next, _ := table.Rank(b.tenant, b.route)
		is.True(rank < next && next < ranks)
	}
	is.Equal(Priority(nil, &Route{Priority: 7}), 7) // as without tenants
	is.Equal(Priority(unstated, second), Priority(nil, second))
}
