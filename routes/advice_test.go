package routes_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/routes"
)

func TestAllProblemsAreListed(t *testing.T) {
	is := is.New(t)
	c := newConfiguration(newRoute("one", "a", "/1/"), newRoute("two", "a", "/1/"))
	c.Routes[0].Timeout, c.Routes[1].Backends[0].Service = 0, "nobody"
	is.Equal(c.Problems(), []routes.Problem{
		{Field: "routes.one.timeout", Rule: "is not positive"},
		{Field: "routes.two.service", Rule: `no service is named "nobody"`},
		{Field: "routes.two", Rule: "host and prefix are those of route one"},
	})
}

func TestAdviceNamesWhatHasNoEffect(t *testing.T) {
	cases := map[string]struct {
		change func(c *routes.Configuration)
		field  string
	}{
		"host with a port":     {func(c *routes.Configuration) { c.Routes[0].Host = "a:80" }, "routes.one.host"},
		"escaped prefix":       {func(c *routes.Configuration) { c.Routes[0].Prefix = "/a%20b/" }, "routes.one.prefix"},
		"prefix with a query":  {func(c *routes.Configuration) { c.Routes[0].Prefix = "/a?b/" }, "routes.one.prefix"},
		"target after timeout": {func(c *routes.Configuration) { c.Routes[0].Target = time.Hour }, "routes.one.target"},
		"run once, attempts": {func(c *routes.Configuration) {
			c.Routes[0].Kind, c.Routes[0].Attempts = routes.RunOnce, 2
		}, "routes.one.attempts"},
		"unused service": {func(c *routes.Configuration) { c.Services = append(c.Services, routes.Service{Name: "x"}) }, "services.x"},
		"model too large": {func(c *routes.Configuration) {
			c.Services[0].Engine = &routes.Engine{WeightsMB: 1, Models: []routes.Model{{Name: "m", SizeMB: 2}}}
		}, "services.s.models.m.size"},
		"tenant without key": {func(c *routes.Configuration) { c.Keyed, c.Tenants = true, []routes.Tenant{{Name: "t"}} }, "tenants.t.keys"},
		"burst below one call": {func(c *routes.Configuration) {
			q := &routes.Quota{Unit: routes.QuotaTokens, PerSecond: 1, Burst: 1, UnstatedCost: 2}
			c.Keyed, c.Tenants = true, []routes.Tenant{{Name: "t", Keys: []routes.KeyDigest{{1}}, Quota: q}}
		}, "tenants.t.quota.burst"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newConfiguration(newRoute("one", "a", "/1/"))
			c.Services = c.Services[:1]
			is.Equal(len(c.Advice()), 0)
			test.change(c)
			is.NoErr(c.Check())
			advice := c.Advice()
			is.Equal(len(advice), 1)
			is.Equal(advice[0].Field, test.field)
		})
	}
}

func TestCompareNamesFieldsAndNoKey(t *testing.T) {
	is := is.New(t)
	before := newConfiguration(newRoute("one", "a", "/1/"), newRoute("two", "a", "/2/"))
	after := newConfiguration(newRoute("one", "a", "/1/"), newRoute("three", "a", "/3/"))
	after.Version, after.Routes[0].Timeout = 2, 2*time.Second
	after.Keyed, after.Tenants = true, []routes.Tenant{{Name: "t", Keys: []routes.KeyDigest{routes.DigestKey("hidden")}}}
	text := fmt.Sprint(routes.Compare(before, after))
	for _, want := range []string{
		"version: 2, was 1", "routes.one.timeout: 2s, was 1s", "routes.two: removed, was a/2/", "routes.three: added, a/3/", "tenants.t: added, 1 keys",
	} {
		is.True(strings.Contains(text, want))
	}
	is.True(!strings.Contains(text, "hidden"))
	is.Equal(len(routes.Compare(before, before)), 0)
}
