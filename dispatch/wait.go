package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// waiting is a call without an upstream.
type waiting struct {
	call Call
	// why is the outcome of the latest look for an upstream.
	why choice
}

// enqueue puts a call behind those that go first: by priority, then by target.
func (d *Dispatcher) enqueue(w *waiting) {
	at, _ := slices.BinarySearchFunc(d.waiting, w, order)
	d.waiting = slices.Insert(d.waiting, at, w)
}

func order(a, b *waiting) int {
	return cmp.Or(
		cmp.Compare(a.call.Priority, b.call.Priority),
		cmp.Compare(a.call.Target, b.call.Target),
		cmp.Compare(a.call.Token, b.call.Token),
	)
}

// decide starts the calls for which there is an upstream and refuses those for
// which there will be none in time. Calls for something that an earlier call
// could not get are not tried again.
func (d *Dispatcher) decide(now time.Duration) []Verdict {
	var verdicts []Verdict
	blocked := map[Key]choice{}
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		key := Key{w.call.Service, w.call.Model, w.call.Adapter}
		why, known := blocked[key]
		var u *upstream
		if !known || len(w.call.Avoid) > 0 {
			u, why = d.choose(&w.call, now)
		}
		if u != nil {
			verdicts = append(verdicts, d.start(w, u))
			continue
		}
		blocked[key] = why
		w.why = why
		if v, refused := d.refuse(w, now); refused {
			verdicts = append(verdicts, v)
			continue
		}
		kept = append(kept, w)
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
	return verdicts
}

func (d *Dispatcher) start(w *waiting, u *upstream) Verdict {
	u.own++
	u.trial = u.unreached > 0
	d.running[w.call.Token] = &run{call: w.call, upstream: u}
	desc := *u.desc
	return Verdict{Token: w.call.Token, Action: Start, Upstream: &desc}
}

// refuse decides whether a call waits on in vain.
func (d *Dispatcher) refuse(w *waiting, now time.Duration) (Verdict, bool) {
	c := &w.call
	v := Verdict{Token: c.Token, Action: Refuse, Reason: NoSlot, RetryAfter: d.limits.RetryAfter}
	if w.why == none {
		v.Reason = NoUpstream
	}
	if w.why == missing && c.Model != "" {
		v.Reason = NoModel
		if f, ok := d.forecasts[Key{c.Service, c.Model, ""}]; ok && now < f.until {
			v.RetryAfter = max(d.limits.RetryAfter, f.at-now)
			return v, max(f.at, now) > c.Latest
		}
	}
	return v, now > c.Arrived+time.Duration(float64(c.Latest-c.Arrived)*d.limits.Hold)
}

// Demand returns the calls that wait for something that no upstream offers.
func (d *Dispatcher) Demand(now time.Duration) []Demand {
	var demand []Demand
	at := map[Key]int{}
	for _, w := range d.waiting {
		c := &w.call
		if c.Model == "" || w.why == none {
			continue
		}
		key := Key{c.Service, c.Model, c.Adapter}
		i, ok := at[key]
		if !ok {
			i = len(demand)
			at[key] = i
			demand = append(demand, Demand{
				Service: c.Service, Model: c.Model, Adapter: c.Adapter, Slack: c.Target - now, Patience: c.Latest - now,
			})
		}
		demand[i].Waiting++
		demand[i].Slack = min(demand[i].Slack, c.Target-now)
		demand[i].Patience = max(demand[i].Patience, c.Latest-now)
	}
	return demand
}
