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
	// forecastLife is how long a forecast of the leader counts.
	forecastLife = 2 * time.Second
	// adapterAllowance is added to a forecast for a request that also needs an
	// adapter.
	adapterAllowance = 250 * time.Millisecond
)

// targetKey is what admission and routing know a model's calls by. Replicas are
// held for one customer.
func targetKey(customer, model, adapter string) string {
	key := customer + "/" + model
	if adapter != "" {
		key += "#" + adapter
	}
	return key
}

// forecast is the leader's forecast of one model, with the time it came.
type forecast struct {
	placement.Forecast
	at time.Duration
}

// granted is the view of an upstream that routing may use: only replicas that
// are granted and not withdrawn, each under its customer's target.
func (l *loop) granted(v directory.View) directory.View {
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

// setTargets tells admission which models, adapters and services serve.
func (l *loop) setTargets(views []directory.View, now time.Duration) {
	ready := l.readySlots(views)
	for i := range l.node.store.view.Load().contracts {
		c := &l.node.store.view.Load().contracts[i].Contract
		for _, m := range c.Models {
			l.setModel(c.Customer, m, "", ready, now)
			for _, a := range m.Adapters {
				l.setModel(c.Customer, m, a, ready, now)
			}
		}
		for _, s := range c.Services {
			name := gateway.ServiceTarget(s.Name)
			l.throttler.SetTarget(name, serviceState(ready[name]), now)
		}
	}
}

// serviceState is the state of a plain service: the system loads none, so one
// that nobody serves is gone until it announces itself.
func serviceState(slots int) admission.TargetState {
	if slots == 0 {
		return admission.TargetState{Readiness: admission.Gone, RetryAfter: time.Second}
	}
	return admission.TargetState{Readiness: admission.Ready, Slots: slots}
}

func (l *loop) setModel(customer string, m contract.Model, adapter string, ready map[string]int, now time.Duration) {
	key := targetKey(customer, m.Name, adapter)
	if slots := ready[key]; slots > 0 {
		l.throttler.SetTarget(key, admission.TargetState{Readiness: admission.Ready, Slots: slots}, now)
		return
	}
	f, ok := l.forecasts[placement.Key{Customer: customer, Model: m.Name}]
	l.throttler.SetTarget(key, forecastState(f, ok, adapter != "", now), now)
}

// forecastState is the state of a model that no replica serves now.
func forecastState(f forecast, known, adapter bool, now time.Duration) admission.TargetState {
	switch {
	case !known || now-f.at > forecastLife:
		return admission.TargetState{Readiness: admission.Unknown}
	case f.Readiness == placement.Blocked:
		return admission.TargetState{Readiness: admission.Gone, RetryAfter: f.RetryAfter}
	}
	at := f.at + f.ReadyIn
	if adapter {
		at += adapterAllowance
	}
	return admission.TargetState{Readiness: admission.Expected, ReadyAt: at, RetryAfter: f.RetryAfter}
}

// readySlots sums the slots of each target over the upstreams that take work.
func (l *loop) readySlots(views []directory.View) map[string]int {
	slots := map[string]int{}
	for _, v := range views {
		if !v.Takes() {
			continue
		}
		a := &v.Announcement
		if a.Kind == directory.Service {
			slots[gateway.ServiceTarget(a.Service)] += max(a.Slots, 1)
			continue
		}
		for _, r := range l.granted(v).Announcement.Replicas {
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
