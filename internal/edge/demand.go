package edge

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/residency"
)

const (
	// reportPause is the least time between two reports, so that calls that come
	// together make one.
	reportPause = 15 * time.Millisecond
	// reportInterval is how often a report is made without waiting calls.
	reportInterval = 400 * time.Millisecond
	// waitingInterval is how often one is made while calls wait.
	waitingInterval = 150 * time.Millisecond
	// reportTime bounds a report.
	reportTime = 800 * time.Millisecond
)

// reportDemand tells the leader what is asked for and takes its forecasts.
func (e *Edge) reportDemand(ctx context.Context) error {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	quiet := true
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-e.stirred:
		case <-timer.C:
		}
		var report residency.NodeReport
		if e.loop.Do(ctx, func() { report = e.demandReport() }) != nil {
			return nil // the node stops
		}
		// An empty report after a full one says that nothing waits or runs any more.
		empty := len(report.Waiting)+len(report.Arrivals)+len(report.Running)+len(report.Quality) == 0
		if !empty || !quiet {
			e.sendReport(ctx, report)
		}
		quiet = empty
		next := reportInterval
		if len(report.Waiting) > 0 {
			next = waitingInterval
		}
		pause.For(ctx, reportPause)
		timer.Reset(next)
	}
	return nil
}

// demandReport collects what changed since the last report, and what waits.
func (e *Edge) demandReport() residency.NodeReport {
	report := residency.NodeReport{Waiting: e.dispatcher.Demand(boottime.Now())}
	for key, calls := range e.dispatcher.Arrivals() {
		if e.reported[key] != calls {
			report.Arrivals = append(report.Arrivals, residency.Count{
				Service: key.Service, Model: key.Model, Adapter: key.Adapter, Calls: calls,
			})
		}
	}
	for id, q := range e.quality {
		if e.judged[id] != q {
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

func (e *Edge) sendReport(ctx context.Context, report residency.NodeReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	var answer nodelink.DemandAnswer
	target := e.leader.current()
	request := nodelink.DemandRequest{Report: report, Term: e.loads.term, Loads: e.loads.revision}
	if err := e.mesh.Call(ctx, target, nodelink.Demand, request, &answer); err != nil {
		e.log.Event("demand not reported", eventlog.Fields{"asked": target, "error": err.Error()})
		return
	}
	if answer.Term != 0 {
		e.loads = loadsKnown{answer.Term, answer.Loads}
	}
	e.loop.Post(func() {
		now := boottime.Now()
		for _, c := range report.Arrivals {
			e.reported[dispatch.ModelKey{Service: c.Service, Model: c.Model, Adapter: c.Adapter}] = c.Calls
		}
		if answer.Term != 0 {
			e.dispatcher.ObservePlannerCounts(answer.Running, answer.Whole, now)
		}
		for _, q := range report.Quality {
			e.judged[q.Upstream] = q
		}
		for _, f := range answer.Forecasts {
			e.dispatcher.Forecast(dispatch.ModelKey{Service: f.Service, Model: f.Model}, f.In, now)
		}
	})
}

// loadsKnown says which of a leader's counts of calls this node has.
type loadsKnown struct{ term, revision uint64 }

// judge takes note of a finished stream. It runs on the loop.
func (e *Edge) judge(upstream string, paused bool) {
	q := e.quality[upstream]
	q.Upstream = upstream
	q.Streams++
	if paused {
		q.Paused++
	}
	e.quality[upstream] = q
}

// stir wakes the reporter.
func (e *Edge) stir() {
	select {
	case e.stirred <- struct{}{}:
	default:
	}
}
