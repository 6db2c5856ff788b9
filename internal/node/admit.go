package node

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/placement"
)

const (
	// startMargin is kept between the latest start of a call and its deadline,
	// for the first token to arrive.
	startMargin = 250 * time.Millisecond
	// marginPart bounds startMargin to a part of the call's remaining time.
	marginPart = 8
	// retryDefault is when to come back where nothing better is known.
	retryDefault = time.Second
)

// admitter decides on calls by asking the control loop.
type admitter struct{ loop *loop }

// ticket is an admitted call.
type ticket struct {
	loop *loop
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

// arrival is the first verdict on a call.
type arrival struct {
	id       uint64
	decision admission.Decision
	waiter   *waiter
}

// Admit implements gateway.Admitter.
func (a *admitter) Admit(ctx context.Context, c *gateway.Call) (gateway.Ticket, error) {
	key := demandKey{Key: placement.Key{Customer: c.Customer(), Model: c.Model.Name}, Adapter: c.Adapter}
	arr, ok := a.arrive(ctx, c, key)
	if !ok {
		return nil, gateway.NewRefusal(gateway.ReasonDeadline, retryDefault, "the node did not decide in time")
	}
	switch arr.decision.Verdict {
	case admission.Run:
		return &ticket{loop: a.loop, id: arr.id, key: key}, nil
	case admission.Refused:
		return nil, refusalOf(arr.decision)
	default:
		return a.wait(ctx, arr, key)
	}
}

// arrive gets the first verdict on a call. Where the caller gives up before it
// comes, whatever place it gives is freed.
func (a *admitter) arrive(ctx context.Context, c *gateway.Call, key demandKey) (arrival, bool) {
	var decided arrival // belongs to the control loop
	arr, ok := call(ctx, a.loop, func() arrival {
		decided = a.loop.arrive(c, key)
		return decided
	})
	if !ok {
		a.loop.post(context.Background(), func() { a.loop.cancel(decided.id, key) })
	}
	return arr, ok
}

// wait waits for the final verdict on a queued call.
func (a *admitter) wait(ctx context.Context, arr arrival, key demandKey) (gateway.Ticket, error) {
	select {
	case d := <-arr.waiter.decided:
		if d.Verdict == admission.Run {
			return &ticket{loop: a.loop, id: arr.id, key: key}, nil
		}
		return nil, refusalOf(d)
	case <-ctx.Done():
		a.loop.post(context.Background(), func() { a.loop.cancel(arr.id, key) })
		return nil, gateway.NewRefusal(gateway.ReasonDeadline, retryDefault, "the call could not start in time")
	}
}

// arrive asks the throttler for a call's admission.
func (l *loop) arrive(c *gateway.Call, key demandKey) arrival {
	l.nextID++
	now := l.now()
	left := time.Until(c.Deadline)
	deadline := now + left - min(startMargin, left/marginPart)
	d := l.throttler.Arrive(admission.Request{
		ID:       l.nextID,
		Customer: c.Customer(),
		Target:   admissionTarget(c),
		Deadline: deadline,
	}, now)
	arr := arrival{id: l.nextID, decision: d}
	switch d.Verdict {
	case admission.Run:
		dm := l.demandOf(key)
		dm.arrivals++
		dm.running++
	case admission.Queued:
		l.demandOf(key).arrivals++
		arr.waiter = &waiter{key: key, deadline: deadline, decided: make(chan admission.Decision, 1)}
		l.waiters[arr.id] = arr.waiter
		l.report()
	case admission.Refused:
		l.demandOf(key).arrivals++
	}
	return arr
}

// cancel frees the place of a call whose caller is gone or whose time is over.
// The verdict may have been given in the meantime.
func (l *loop) cancel(id uint64, key demandKey) {
	_, waiting := l.waiters[id]
	delete(l.waiters, id)
	if l.throttler.Cancel(id) && !waiting {
		l.demandOf(key).running--
	}
}

func admissionTarget(c *gateway.Call) string {
	if c.Service != "" {
		return c.Target()
	}
	return targetKey(c.Customer(), c.Model.Name, c.Adapter)
}

// refusalOf maps a throttler's refusal to the caller's answer.
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
		return gateway.NewRefusal(gateway.ReasonInfeasible, retryDefault, "the call was refused: "+d.Reason.String())
	}
}
