package routes

import (
	"net/url"
	"strings"
	"time"
)

// Advice returns the fields of a valid configuration that have no effect, or that contradict another one. Such a
// configuration can be put in force; it does not do what its author is likely to expect.
func (c *Configuration) Advice() []Problem {
	var found problems
	used := map[string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.adviseMatch(&found)
		r.adviseTimes(&found)
		for _, b := range r.Backends {
			used[b.Service] = used[b.Service] || b.Weight > 0
			if b.Weight == 0 {
				found.add("routes."+r.Name+".weight", "service %s gets no calls", b.Service)
			}
		}
		if r.Kind == RunOnce && r.Attempts > 1 {
			found.add("routes."+r.Name+".attempts", "calls that may run only once get one attempt")
		}
		if r.Public && !c.Keyed {
			found.add("routes."+r.Name+".public", "has no effect without tenants")
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		if !used[s.Name] {
			found.add("services."+s.Name, "no route sends calls to it")
		}
		s.adviseModels(&found)
	}
	c.adviseTenants(&found)
	c.adviseLimits(&found)
	return found.list
}

// adviseMatch finds hosts and prefixes that no request has.
func (r *Route) adviseMatch(found *problems) {
	field := "routes." + r.Name
	if i := strings.LastIndexByte(r.Host, ':'); i >= 0 && !strings.HasSuffix(r.Host, "]") {
		found.add(field+".host", "never matches: requests are matched without their port")
	} else if strings.ContainsAny(r.Host, " \t/?#@*") {
		found.add(field+".host", "never matches: %q is no host name", r.Host)
	}
	if decoded, err := url.PathUnescape(r.Prefix); err == nil && decoded != r.Prefix {
		found.add(field+".prefix", "never matches: paths are matched decoded, as %q", decoded)
	} else if strings.ContainsAny(r.Prefix, "?#") {
		found.add(field+".prefix", "never matches: a path ends before ? and #")
	}
}

func (r *Route) adviseTimes(found *problems) {
	field := "routes." + r.Name
	if r.Target > r.Timeout {
		found.add(field+".target", "%v exceeds the timeout of %v", r.Target, r.Timeout)
	}
	if r.PauseTarget > r.Timeout {
		found.add(field+".pauseTarget", "%v exceeds the timeout of %v", r.PauseTarget, r.Timeout)
	}
	if r.PauseTarget > 0 && r.Kind != Stream {
		found.add(field+".pauseTarget", "has no effect on calls that are not streams")
	}
	if r.Resumable && r.Kind != Stream {
		found.add(field+".resumable", "has no effect on calls that are not streams")
	}
}

// adviseModels finds models that no engine of the service can hold.
func (s *Service) adviseModels(found *problems) {
	if s.Engine == nil {
		return
	}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		field := "services." + s.Name + ".models." + m.Name
		if m.SizeMB > s.Engine.WeightsMB {
			found.add(field+".size", "%g MB never fit into the %g MB of an engine", m.SizeMB, s.Engine.WeightsMB)
		}
		if m.Adapters > 0 && s.Engine.AdapterPlaces == 0 {
			found.add(field+".adapters", "engines have no places for adapters")
		}
	}
}

func (c *Configuration) adviseTenants(found *problems) {
	for i := range c.Tenants {
		t := &c.Tenants[i]
		field := "tenants." + t.Name
		if len(t.Keys) == 0 {
			found.add(field+".keys", "has no key and can use public routes only")
		}
		for _, key := range t.Keys {
			if key == DigestKey("") {
				found.add(field+".keys", "an empty key never matches")
			}
		}
		if q := t.Quota; q != nil && q.Unit == QuotaTokens && q.Burst < q.UnstatedCost {
			found.add(field+".quota.burst", "%g tokens are less than a call costs that states none (%g)", q.Burst, q.UnstatedCost)
		}
	}
}

// shortestTime is the least time limit that a caller on a slow link can keep.
const shortestTime = 100 * time.Millisecond

func (c *Configuration) adviseLimits(found *problems) {
	l := &c.Limits
	if l.HeaderTime > 0 && l.HeaderTime < shortestTime {
		found.add("limits.headerTime", "%v is too short for callers on slow links", l.HeaderTime)
	}
	if l.HeaderBytes > 0 && l.BodyBytes > 0 && l.BodyBytes < l.HeaderBytes {
		found.add("limits.bodyBytes", "%d bytes are fewer than those of a header (%d)", l.BodyBytes, l.HeaderBytes)
	}
}
