package routes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/routes"
)

func newRoute(name, host, prefix string) routes.Route {
	return routes.Route{
		Name: name, Host: host, Prefix: prefix, Kind: routes.Repeatable, Attempts: 1,
		Timeout: time.Second, Backends: []routes.Backend{{Service: "s", Weight: 1}},
	}
}

func newConfiguration(rs ...routes.Route) *routes.Configuration {
	return &routes.Configuration{Version: 1, Routes: rs, Services: []routes.Service{{Name: "s"}, {Name: "t"}}}
}

func TestMatchLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := routes.NewTable(newConfiguration(
		newRoute("all", "a.example", "/"), newRoute("deep", "a.example", "/x/y/"), newRoute("other", "b.example", "/x/")))
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/y/": "deep", "/x/y": "all", "/": "all"} {
		is.Equal(table.Match("A.example:80", path).Name, want)
	}
	is.Equal(table.Match("b.example", "/y"), nil)
	is.Equal(table.Match("c.example", "/x/"), nil)
}

func TestCheckRejectsInvalid(t *testing.T) {
	cases := map[string]func(c *routes.Configuration){
		"unknown service":        func(c *routes.Configuration) { c.Routes[0].Backends[0].Service = "nobody" },
		"same host and prefix":   func(c *routes.Configuration) { c.Routes[1].Prefix = c.Routes[0].Prefix },
		"weights add to 0":       func(c *routes.Configuration) { c.Routes[0].Backends[0].Weight = 0 },
		"no timeout":             func(c *routes.Configuration) { c.Routes[1].Timeout = 0 },
		"no slash at prefix end": func(c *routes.Configuration) { c.Routes[0].Prefix = "/x" },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newConfiguration(newRoute("one", "a", "/1/"), newRoute("two", "a", "/2/"))
			is.NoErr(c.Check())
			invalidate(c)
			is.True(c.Check() != nil)
		})
	}
}

func TestBackendFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := newRoute("split", "a", "/")
	r.Backends = []routes.Backend{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}
	const calls = 10000
	count := map[string]int{}
	for i := range calls {
		count[r.Backend(fmt.Sprint("call-", i))]++
	}
	is.True(count["t"] > calls/20 && count["t"] < calls*3/20) // 0.5 to 1.5 times the expected tenth
}
