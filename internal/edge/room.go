package edge

import (
	"slices"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/routes"
)

// engineMemory returns the memory of the engines of each service in tokens, without services that state none.
func engineMemory(conf *routes.Configuration) map[string]int {
	memory := map[string]int{}
	for i := range conf.Services {
		if s := &conf.Services[i]; s.Engine != nil && s.Engine.CacheTokens > 0 {
			memory[s.Name] = s.Engine.CacheTokens
		}
	}
	return memory
}

// applyEngineMemory tells the dispatcher the memory of the engines by a configuration that has come into force.
func (e *Edge) applyEngineMemory(conf *routes.Configuration) {
	memory := engineMemory(conf)
	e.loop.Post(func() { e.deliver(e.dispatcher.SetMemory(memory, boottime.Now())) })
}

// noteMemoryShortage logs the services for which calls begin or end to wait at this node because only engine memory is
// missing. It runs on the loop.
func (e *Edge) noteMemoryShortage() {
	short := e.dispatcher.MemoryShortage()
	for service, waiting := range short {
		if !e.memoryShort[service] {
			e.memoryShort[service] = true
			e.metrics.Count("engine memory short")
			e.log.Event("engine memory short", eventlog.Fields{"service": service, "waiting": waiting})
		}
	}
	for service := range e.memoryShort {
		if short[service] == 0 {
			delete(e.memoryShort, service)
			e.log.Event("engine memory no longer short", eventlog.Fields{"service": service})
		}
	}
}

// noteStarved logs the tenants of each service that begin or end to be starved at this node. It runs on the loop.
func (e *Edge) noteStarved() {
	now := e.dispatcher.Starved(boottime.Now())
	for service, tenants := range now {
		if !slices.Equal(e.starved[service], tenants) {
			e.metrics.Count("tenants starved")
			e.log.Event("tenants starved", eventlog.Fields{"service": service, "tenants": tenants})
		}
	}
	for service := range e.starved {
		if len(now[service]) == 0 {
			e.log.Event("tenants no longer starved", eventlog.Fields{"service": service})
		}
	}
	e.starved = now
}
