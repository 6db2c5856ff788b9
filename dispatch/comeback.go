package dispatch

import "time"

// maxOverloadRetryAfter bounds the wait asked of the callers of overloaded models. A load from the weight store takes
// about as long.
const maxOverloadRetryAfter = 15 * time.Second

// ForecastAnother records the planner's forecast that after the time in another engine will hold a model. k has no adapter.
func (d *Dispatcher) ForecastAnother(k ModelKey, in, now time.Duration) {
	d.another[k] = forecast{readyAt: now + in, expiresAt: now + d.limits.ForecastTTL}
}

// overloadRetryAfter returns the wait asked of the caller of a call that is refused for overload: until another engine holds
// the model, as forecast; without a forecast overloadTTL, or, once the planner's counts are too old, the time until the
// overload is forgotten.
func (d *Dispatcher) overloadRetryAfter(c *Call, now time.Duration) time.Duration {
	key := ModelKey{Service: c.Service, Model: c.Model}
	wait := overloadTTL
	if now-d.plannerCountAt >= d.limits.LoadReportTTL {
		wait = d.overloads[key].at + overloadTTL - now
	}
	if f, ok := d.another[key]; ok && now < f.expiresAt {
		wait = f.readyAt - now
	}
	return min(max(wait, d.limits.RetryAfter), maxOverloadRetryAfter)
}
