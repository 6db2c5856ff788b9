package controller

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/pause"
)

const (
	// lastOrderInterval is the pause between questions to the other members, and
	// lastOrderTimeout bounds one of them.
	lastOrderInterval = 100 * time.Millisecond
	lastOrderTimeout  = 300 * time.Millisecond
)

// orderWait returns how much longer the answer of another member makes a new orderer wait.
// The order lease lasts from the end of the member's latest order; a process that has sent
// none has no order in flight, as those of its predecessor ended with it.
func orderWait(a nodelink.LastOrderAnswer, lease time.Duration) time.Duration {
	switch {
	case a.Sending:
		return lease
	case !a.Ordered:
		return 0
	}
	return max(0, lease-a.Since)
}

// shortenOrderWait asks the other members when they last sent an order, and lets this node
// send orders as soon as the lease of each has passed. Without an answer of every member it
// waits for the whole lease. It applies only where engines check fences: where they do not,
// an order of a process that was killed may still be under way.
func (c *Controller) shortenOrderWait(ctx context.Context, term uint64, until time.Duration) {
	for c.cfg.FencesChecked && boottime.Now() < until {
		asked := boottime.Now()
		if wait, ok := c.longestOrderWait(ctx); ok {
			c.loop.Post(func() {
				// An engine may have refused an order as fenced since the question.
				if c.term != term || asked < c.leaseWaitStart || asked+wait >= c.ordersAllowedAt {
					return
				}
				c.ordersAllowedAt = asked + wait
				c.log.Event("order lease passed", eventlog.Fields{"term": term, "waitMillis": wait.Milliseconds()})
			})
			return
		}
		if pause.For(ctx, lastOrderInterval); ctx.Err() != nil {
			return
		}
	}
}

// longestOrderWait returns the longest wait that any other member demands. It reports false
// if a member does not answer or still sends orders.
func (c *Controller) longestOrderWait(ctx context.Context) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, lastOrderTimeout)
	defer cancel()
	longest := time.Duration(0)
	for _, m := range c.stateMachine.memberList() {
		if m.Link == c.cfg.Listen.Links {
			continue
		}
		var answer nodelink.LastOrderAnswer
		if err := c.mesh.Call(ctx, m.Link, nodelink.LastOrder, struct{}{}, &answer); err != nil || answer.Sending {
			return 0, false
		}
		longest = max(longest, orderWait(answer, time.Duration(c.cfg.OrderLease)))
	}
	return longest, true
}

// serveLastOrder tells when this process last sent an order.
func (c *Controller) serveLastOrder(ctx context.Context, _ string, _ struct{}) (any, error) {
	var answer nodelink.LastOrderAnswer
	err := c.loop.Do(ctx, func() {
		answer.Sending = c.fence != 0 || c.ordersInFlight > 0
		if answer.Ordered = c.lastOrderAt != 0; answer.Ordered {
			answer.Since = boottime.Now() - c.lastOrderAt
		}
	})
	return answer, err
}
