package controller

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/ratelimit"
)

// quotaWatch is the leader's part of the tenants' quotas.
type quotaWatch struct {
	// shares is nil unless this node leads.
	shares *ratelimit.Quotas
	// bounds are the bounds of the tenants with a quota, by name, as of a version of the configuration.
	bounds  map[string]ratelimit.QuotaBound
	version uint64
	// loggedAt is when the quotas were last logged, and refused what was refused by then.
	loggedAt time.Duration
	refused  float64
}

// quotaLogInterval is the interval of the log lines on quotas under which calls were refused.
const quotaLogInterval = 2 * time.Second

// quotaGauges are the sums of all tenants' amounts in the term, of what nodes hold, and of what the calls that wait lack. They
// are as of the latest report that came a while after another.
type quotaGauges struct{ held, waiting, used, beyond, refused, below atomic.Int64 }

func (g *quotaGauges) register(m *metrics.Set) {
	m.Gauge("quotaHeld", g.held.Load)
	m.Gauge("quotaWaiting", g.waiting.Load)
	m.Gauge("quotaUsed", g.used.Load)
	m.Gauge("quotaUsedBeyond", g.beyond.Load)
	m.Gauge("quotaRefused", g.refused.Load)
	m.Gauge("quotaRefusedBelow", g.below.Load)
}

// reviewQuotas updates the gauges now and then, and logs the quotas if calls were refused.
func (c *Controller) reviewQuotas(now time.Duration) {
	if now-c.quotas.loggedAt < quotaLogInterval {
		return
	}
	c.quotas.loggedAt = now
	states := c.quotas.shares.Overview(now)
	var sum ratelimit.QuotaState
	for i := range states {
		sum.Add(&states[i])
	}
	c.quotaGauges.held.Store(int64(sum.Held))
	c.quotaGauges.waiting.Store(int64(sum.Waiting))
	c.quotaGauges.used.Store(int64(sum.Used))
	c.quotaGauges.beyond.Store(int64(sum.Beyond))
	c.quotaGauges.refused.Store(int64(sum.Refused))
	c.quotaGauges.below.Store(int64(sum.Below))
	if sum.Refused == c.quotas.refused {
		return
	}
	c.quotas.refused = sum.Refused
	c.log.Event("calls refused over quota", eventlog.Fields{
		"term": c.term, "settling": now < c.quotas.shares.SettledAt(), "tenants": slices.DeleteFunc(states, func(s ratelimit.QuotaState) bool { return s.Refused == 0 }),
	})
}

// serveQuotas answers an entry node's report of what it holds and needs of the tenants' quotas.
func (c *Controller) serveQuotas(ctx context.Context, from string, r ratelimit.ShareReport) (any, error) {
	var answer ratelimit.ShareAnswer
	err := c.requireLeader()
	if err != nil {
		return nil, err
	}
	doErr := c.loop.Do(ctx, func() {
		if c.quotas.shares == nil {
			err = c.notLeaderError()
			return
		}
		now := boottime.Now()
		c.updateQuotas(now)
		c.succeedQuotas()
		answer = c.quotas.shares.Report(from, r, c.quotaBound, now)
		c.reviewQuotas(now)
		// A leader whose term ended meanwhile may have counted what its successor counts, too.
		err = c.requireLeader()
	})
	if doErr != nil {
		return nil, doErr
	}
	if err != nil {
		return nil, err
	}
	c.metrics.Count("quota reports")
	return answer, nil
}

// succeedQuotas tells the quotas what is known of earlier leaders. A leader that has not applied or decoded all that was in
// force under them might take over a reserve which they gave up with a change of the configuration.
func (c *Controller) succeedQuotas() {
	previous, version := c.stateMachine.succession(c.term)
	if version != c.quotas.version {
		previous, version = 0, 0
	}
	c.quotas.shares.Succeed(previous, version)
}

// quotaBound returns the bound of a tenant's quota, and false for tenants without one.
func (c *Controller) quotaBound(tenant string) (ratelimit.QuotaBound, bool) {
	b, ok := c.quotas.bounds[tenant]
	return b, ok
}

// updateQuotas takes over the quotas of the configuration in force.
func (c *Controller) updateQuotas(now time.Duration) {
	v := c.stateMachine.decoded.Load()
	if v == nil || v.version == c.quotas.version {
		return
	}
	c.quotas.version, c.quotas.bounds = v.version, map[string]ratelimit.QuotaBound{}
	for i := range v.conf.Tenants {
		if b, ok := nodelink.QuotaBound(&v.conf.Tenants[i], &c.cfg.Quota); ok {
			c.quotas.bounds[v.conf.Tenants[i].Name] = b
		}
	}
	c.quotas.shares.Retain(func(tenant string) bool { _, ok := c.quotaBound(tenant); return ok }, now)
	c.log.Event("quotas in force", eventlog.Fields{"version": v.version, "tenants": len(c.quotas.bounds)})
}
