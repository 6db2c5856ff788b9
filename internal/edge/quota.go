package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/ratelimit"
)

const (
	// quotaReportInterval is the time between reports while the node holds something of a quota.
	quotaReportInterval = 250 * time.Millisecond
	// quotaReportTimeout bounds a report, so that there is time for others before what the node holds is void.
	quotaReportTimeout = 400 * time.Millisecond
	// minQuotaReportGap is the least time between two reports, so that calls that arrive together cause a single one.
	minQuotaReportGap = 3 * time.Millisecond
	// quotaRetryPause is the time until the next report after one that failed.
	quotaRetryPause = 50 * time.Millisecond
	// maxQuotaWait bounds how long a call waits for its tenant's quota to have room, and quotaWaitShare is the share of its
	// latency target for which it does: the rest is for the upstream. It is short, so that patient calls don't take the room
	// of a hot tenant's urgent ones.
	maxQuotaWait = 50 * time.Millisecond
	// leastQuotaWait is how long a call waits even if its upstream can hardly answer in time.
	leastQuotaWait = 100 * time.Millisecond
	quotaWaitShare = 0.5
	// quotaLeaderWait is how long a call waits for the word of a leader, or half of its latency target if that is longer. A
	// new leader is elected within about a second, and found within another.
	quotaLeaderWait      = 2 * time.Second
	quotaLeaderWaitShare = 0.5
)

// Reasons of refusals for want of quota.
const (
	reasonOverQuota    = "over quota"
	reasonQuotaUnknown = "no word on the quota"
)

// quotaShares is what the node holds of the tenants' quotas. It is used on the loop only, except changed.
type quotaShares struct {
	shares  *ratelimit.Shares
	waiters map[uint64]chan ratelimit.QuotaVerdict
	// changed wakes reportQuotas.
	changed chan struct{}
}

func newQuotaShares() quotaShares {
	return quotaShares{
		shares: ratelimit.NewShares(rand.Uint64()), waiters: map[uint64]chan ratelimit.QuotaVerdict{}, changed: make(chan struct{}, 1),
	}
}

// quotaUse is a call's use of its tenant's quota.
type quotaUse struct {
	// id identifies the call to the node's shares; zero if it has taken nothing.
	id   uint64
	cost float64
	// run is set once an upstream may have run the call.
	run bool
}

// takeQuota takes the call's cost from its tenant's quota, and waits for it if need be. It returns false if the call ended
// instead.
func (c *call) takeQuota() bool {
	e := c.edge
	bound, limited := nodelink.QuotaBound(c.tenant, &e.cfg.Quota)
	if !limited {
		return true
	}
	c.quota.cost = c.tenant.Quota.Cost(c.caller.InputTokens+c.caller.OutputTokens, c.caller.StatesTokens)
	if c.quota.cost <= 0 {
		return true
	}
	latest := min(max(c.latestStart(), c.arrived+leastQuotaWait), c.deadline)
	id := e.lastCallID.Add(1)
	wanted := ratelimit.QuotaCall{
		ID: id, Cost: c.quota.cost, Arrived: c.arrived,
		Limit:       min(latest, c.arrived+min(maxQuotaWait, time.Duration(quotaWaitShare*float64(c.route.Target)))),
		LeaderLimit: min(latest, c.arrived+max(quotaLeaderWait, time.Duration(quotaLeaderWaitShare*float64(c.route.Target)))),
	}
	verdicts := make(chan ratelimit.QuotaVerdict, 1)
	began := boottime.Now()
	e.loop.Post(func() {
		v, decided := e.quota.shares.Take(c.tenant.Name, bound, wanted, boottime.Now())
		if decided {
			verdicts <- v
			return
		}
		e.quota.waiters[id] = verdicts
		e.waitingQuota.Add(1)
		e.signalQuota()
	})
	select {
	case v := <-verdicts:
		e.metrics.Observe("quota wait", boottime.Now()-began)
		if v.Outcome == ratelimit.QuotaTaken {
			c.quota.id = id
			if waited := boottime.Now() - began; waited > tickInterval {
				c.log("waited for quota", eventlog.Fields{"cost": c.quota.cost, "waitedMillis": waited.Milliseconds()})
			}
			return true
		}
		c.refuseForQuota(v, boottime.Now()-began)
	case <-e.closing:
		c.withdrawQuota(id, verdicts)
		c.refuse("node stops", otherNodeRetryAfter)
	case <-c.r.Context().Done():
		c.withdrawQuota(id, verdicts)
		c.log("caller left", eventlog.Fields{"while": "waiting for quota"})
	}
	return false
}

// refuseForQuota answers a call that its tenant's quota does not allow now, or of which that is not known.
func (c *call) refuseForQuota(v ratelimit.QuotaVerdict, waited time.Duration) {
	if v.Outcome == ratelimit.QuotaUnknown {
		c.refuse(reasonQuotaUnknown, v.RetryAfter)
		return
	}
	retryAfter := max(v.RetryAfter, minQuotaRetryAfter)
	c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	c.log("refused", eventlog.Fields{
		"status": http.StatusTooManyRequests, "why": reasonOverQuota, "retryAfter": retryAfter.Seconds(), "cost": c.quota.cost,
		"waitedMillis": waited.Milliseconds(),
	})
	c.edge.metrics.Count("refused: " + reasonOverQuota)
	c.w.WriteHeader(http.StatusTooManyRequests)
}

// minQuotaRetryAfter is the least Retry-After of a call over its quota: the smallest that the header states.
const minQuotaRetryAfter = 10 * time.Millisecond

// withdrawQuota ends a call's wait for quota. What it may have been granted meanwhile is given back.
func (c *call) withdrawQuota(id uint64, verdicts chan ratelimit.QuotaVerdict) {
	e := c.edge
	e.loop.Post(func() {
		if _, waiting := e.quota.waiters[id]; waiting {
			delete(e.quota.waiters, id)
			e.waitingQuota.Add(-1)
			e.quota.shares.Withdraw(c.tenant.Name, id)
			return
		}
		select {
		case v := <-verdicts:
			if v.Outcome == ratelimit.QuotaTaken {
				e.deliverQuota(e.quota.shares.GiveBack(c.tenant.Name, id, boottime.Now()))
			}
		default:
		}
	})
}

// settleQuota gives back the cost of a call that no upstream has run.
func (c *call) settleQuota() {
	if c.quota.id == 0 || c.quota.run {
		return
	}
	e := c.edge
	e.metrics.Count("quota given back")
	e.loop.Post(func() {
		e.deliverQuota(e.quota.shares.GiveBack(c.tenant.Name, c.quota.id, boottime.Now()))
	})
}

// attemptWithinQuota sends the call to one upstream, and records whether that may have run it.
func (c *call) attemptWithinQuota(u *fleet.Upstream) attemptOutcome {
	before := c.quota.run
	c.quota.run = true // holds if the attempt ends with the caller's connection
	outcome := c.attempt(u)
	switch outcome {
	case outcomeUnsent, outcomeNotRun, outcomeNotRunLast, outcomeDenied:
		c.quota.run = before
	case outcomeCallerLeft:
		c.quota.run = before || c.conn != nil
	}
	return outcome
}

// deliverQuota passes verdicts to the calls that wait for them. It runs on the loop.
func (e *Edge) deliverQuota(verdicts []ratelimit.QuotaVerdict) {
	for _, v := range verdicts {
		if waiter, ok := e.quota.waiters[v.ID]; ok {
			delete(e.quota.waiters, v.ID)
			e.waitingQuota.Add(-1)
			waiter <- v
		}
	}
}

// signalQuota wakes reportQuotas.
func (e *Edge) signalQuota() {
	select {
	case e.quota.changed <- struct{}{}:
	default:
	}
}

// reportQuotas reports to the leader what the node holds and needs of the tenants' quotas, and applies the answers.
func (e *Edge) reportQuotas(ctx context.Context) error {
	if e.cfg.Quota.Window <= 0 {
		<-ctx.Done()
		return nil
	}
	timer := time.NewTimer(quotaReportInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-e.quota.changed:
		case <-timer.C:
		}
		var report ratelimit.ShareReport
		tells := false
		if e.loop.Do(ctx, func() { report, tells = e.quota.shares.Report(boottime.Now()) }) != nil {
			return nil // the node stops
		}
		gap := minQuotaReportGap
		if tells && !e.sendQuotaReport(ctx, report) {
			gap = quotaRetryPause
		}
		next := quotaReportInterval
		_ = e.loop.Do(ctx, func() {
			now := boottime.Now()
			if calls, askAt := e.quota.shares.Waiting(now); calls > 0 {
				next = min(next, askAt-now)
			}
		})
		pause.For(ctx, gap)
		timer.Reset(max(0, next-gap))
	}
	return nil
}

// sendQuotaReport sends a report to the leader and applies its answer. It returns false if there was none in time: the
// next report then tells the leader that the node got nothing.
func (e *Edge) sendQuotaReport(ctx context.Context, report ratelimit.ShareReport) bool {
	ctx, cancel := context.WithTimeout(ctx, quotaReportTimeout)
	defer cancel()
	target := e.leader.current()
	askedAt := boottime.Now()
	var answer ratelimit.ShareAnswer
	if err := e.mesh.Call(ctx, target, nodelink.Quotas, report, &answer); err != nil {
		e.metrics.Count("quota report unanswered")
		e.log.Event("quotas not reported", eventlog.Fields{"asked": target, "error": err.Error()})
		return false
	}
	_ = e.loop.Do(ctx, func() {
		e.deliverQuota(e.quota.shares.Apply(answer, askedAt, boottime.Now()))
	})
	return true
}
