package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// queuedCall is a call that waits for an upstream.
type queuedCall struct {
	call Call
	// tried is set once an upstream was to be chosen, and outcome is the result of the latest attempt.
	tried   bool
	outcome selection
	// permitFrom is the upstream from which the call expects a permit; nil if it needs none
	// or something else.
	permitFrom *upstream
	// starved is set if the call's tenant or priority is, and turn is the virtual time of its tenant's turn.
	starved bool
	turn    float64
	// decided is set once there is a verdict.
	decided bool
}

// enqueue inserts a call into the queue, which is sorted by priority, then by target. Of
// equal priority, calls that go on with a stream come first.
func (d *Dispatcher) enqueue(w *queuedCall) {
	at, _ := slices.BinarySearchFunc(d.queue, w, compareQueued)
	d.queue = slices.Insert(d.queue, at, w)
}

func compareQueued(a, b *queuedCall) int {
	return cmp.Or(
		cmp.Compare(a.call.Priority, b.call.Priority),
		cmp.Compare(resumeRank(&a.call), resumeRank(&b.call)),
		cmp.Compare(a.call.Target, b.call.Target),
		cmp.Compare(a.call.ID, b.call.ID),
	)
}

// resumeRank is 0 for calls that go on with a stream and 1 for others.
func resumeRank(c *Call) int {
	if c.Pinned {
		return 0
	}
	return 1
}

// processQueue starts the waiting calls for which there is an upstream and refuses those
// that cannot start in time. Once no upstream was found for a requirement, later calls with
// the same one are not tried. Calls that avoid upstreams are tried by themselves: what they
// find says nothing about the others.
func (d *Dispatcher) processQueue(now time.Duration) []Verdict {
	var verdicts []Verdict
	type choice struct {
		requirement
		patient bool
	}
	failedSelections := map[choice]failedSelection{}
	permits := d.newPermitQueue(now)
	for _, w := range d.ordered(now) {
		key := choice{w.call.requirement(), w.call.isPatient(&d.limits)}
		failed, known := failedSelections[key]
		outcome := failed.outcome
		ceiling := d.memoryCeiling(&w.call, now)
		var u *upstream
		avoids := len(w.call.Avoid) > 0
		if !w.tried {
			if retryAfter, refused := d.shed(&w.call, now); refused {
				d.countPassedOver(&w.call, now)
				d.countShare(&w.call, false, now)
				w.decided = true
				verdicts = append(verdicts, Verdict{ID: w.call.ID, Action: Refuse, Reason: Overloaded, RetryAfter: retryAfter})
				continue
			}
		}
		w.tried = true
		if !known || avoids || outcome == lacksMemory && ceiling > failed.ceiling {
			u, outcome = d.choose(&w.call, now)
		}
		if u != nil {
			verdicts = append(verdicts, d.start(w, u, now))
			continue
		}
		if !avoids {
			failedSelections[key] = failedSelection{outcome, ceiling}
		}
		w.outcome = outcome
		w.call.waitedForMemory = w.call.waitedForMemory || outcome == lacksMemory
		if v, refused := d.refusal(w, permits, now); refused {
			d.countPassedOver(&w.call, now)
			if v.Reason == NoSlot || v.Reason == NoMemory {
				d.countShare(&w.call, false, now)
			}
			w.decided = true
			verdicts = append(verdicts, v)
			continue
		}
		if w.permitFrom != nil {
			permits.ahead[w.permitFrom]++
		}
	}
	d.queue = slices.DeleteFunc(d.queue, func(w *queuedCall) bool { return w.decided })
	return verdicts
}

// failedSelection is the outcome for a call for which no upstream was found, with its ceiling of memory: calls with a
// higher one may find an upstream.
type failedSelection struct {
	outcome selection
	ceiling int
}

func (d *Dispatcher) start(w *queuedCall, u *upstream, now time.Duration) Verdict {
	w.decided = true
	d.countTurn(&w.call)
	d.countShare(&w.call, true, now)
	tokens := w.call.tokens(d.memory[w.call.Service])
	r := &runningCall{call: w.call, upstream: u, tokens: tokens, limitSeq: u.request.rateLimit.Seq}
	expected := d.expectedFirstEvent(u, &w.call, now)
	d.expectFirstEvent(r, now)
	u.ownRunning++
	u.ownTokens.Unread += tokens.Unread
	u.ownTokens.Held += tokens.Held
	u.probing = u.consecutiveUnreachable > 0
	u.usePermit(now)
	if d.slotsGranted(u.desc.Service, now) {
		u.slots.Use(now)
	}
	d.countPassedOver(&w.call, now)
	d.running[w.call.ID] = r
	desc := *u.desc
	return Verdict{ID: w.call.ID, Action: Start, Upstream: &desc, FirstEvent: expected, Record: d.mustRecord(u, &w.call, now)}
}

// refusal returns the verdict that refuses a waiting call, and reports whether it is
// due. If all upstreams that could run the call asked for pauses that outlast it, the
// call is refused with the first of their ends as the time to retry; likewise if rate limits
// let none of them run it in time. If no upstream
// offers the model and there is a recent forecast, the call is refused when the model
// cannot run by the call's latest start. Otherwise the call is refused after
// NoForecastWaitFraction of its time.
func (d *Dispatcher) refusal(w *queuedCall, permits *permitQueue, now time.Duration) (Verdict, bool) {
	c := &w.call
	w.permitFrom = nil
	v := Verdict{ID: c.ID, Action: Refuse, Reason: NoSlot, RetryAfter: d.limits.RetryAfter}
	switch {
	case d.exceedsMemory(c):
		v.Reason, v.RetryAfter = TooLarge, tooLargeRetryAfter
		return v, true
	case w.outcome == noneKnown:
		v.Reason = NoUpstream
	case w.outcome == lacksMemory:
		v.Reason = NoMemory
	}
	if c.Pinned && !d.hasVersion(c) {
		v.Reason = NoVersion
		return v, true
	}
	if w.outcome == noneOffersModel && c.Model != "" && !c.Pinned {
		v.Reason = NoModel
		if f, ok := d.forecasts[ModelKey{c.Service, c.Model, ""}]; ok && now < f.expiresAt {
			v.RetryAfter = max(d.limits.RetryAfter, f.readyAt-now)
			return v, max(f.readyAt, now) > c.LatestStart
		}
	}
	if resumeAt, ok := d.pauseEnd(c, now); ok {
		v.RetryAfter = max(d.limits.RetryAfter, resumeAt-now)
		if resumeAt > c.LatestStart {
			v.Reason = Paused
			return v, true
		}
	}
	permitFrom, permitAt, all := permits.expect(c)
	w.permitFrom = permitFrom
	if permitFrom != nil && all {
		v.Reason, v.RetryAfter = RateLimited, max(d.limits.RetryAfter, permitAt-now)
		if permitAt > c.LatestStart {
			return v, true
		}
	}
	if c.Pinned {
		// No other node has more upstreams of its version.
		return v, now > c.LatestStart
	}
	return v, now > c.Arrived+time.Duration(float64(c.LatestStart-c.Arrived)*d.limits.NoForecastWaitFraction)
}

// Demand returns the calls that wait for each model and adapter, whether no upstream
// offers it or those that do are full, in the order of the queue. Calls for services
// without upstreams are left out.
func (d *Dispatcher) Demand(now time.Duration) []Demand {
	var demand []Demand
	indexByKey := map[requirement]int{}
	for _, w := range d.queue {
		c := &w.call
		if c.Model == "" || w.outcome == noneKnown {
			continue
		}
		key := c.requirement()
		key.stream = false
		i, ok := indexByKey[key]
		if !ok {
			i = len(demand)
			indexByKey[key] = i
			demand = append(demand, Demand{
				Service: c.Service, Model: c.Model, Adapter: c.Adapter, Pinned: c.Pinned, Software: c.Software,
				Slack: c.Target - now, Patience: c.LatestStart - now,
			})
		}
		demand[i].Waiting++
		demand[i].Slack = min(demand[i].Slack, c.Target-now)
		demand[i].Patience = max(demand[i].Patience, c.LatestStart-now)
	}
	return demand
}
