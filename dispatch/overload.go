package dispatch

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// overloadFrom is the share of the slots of a model's engines from which on the model counts as overloaded:
	// calls wait inside of all of them.
	overloadFrom = 1.1
	// shedFrom is the share of the slots from which on calls for such a model are refused, and below which it no
	// longer counts as overloaded. shedOver is the further share over which those that are refused grow from none
	// to all.
	shedFrom, shedOver = 0.75, 0.3
	// urgentReserve is the share of the slots by which calls of the most urgent priority may exceed those of others:
	// engines run them first, so that they hardly notice the others. Less urgent ones get a part of it that falls
	// with the square of the rank of their priority.
	urgentReserve = 0.5
	// patientReserve is the share of the slots of such a model's engines by which calls that can wait may exceed
	// them. At the nodes they would wait for a free slot that calls of other nodes take before them; the engine lets
	// them wait in turn.
	patientReserve = 0.5
	// overloadTTL is how long a model counts as overloaded without new counts of the planner, and the wait asked of
	// callers that are refused where no other engine is expected to hold it. The loss of a leader takes about as long.
	overloadTTL = 5 * time.Second
)

// overload is the state of a model whose engines have more calls than they can run.
type overload struct {
	// use is the share of their slots that calls take, by the planner's counts at time at.
	use float64
	at  time.Duration
}

// shed decides whether a call is refused at once because the engines that hold its model have more calls than they
// can run, and when its caller should try again.
//
// It answers this load pattern: demand moves to a model that few engines hold, so that several times more calls
// arrive than they finish. Sent there, nearly all of them are late or lost: engines read prompts instead of going on
// with answers, and put calls back for more urgent ones. Each call has a limit of its own for the share of slots that
// the engines use together, spread evenly from shedFrom on, so that the share of the calls that all nodes admit falls
// steadily as the engines fill (random early detection, Floyd and Jacobson 1993).
//
// Calls that can wait for the running ones to end are not refused, nor are those that an engine may have begun.
// Without recent counts of the planner the last share holds for overloadTTL.
func (d *Dispatcher) shed(c *Call, now time.Duration) (retryAfter time.Duration, refused bool) {
	if c.Model == "" || c.Pinned || c.Repeat || c.isPatient(&d.limits) {
		return 0, false
	}
	o, overloaded := d.observeOverload(ModelKey{Service: c.Service, Model: c.Model}, now)
	if !overloaded {
		return 0, false
	}
	limit := shedLimit(c)
	if d.starved(c, now) {
		limit = max(limit, shedFrom+urgentReserve)
	}
	limit -= d.excess(c, now)
	return d.overloadRetryAfter(c, now), o.use >= limit
}

// isPatient reports whether the answer to a call is due so late that the calls which run now can end before.
func (c *Call) isPatient(l *Limits) bool { return c.Target-c.Arrived >= l.LoadReportTTL }

// observeOverload returns the state of a model, updated with the planner's counts; ok is false if the model is not
// overloaded.
func (d *Dispatcher) observeOverload(k ModelKey, now time.Duration) (o overload, ok bool) {
	o, known := d.overloads[k]
	if now-d.plannerCountAt >= d.limits.LoadReportTTL || !d.plannerCounted {
		if known && now-o.at >= overloadTTL {
			delete(d.overloads, k)
			known = false
		}
		return o, known
	}
	use, held := d.slotUse(k, now)
	if !held || use < shedFrom || !known && use < overloadFrom {
		delete(d.overloads, k)
		return overload{}, false
	}
	o = overload{use: use, at: now}
	d.overloads[k] = o
	for _, u := range d.byService[k.Service] {
		if u.desc.Holds(k.Model, "") {
			u.overloadedUntil = now + overloadTTL
		}
	}
	return o, true
}

// Overloads returns the models whose calls are refused for overload, with the share of the slots of their engines that
// calls take; the keys have no adapter.
func (d *Dispatcher) Overloads(now time.Duration) map[ModelKey]float64 {
	all := map[ModelKey]float64{}
	for k := range d.overloads {
		if o, ok := d.observeOverload(k, now); ok {
			all[k] = o.use
		}
	}
	return all
}

// slotUse returns the share of the slots that calls take, by the planner's counts, at the engines that hold a model
// and may be sent calls. ok is false if there are none.
func (d *Dispatcher) slotUse(k ModelKey, now time.Duration) (use float64, ok bool) {
	c := Call{Service: k.Service, Model: k.Model}
	calls, slots := 0, 0
	for _, u := range d.byService[k.Service] {
		if d.eligible(u, &c, now) && d.mayBeSent(u, now) {
			calls += u.ownRunning + u.plannerCount
			slots += u.slotCount()
		}
	}
	return float64(calls) / float64(max(1, slots)), slots > 0
}

// shedLimit returns the share of slots in use up to which a call is admitted.
func shedLimit(c *Call) float64 {
	rank := float64(1 + max(0, c.Rank))
	return shedFrom + urgentReserve/(rank*rank) + shedOver*callDraw(c.ID)
}

// callDraw returns a number from 0 to 1 that depends only on the call.
func callDraw(id CallID) float64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(id))
	return float64(xxhash.Sum64(buf[:])>>11) / (1 << 53)
}
