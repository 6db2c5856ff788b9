package routes_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/routes"
)

// TestWeightsOfTenants compares the rates of quotas in each unit by itself; tenants without one weigh 1.
func TestWeightsOfTenants(t *testing.T) {
	is := is.New(t)
	quota := func(unit routes.QuotaUnit, rate float64) *routes.Quota {
		return &routes.Quota{Unit: unit, PerSecond: rate}
	}
	table := routes.NewTable(&routes.Configuration{Tenants: []routes.Tenant{
		{Name: "large", Quota: quota(routes.QuotaTokens, 3000)}, {Name: "small", Quota: quota(routes.QuotaTokens, 1000)},
		{Name: "calls", Quota: quota(routes.QuotaCalls, 5)}, {Name: "free"}, {Name: "none", Quota: quota(routes.QuotaCalls, 0)},
	}})
	for name, want := range map[string]float64{"large": 1.5, "small": 0.5, "calls": 1, "free": 1, "none": 1} {
		is.Equal(table.Weight(&routes.Tenant{Name: name}), want)
	}
	is.Equal(table.Weight(nil), 1.0)
}
