package cli

import (
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/edge"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
)

// connections limits the connections to a managed process.
type connections struct {
	guard   *connlimit.Guard
	shares  connlimit.Shares
	metrics *metrics.Set
}

// newConnections returns the limits of a process, with metrics and a line in the log for each connection that is cut.
func newConnections(cfg *config.Managed, log *eventlog.Log) connections {
	set := metrics.New("connections." + cfg.Node)
	shares := cfg.Connections.Shares(cfg.MemoryMB, cfg.Descriptors)
	guard := connlimit.New(shares.HeadMemory, func(cut connlimit.Cut) {
		set.Count("connection cut: " + string(cut.Cause))
		log.Event("connection cut", edge.CutFields(cut))
	})
	set.Gauge("open", guard.Open)
	set.Gauge("headBytes", guard.HeadBytes)
	return connections{guard: guard, shares: shares, metrics: set}
}

// limitBodies returns the limits of the bodies that a control node reads. An entry node has a budget for all that its calls take.
func (c connections) limitBodies(cfg *config.Managed) bodybuffer.Intake {
	budget := bodybuffer.BudgetOf(cfg.MemoryMB)
	c.metrics.Gauge("bodyBytes", budget.Used)
	return bodybuffer.Intake{Budget: budget, Cut: c.guard.CutBody}
}
