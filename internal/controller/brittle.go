package controller

import (
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/ratelimit"
)

// recordBrittle records the brittle services that an entry node has learned of from answers.
func (c *Controller) recordBrittle(from string, services map[string]float64, now time.Duration) {
	for service, perSecond := range services {
		if c.slots.ObserveBrittle(service, perSecond, now) {
			c.log.Event("service is brittle", eventlog.Fields{"service": service, "perSecond": perSecond, "toldBy": from, "term": c.term})
		}
	}
}

// reviewBrittle ends the grants of slots of services that are no longer brittle, and tells the entry nodes at
// once what has changed.
func (c *Controller) reviewBrittle(now time.Duration) {
	for _, service := range c.slots.Expire(now) {
		c.log.Event("service is no longer brittle", eventlog.Fields{"service": service, "term": c.term})
	}
	if _, revision := c.slots.Services(now); revision != c.brittleRevision {
		c.brittleRevision = revision
		c.notifier.notify()
	}
}

// grantSlots answers an entry node's wants for slots of brittle upstreams.
func (c *Controller) grantSlots(from string, wants []ratelimit.SlotWant, now time.Duration) []ratelimit.Grant {
	grants := c.slots.Grant(from, wants, func(i fleet.Incarnation) *fleet.Upstream {
		u, ok := c.registry.Get(i.ID)
		if !ok || u.Born != i.Born {
			return nil
		}
		return &u
	}, now)
	for range grants {
		c.metrics.Count("grants of slots")
	}
	return grants
}
