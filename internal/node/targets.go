package node

import (
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/placement"
)

const (
	// forecastLifetime is how long a forecast from the leader is valid.
	forecastLifetime = 2 * time.Second
	// adapterAllowance is added to a model's forecast for a call that also needs an
	// adapter.
	adapterAllowance = 250 * time.Millisecond
)

// targetKey returns the key under which admission and routing know the calls for a
// model or adapter. It includes the customer, because a replica serves one customer
// only.
func targetKey(customer, model, adapter string) string {
	key := customer + "/" + model
	if adapter != "" {
		key += "#" + adapter
	}
	return key
}

// forecast is the leader's forecast for one model, received at receivedAt.
type forecast struct {
	placement.Forecast
	receivedAt time.Duration
}

// grantedView returns the part of an upstream's view that routing may use: only
// replicas whose grant exists, is not withdrawn and belongs to this incarnation, each
// under its customer's target key.
func (l *controlLoop) grantedView(v directory.View) directory.View {
	var replicas []directory.Replica
	for _, r := range v.Announcement.Replicas {
		g, ok := l.grants.Find(r.Grant)
		if !ok || g.State == placement.Withdrawn || g.Incarnation != v.Announcement.Incarnation {
			continue
		}
		r.Model = targetKey(g.Customer, g.Model, "")
		replicas = append(replicas, r)
	}
	v.Announcement.Replicas = replicas
	return v
}

// setTargets tells admission the state of every model, adapter and service under
// contract.
func (l *controlLoop) setTargets(views []directory.View, now time.Duration) {
	ready := l.readySlots(views)
	for i := range l.node.store.view.Load().contracts {
		c := &l.node.store.view.Load().contracts[i].Contract
		for _, m := range c.Models {
			l.setModelTarget(c.Customer, m, "", ready, now)
			for _, a := range m.Adapters {
				l.setModelTarget(c.Customer, m, a, ready, now)
			}
		}
		for _, s := range c.Services {
			name := gateway.ServiceTarget(s.Name)
			l.throttler.SetTarget(name, serviceState(ready[name]), now)
		}
	}
}

// serviceState returns the state of a plain service. The system loads no services, so
// one without upstreams is gone until one announces itself.
func serviceState(slots int) admission.TargetState {
	if slots == 0 {
		return admission.TargetState{Readiness: admission.Gone, RetryAfter: time.Second}
	}
	return admission.TargetState{Readiness: admission.Ready, Slots: slots}
}

// setModelTarget sets the state of one model or adapter from its ready slots, or else
// from the forecast.
func (l *controlLoop) setModelTarget(customer string, m contract.Model, adapter string, ready map[string]int, now time.Duration) {
	key := targetKey(customer, m.Name, adapter)
	if slots := ready[key]; slots > 0 {
		l.throttler.SetTarget(key, admission.TargetState{Readiness: admission.Ready, Slots: slots}, now)
		return
	}
	f, ok := l.forecasts[placement.Key{Customer: customer, Model: m.Name}]
	l.throttler.SetTarget(key, forecastState(f, ok, adapter != "", now), now)
}

// forecastState returns the state of a model that no replica serves now.
func forecastState(f forecast, known, adapter bool, now time.Duration) admission.TargetState {
	switch {
	case !known || now-f.receivedAt > forecastLifetime:
		return admission.TargetState{Readiness: admission.Unknown}
	case f.Readiness == placement.Blocked:
		return admission.TargetState{Readiness: admission.Gone, RetryAfter: f.RetryAfter}
	}
	at := f.receivedAt + f.ReadyIn
	if adapter {
		at += adapterAllowance
	}
	return admission.TargetState{Readiness: admission.Expected, ReadyAt: at, RetryAfter: f.RetryAfter}
}

// readySlots returns the number of slots by target, summed over the upstreams that
// accept calls.
func (l *controlLoop) readySlots(views []directory.View) map[string]int {
	slots := map[string]int{}
	for _, v := range views {
		if !v.AcceptsWork() {
			continue
		}
		a := &v.Announcement
		if a.Kind == directory.Service {
			slots[gateway.ServiceTarget(a.Service)] += max(a.Slots, 1)
			continue
		}
		for _, r := range l.grantedView(v).Announcement.Replicas {
			if r.State != directory.Ready {
				continue
			}
			slots[r.Model] += max(a.Slots, 1)
			for _, adapter := range r.Adapters {
				slots[r.Model+"#"+adapter] += max(a.Slots, 1)
			}
		}
	}
	return slots
}
