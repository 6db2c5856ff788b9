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
	// reportInterval is the time between reports while no calls wait.
	reportInterval = 400 * time.Millisecond
	// waitingReportInterval is the time between reports while calls wait.
	waitingReportInterval = 150 * time.Millisecond
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
		var request nodelink.DemandRequest
		var served map[quarantine.Trait]time.Duration
		if e.loop.Do(ctx, func() { request, served = e.demandRequest() }) != nil {
			return nil // the node stops
		}
		// The first empty report is sent: it tells the leader that nothing waits or runs.
		report := &request.Report
		empty := len(report.Waiting)+len(report.Arrivals)+len(report.Running)+len(report.Quality)+
			len(request.Leaving)+len(request.Losses)+len(request.Served)+len(request.Alive)+len(request.RateLimits)+len(request.PermitWants) == 0
		if !empty || !lastEmpty {
			e.sendReport(ctx, request, served)
		}
		lastEmpty = empty
		next := reportInterval
		if len(report.Waiting) > 0 || slices.ContainsFunc(request.PermitWants, func(w ratelimit.Want) bool { return w.Waiting > 0 }) {
			next = waitingReportInterval
		}
		pause.For(ctx, minReportGap)
		timer.Reset(next)
	}
	return nil
}

// demandRequest returns the request with this node's report, and when the served suspects in
// it were served. It runs on the loop.
func (e *Edge) demandRequest() (nodelink.DemandRequest, map[quarantine.Trait]time.Duration) {
	now := boottime.Now()
	served := e.prompts.servedSuspects(now)
	var limits []nodelink.RateLimit
	for upstream, limit := range e.dispatcher.UnlistedRateLimits() {
		limits = append(limits, nodelink.RateLimit{Upstream: upstream, Limit: limit})
	}
	return nodelink.DemandRequest{
		RateLimits: limits, PermitWants: e.dispatcher.PermitWants(now),
		Report: e.demandReport(), Leaving: slices.Collect(maps.Keys(e.unreportedLeaving)),
		Losses: slices.Clone(e.prompts.losses), Served: slices.Collect(maps.Keys(served)), Alive: e.aliveEngines(),
	}, served
}

// demandReport returns the waiting and running calls, and the counts that changed since
// the leader last received them. It runs on the loop.
func (e *Edge) demandReport() residency.NodeReport {
	now := boottime.Now()
	report := residency.NodeReport{Waiting: e.dispatcher.Demand(now), CountedFor: e.dispatcher.CountedFor(now)}
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
		for key, calls := range byKey {
			report.Running = append(report.Running, residency.Count{
				Service: key.Service, Upstream: id, Model: key.Model, Adapter: key.Adapter, Calls: uint64(calls),
			})
		}
	}
	return report
}

// sendReport sends a report to the leader and applies its answer. The counts of a
// report that fails are part of the next one.
func (e *Edge) sendReport(ctx context.Context, request nodelink.DemandRequest, served map[quarantine.Trait]time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var answer nodelink.DemandAnswer
	target := e.leader.current()
	askedAt := boottime.Now()
	request.Term, request.CountsRevision = e.plannerCounts.term, e.plannerCounts.revision
	if err := e.mesh.Call(ctx, target, nodelink.Demand, request, &answer); err != nil {
		e.log.Event("demand not reported", eventlog.Fields{"asked": target, "error": err.Error()})
		return
	}
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
		}
		for _, incarnation := range request.Leaving {
			delete(e.unreportedLeaving, incarnation)
		}
		e.prompts.confirmReport(len(request.Losses), served)
		for _, q := range request.Report.Quality {
			e.reportedQuality[q.Upstream] = q
		}
		e.deliver(e.dispatcher.GrantPermits(answer.Permits, askedAt, now))
		for _, f := range answer.Forecasts {
			e.dispatcher.Forecast(dispatch.ModelKey{Service: f.Service, Model: f.Model}, f.In, now)
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
