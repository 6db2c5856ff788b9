package routes

import (
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is an index of the routes and services of a configuration.
type Table struct {
	conf     *Configuration
	byHost   map[string]map[string]*Route
	services map[string]*Service
	// byKey holds the tenants by the digests of their keys.
	byKey map[KeyDigest]*Tenant
	ranks priorityRanks
	// weights holds the weights of tenants with a quota, by name.
	weights map[string]float64
}

// NewTable returns the index of a configuration. Check must accept the configuration.
func NewTable(c *Configuration) *Table {
	t := &Table{conf: c, byHost: map[string]map[string]*Route{}, services: map[string]*Service{}, byKey: map[KeyDigest]*Tenant{}, ranks: newPriorityRanks(c), weights: tenantWeights(c)}
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
	for i := range c.Tenants {
		for _, key := range c.Tenants[i].Keys {
			t.byKey[key] = &c.Tenants[i]
		}
	}
	return t
}

// Configuration returns the configuration that the table was built from.
func (t *Table) Configuration() *Configuration { return t.conf }

// Match returns the route of a host with the longest prefix of the path, or nil if there
// is none. It ignores case and port of the host. The cost depends on the depth of the
// path, not on the number of routes.
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

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Tenant returns the tenant that holds the key with the given digest, or nil if there is none.
func (t *Table) Tenant(key KeyDigest) *Tenant { return t.byKey[key] }

// Backend returns the name of the service for a call. It is chosen by the hash of the
// call's ID, so that the shares of the backends follow their weights.
func (r *Route) Backend(id string) string {
	total := r.totalWeight(1)
	scale := 1.0
	if math.IsInf(total, 1) {
		scale = 1 / float64(len(r.Backends))
		total = r.totalWeight(scale)
	}
	const steps = 1 << 20
	point := float64(xxhash.Sum64String(id)%steps) / steps * total
	for _, b := range r.Backends {
		if point -= b.Weight * scale; point < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// totalWeight returns the sum of the backends' weights, each multiplied by scale.
func (r *Route) totalWeight(scale float64) float64 {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight * scale
	}
	return total
}
