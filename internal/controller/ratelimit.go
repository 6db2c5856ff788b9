package controller

import (
	"time"

	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/ratelimit"
)

// recordRateLimits records the limits that an entry node has learned from answers, for all nodes.
func (c *Controller) recordRateLimits(from string, limits []nodelink.RateLimit) {
	for _, l := range limits {
		if !c.registry.SetRateLimit(l.Upstream, l.Limit) {
			continue
		}
		c.metrics.Count("rate limit changed")
		c.log.Event("rate limit changed", eventlog.Fields{
			"upstream": l.Upstream.ID, "born": l.Upstream.Born, "limited": l.Limit.Limited,
			"perSecond": l.Limit.PerSecond, "change": l.Limit.Seq, "toldBy": from,
		})
		c.notifier.notify()
	}
}

// grantPermits answers an entry node's wants for the upstreams that have a rate limit.
func (c *Controller) grantPermits(from string, wants []ratelimit.Want, now time.Duration) []ratelimit.Grant {
	var grants []ratelimit.Grant
	for _, w := range wants {
		u, ok := c.registry.Get(w.Upstream.ID)
		if !ok || u.Born != w.Upstream.Born || !u.RateLimit.Limited {
			continue
		}
		g := c.permits.Grant(from, w, u.RateLimit.PerSecond, now)
		grants = append(grants, g)
		if g.Permits == 0 && w.Waiting == 0 {
			continue
		}
		c.log.Event("permits granted", eventlog.Fields{
			"upstream": u.ID, "node": from, "waiting": w.Waiting, "priority": w.Priority, "recent": w.Recent,
			"permits": g.Permits, "nextMillis": g.In.Milliseconds(), "perSecond": u.RateLimit.PerSecond,
		})
	}
	return grants
}
