package edge

import (
	"math"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
)

// noteOverloads logs the models for which this node begins or ends to refuse calls because their engines have more
// than they can run. It runs on the loop.
func (e *Edge) noteOverloads() {
	now := e.dispatcher.Overloads(boottime.Now())
	for k, use := range now {
		if !e.overloaded[k] {
			e.overloaded[k] = true
			e.metrics.Count("model overloaded")
			e.log.Event("model overloaded", eventlog.Fields{"service": k.Service, "model": k.Model, "slotUse": math.Round(100*use) / 100})
		}
	}
	for k := range e.overloaded {
		if _, still := now[k]; !still {
			delete(e.overloaded, k)
			e.log.Event("model no longer overloaded", eventlog.Fields{"service": k.Service, "model": k.Model})
		}
	}
}
