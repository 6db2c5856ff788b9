package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/quarantine"
	"github.com/agateslip/agateslip/ratelimit"
	"github.com/agateslip/agateslip/residency"
)

const (
	// minReportGap is the least time between two reports, so that calls that arrive
	// together cause a single one.
	minReportGap = 15 * time.Millisecond
	// reportInterval is the time between reports, and urgentReportInterval that while calls wait.
	reportInterval       = 400 * time.Millisecond
	urgentReportInterval = 150 * time.Millisecond
	// reportTimeout bounds the sending of a report.
	reportTimeout = 800 * time.Millisecond
)

// reportDemand reports this node's demand to the leader, periodically and when it
// changes, and applies the forecasts in the answers.
func (e *Edge) reportDemand(ctx context.Context) error {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	lastEmpty := true
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-e.demandChanged:
		case <-timer.C:
		}
		var r demandReport
		if e.loop.Do(ctx, func() { r = e.collectDemand() }) != nil {
			return nil // the node stops
		}
		// The first empty report is sent: it tells the leader that nothing waits or runs.
		empty := r.empty()
		if !empty || !lastEmpty {
			e.sendReport(ctx, &r)
		}
		lastEmpty = empty
		next := reportInterval
		if r.urgent() {
			next = urgentReportInterval
		}
		pause.For(ctx, minReportGap)
		timer.Reset(next)
	}
	return nil
}

// demandReport is a report to the leader with what this node needs for its answer.
type demandReport struct {
	nodelink.DemandRequest
	// servedAt holds when the suspects in the report were served.
	servedAt map[quarantine.Trait]time.Duration
	// lossesUntil is the number of the last loss in the report.
	lossesUntil uint64
	// trialWaiters are the calls that wait for the trials in the report.
	trialWaiters []trialWaiter
}

// empty reports whether the report says only that nothing waits or runs.
func (r *demandReport) empty() bool {
	return len(r.Report.Waiting)+len(r.Report.Arrivals)+len(r.Report.Running)+len(r.Report.Quality)+len(r.Report.Unreachable)+
		len(r.Brittle)+len(r.SlotWants)+len(r.Leaving)+len(r.Losses)+len(r.Served)+len(r.Alive)+len(r.RateLimits)+len(r.PermitWants)+len(r.Trials)+len(r.Overloaded) == 0
}

// urgent reports whether calls wait for a model or a permit, or whether the node wants or has slots that the
// leader grants: those that its calls leave are free for other nodes once the leader knows.
func (r *demandReport) urgent() bool {
	return len(r.Report.Waiting)+len(r.SlotWants) > 0 ||
		slices.ContainsFunc(r.PermitWants, func(w ratelimit.Want) bool { return w.Waiting > 0 })
}

// collectDemand returns the next report. It runs on the loop.
func (e *Edge) collectDemand() demandReport {
	now := boottime.Now()
	served := e.crashEvidence.ServedSuspects(now)
	waiters := e.trialWaiters
	e.trialWaiters = nil
	losses, until := e.crashEvidence.Losses()
	var limits []nodelink.RateLimit
	for upstream, limit := range e.dispatcher.UnlistedRateLimits() {
		limits = append(limits, nodelink.RateLimit{Upstream: upstream, Limit: limit})
	}
	var overloaded []nodelink.ModelName
	for k := range e.dispatcher.Overloads(now) {
		overloaded = append(overloaded, nodelink.ModelName{Service: k.Service, Model: k.Model})
	}
	request := nodelink.DemandRequest{
		Report: e.nodeReport(), Leaving: slices.Collect(maps.Keys(e.unreportedLeaving)),
		RateLimits: limits, PermitWants: e.dispatcher.PermitWants(now),
		Brittle: e.dispatcher.ObservedBrittle(now), SlotWants: e.dispatcher.SlotWants(now),
		Losses: losses, Served: slices.Collect(maps.Keys(served)), Alive: e.aliveUpstreams(),
		Trials: wantedTrials(waiters), Overloaded: overloaded,
	}
	return demandReport{DemandRequest: request, servedAt: served, lossesUntil: until, trialWaiters: waiters}
}

// nodeReport returns the waiting and running calls, and the counts that changed since
// the leader last received them. It runs on the loop.
func (e *Edge) nodeReport() residency.NodeReport {
	now := boottime.Now()
	report := residency.NodeReport{
		Waiting: e.dispatcher.Demand(now), CountedFor: e.dispatcher.CountedFor(now), Unreachable: e.dispatcher.Unreachable(now),
	}
	for key, calls := range e.dispatcher.Arrivals() {
		if e.reportedArrivals[key] != calls {
			report.Arrivals = append(report.Arrivals, residency.Count{
				Service: key.Service, Model: key.Model, Adapter: key.Adapter, Calls: calls,
			})
		}
	}
	for id, q := range e.streamQuality {
		if e.reportedQuality[id] != q {
			report.Quality = append(report.Quality, q)
		}
	}
	for id, byKey := range e.dispatcher.Running() {
		for key, use := range byKey {
			report.Running = append(report.Running, residency.Count{
				Service: key.Service, Upstream: id, Model: key.Model, Adapter: key.Adapter, Calls: uint64(use.Calls), Tokens: use.EngineTokens,
			})
		}
	}
	return report
}

// sendReport sends a report to the leader and applies its answer. The counts of a
// report that fails are part of the next one.
func (e *Edge) sendReport(ctx context.Context, r *demandReport) {
	request := r.DemandRequest
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var answer nodelink.DemandAnswer
	target := e.leader.current()
	askedAt := boottime.Now()
	request.Term, request.CountsRevision = e.plannerCounts.term, e.plannerCounts.revision
	if err := e.mesh.Call(ctx, target, nodelink.Demand, request, &answer); err != nil {
		e.log.Event("demand not reported", eventlog.Fields{"asked": target, "error": err.Error()})
		answerTrials(r.trialWaiters, nil)
		return
	}
	e.noteCurrent(askedAt, answer.Current)
	answerTrials(r.trialWaiters, answer.Trials)
	if answer.Term != 0 {
		e.plannerCounts = plannerCountsVersion{answer.Term, answer.CountsRevision}
	}
	e.loop.Post(func() {
		now := boottime.Now()
		for _, c := range request.Report.Arrivals {
			e.reportedArrivals[dispatch.ModelKey{Service: c.Service, Model: c.Model, Adapter: c.Adapter}] = c.Calls
		}
		if answer.Term != 0 {
			e.dispatcher.ObservePlannerCounts(answer.Running, answer.Whole, now)
			e.dispatcher.ObservePlannerTokens(answer.Tokens, answer.Whole)
			e.noteOverloads()
		}
		for _, incarnation := range request.Leaving {
			delete(e.unreportedLeaving, incarnation)
		}
		if e.crashEvidence.Confirm(answer.Term, r.lossesUntil, r.servedAt, now) {
			e.signalDemand()
		}
		for _, q := range request.Report.Quality {
			e.reportedQuality[q.Upstream] = q
		}
		e.deliver(e.dispatcher.GrantPermits(answer.Permits, askedAt, now))
		e.deliver(e.dispatcher.GrantSlots(answer.Slots, askedAt, now))
		for _, f := range answer.Forecasts {
			key := dispatch.ModelKey{Service: f.Service, Model: f.Model}
			if f.Another {
				e.dispatcher.ForecastAnother(key, f.In, now)
			} else {
				e.dispatcher.Forecast(key, f.In, now)
			}
		}
	})
}

// plannerCountsVersion identifies the latest planner counts that this node received, by
// the leader's term and their revision.
type plannerCountsVersion struct{ term, revision uint64 }

// recordStreamQuality counts a stream that an upstream finished; paused is set if it
// paused for longer than its route's target. It runs on the loop.
func (e *Edge) recordStreamQuality(upstream string, paused bool) {
	q := e.streamQuality[upstream]
	q.Upstream = upstream
	q.Streams++
	if paused {
		q.Paused++
	}
	e.streamQuality[upstream] = q
}

// noteLeaving records that the upstream of a running call said that it is leaving, for this
// node at once and for the leader with the next report. It runs on the loop.
func (e *Edge) noteLeaving(id dispatch.CallID, u *fleet.Upstream) {
	e.dispatcher.ObserveLeaving(id)
	known, ok := e.upstreams[u.ID]
	if !ok || known.desc.Born != u.Born || known.desc.Leaving || known.saidLeaving {
		return
	}
	known.saidLeaving = true
	e.upstreams[u.ID] = known
	e.unreportedLeaving[fleet.Incarnation{ID: u.ID, Born: u.Born}] = true
	e.signalDemand()
}

// signalDemand wakes reportDemand.
func (e *Edge) signalDemand() {
	select {
	case e.demandChanged <- struct{}{}:
	default:
	}
}
