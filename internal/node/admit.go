package node

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/placement"
)

const (
	// startMargin is the time between the latest start of a call and its deadline, so
	// that the first token can arrive in time.
	startMargin = 250 * time.Millisecond
	// marginDivisor limits the margin to 1/marginDivisor of the call's remaining time.
	marginDivisor = 8
	// defaultRetryAfter is the Retry-After value when no better estimate is available.
	defaultRetryAfter = time.Second
)

// admitter implements gateway.Admitter by asking the control loop.
type admitter struct{ loop *controlLoop }

// ticket implements gateway.Ticket for an admitted call.
type ticket struct {
	loop *controlLoop
	id   uint64
	key  demandKey
}

// Release implements gateway.Ticket.
func (t *ticket) Release() {
	t.loop.post(context.Background(), func() {
		t.loop.throttler.Release(t.id, t.loop.now())
		t.loop.demandOf(t.key).running--
	})
}

// firstVerdict is the throttler's immediate decision on a call. waiter is set only if
// the call was queued.
type firstVerdict struct {
	id       uint64
	decision admission.Decision
	waiter   *waiter
}

// Admit implements gateway.Admitter.
func (a *admitter) Admit(ctx context.Context, c *gateway.Call) (gateway.Ticket, error) {
	key := demandKey{Key: placement.Key{Customer: c.Customer(), Model: c.Model.Name}, Adapter: c.Adapter}
	verdict, ok := a.requestAdmission(ctx, c, key)
	if !ok {
		return nil, gateway.NewRefusal(gateway.ReasonDeadline, defaultRetryAfter, "the node did not decide in time")
	}
	switch verdict.decision.Verdict {
	case admission.Run:
		return &ticket{loop: a.loop, id: verdict.id, key: key}, nil
	case admission.Refused:
		return nil, refusalOf(verdict.decision)
	default:
		return a.wait(ctx, verdict, key)
	}
}

// requestAdmission returns the first verdict on a call. If ctx ends before the control
// loop answers, it reports false and the call's place is freed.
func (a *admitter) requestAdmission(ctx context.Context, c *gateway.Call, key demandKey) (firstVerdict, bool) {
	var decided firstVerdict // accessed on the control goroutine only
	verdict, ok := call(ctx, a.loop, func() firstVerdict {
		decided = a.loop.arrive(c, key)
		return decided
	})
	if !ok {
		a.loop.post(context.Background(), func() { a.loop.cancelCall(decided.id, key) })
	}
	return verdict, ok
}

// wait returns the final verdict on a queued call.
func (a *admitter) wait(ctx context.Context, verdict firstVerdict, key demandKey) (gateway.Ticket, error) {
	select {
	case d := <-verdict.waiter.decision:
		if d.Verdict == admission.Run {
			return &ticket{loop: a.loop, id: verdict.id, key: key}, nil
		}
		return nil, refusalOf(d)
	case <-ctx.Done():
		a.loop.post(context.Background(), func() { a.loop.cancelCall(verdict.id, key) })
		return nil, gateway.NewRefusal(gateway.ReasonDeadline, defaultRetryAfter, "the call could not start in time")
	}
}

// arrive submits a call to the throttler and counts its demand.
func (l *controlLoop) arrive(c *gateway.Call, key demandKey) firstVerdict {
	l.nextID++
	now := l.now()
	remaining := time.Until(c.Deadline)
	deadline := now + remaining - min(startMargin, remaining/marginDivisor)
	d := l.throttler.Arrive(admission.Request{
		ID:       l.nextID,
		Customer: c.Customer(),
		Target:   admissionTarget(c),
		Deadline: deadline,
	}, now)
	verdict := firstVerdict{id: l.nextID, decision: d}
	switch d.Verdict {
	case admission.Run:
		counts := l.demandOf(key)
		counts.arrivals++
		counts.running++
	case admission.Queued:
		l.demandOf(key).arrivals++
		verdict.waiter = &waiter{key: key, deadline: deadline, decision: make(chan admission.Decision, 1)}
		l.waiters[verdict.id] = verdict.waiter
		l.requestReport()
	case admission.Refused:
		l.demandOf(key).arrivals++
	}
	return verdict
}

// cancelCall frees the place of a call whose caller disconnected or whose deadline
// passed. The call may have been admitted in the meantime; it then stops counting as
// running.
func (l *controlLoop) cancelCall(id uint64, key demandKey) {
	_, waiting := l.waiters[id]
	delete(l.waiters, id)
	if l.throttler.Cancel(id) && !waiting {
		l.demandOf(key).running--
	}
}

// admissionTarget returns the throttler's target key for a call.
func admissionTarget(c *gateway.Call) string {
	if c.Service != "" {
		return c.Target()
	}
	return targetKey(c.Customer(), c.Model.Name, c.Adapter)
}

// refusalOf converts the throttler's refusal to the gateway's answer to the caller.
func refusalOf(d admission.Decision) *gateway.Refusal {
	switch d.Reason {
	case admission.QueueFull:
		return gateway.NewRefusal(gateway.ReasonQueueFull, d.RetryAfter, "the contract's queue is full")
	case admission.Late:
		return gateway.NewRefusal(gateway.ReasonInfeasible, d.RetryAfter, "the call could not start within the contract's wait")
	case admission.NoShare:
		return gateway.NewRefusal(gateway.ReasonNoShare, d.RetryAfter, "this node has no share of the contract's capacity")
	case admission.NoContract:
		return gateway.NewRefusal(gateway.ReasonUnauthorized, 0, "the contract has ended")
	case admission.Unavailable, admission.NoEstimate:
		return gateway.NewRefusal(gateway.ReasonNoUpstream, d.RetryAfter, "no upstream can serve the call within the contract's wait")
	default:
		return gateway.NewRefusal(gateway.ReasonInfeasible, defaultRetryAfter, "the call was refused: "+d.Reason.String())
	}
}
