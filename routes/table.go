package routes

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds routes and services of one configuration.
type Table struct {
	conf     *Configuration
	byHost   map[string]map[string]*Route
	services map[string]*Service
}

// NewTable indexes a configuration that Check accepts.
func NewTable(c *Configuration) *Table {
	t := &Table{conf: c, byHost: map[string]map[string]*Route{}, services: map[string]*Service{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*Route{}
		}
		t.byHost[host][r.Prefix] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Configuration is what the table was built from.
func (t *Table) Configuration() *Configuration { return t.conf }

// Match finds the route of a host with the longest prefix that begins the path;
// nil when there is none. The cost follows the path's depth, not the number of
// routes.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := t.byHost[host]
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service finds a service by name; nil when there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Backend chooses the service of a call by the hash of its id, so that the
// shares of a route's backends follow their weights.
func (r *Route) Backend(id string) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	const steps = 1 << 20
	point := float64(xxhash.Sum64String(id)%steps) / steps * total
	for _, b := range r.Backends {
		if point -= b.Weight; point < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
