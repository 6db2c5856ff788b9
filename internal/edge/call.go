package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/routes"
)

const (
	// retryLater is the pause asked of callers where nothing better is known.
	retryLater = 500 * time.Millisecond
	// retryElsewhere is the pause asked of callers whom another node can serve.
	retryElsewhere = 20 * time.Millisecond
)

// call is one request of a caller on its way.
type call struct {
	edge     *Edge
	w        http.ResponseWriter
	r        *http.Request
	view     *view
	route    *routes.Route
	caller   Caller
	body     []byte
	arrived  time.Duration
	deadline time.Duration
	wants    dispatch.Call
	// id names the present attempt.
	id dispatch.CallID

	// mayHaveRun says that an attempt may have run without an answer.
	mayHaveRun bool
	// ran counts the upstreams on which the call may have run.
	ran   int
	sends int
	// fallback is the failure that an upstream answered, for when no other attempt
	// does better.
	fallback *wholeAnswer
	// begun says that the caller has got the header of a stream.
	begun bool
	// heardFrom says that the present attempt's answer has begun, moved that the
	// attempt was ended because its upstream was silent, which the budget has paid.
	heardFrom, moved atomic.Bool
	// first is how long the caller waited for the first event of a stream, pause the
	// longest time between two.
	first, pause time.Duration
	// passed is when the latest event was passed on.
	passed time.Duration
	// lastEvent is the id of the last event that the caller got.
	lastEvent string
}

// ending is how an attempt ended.
type ending uint8

const (
	// answered attempts have given the caller its whole answer.
	answered ending = iota + 1
	// unsent attempts did not reach an upstream.
	unsent
	// notRun attempts reached one that did not run them.
	notRun
	// unknown attempts may have run.
	unknown
	// failedRun attempts ran and failed; their answer can still be passed on.
	failedRun
	// left means that the caller has gone.
	left
)

// run sends the call to upstreams until it has an answer or must be given up.
func (c *call) run() {
	c.edge.loop.Post(func() {
		c.edge.budget(c.wants.Service).earn(&c.edge.cfg.Retry, boottime.Now())
	})
	for {
		verdict, ok := c.wait()
		if !ok {
			return
		}
		if verdict.Action == dispatch.Refuse {
			c.giveUp(string(verdict.Reason), verdict.RetryAfter)
			return
		}
		end := c.attempt(verdict.Upstream)
		switch end {
		case answered, left:
			return
		case unknown, failedRun:
			c.mayHaveRun = true
			c.ran++
			c.wants.Avoid = append(c.wants.Avoid, verdict.Upstream.ID)
		case unsent, notRun:
		}
		if !c.again(end) {
			return
		}
		c.wants.Repeat = true
	}
}

// again decides whether the call is sent once more, and ends it if not.
func (c *call) again(end ending) bool {
	why := ""
	switch {
	case c.mayHaveRun && !c.route.MayRepeat():
		why = "no answer"
	case c.ran >= c.route.Attempts:
		why = "no answer from any attempt"
	case boottime.Now() >= c.deadline:
		why = "time is up"
	case c.moved.Load():
		return true
	case end != unsent && !c.edge.spend(c.r.Context(), c.wants.Service):
		why = "no budget to send again"
	default:
		return true
	}
	c.giveUp(why, retryLater)
	return false
}

// giveUp ends a call without an answer of an upstream: as not run only where
// that is certain.
func (c *call) giveUp(why string, after time.Duration) {
	switch {
	case c.begun:
		// The caller must see that its stream is not complete.
		c.log("broken off", eventlog.Fields{"why": why, "lastEvent": c.lastEvent})
		c.edge.metrics.Count("broken off: " + why)
		panic(http.ErrAbortHandler)
	case c.fallback != nil:
		c.write(*c.fallback)
	case !c.mayHaveRun:
		c.refuse(http.StatusServiceUnavailable, why, after)
	case boottime.Now() >= c.deadline:
		c.fail(http.StatusGatewayTimeout, why)
	default:
		c.fail(http.StatusBadGateway, why)
	}
}

// wait waits for a verdict. It returns false when the call has ended.
func (c *call) wait() (dispatch.Verdict, bool) {
	e := c.edge
	wants := c.wants
	wants.ID = dispatch.CallID(e.lastCallID.Add(1))
	c.id = wants.ID
	verdicts := make(chan dispatch.Verdict, 1)
	e.waitingCalls.Add(1)
	defer e.waitingCalls.Add(-1)
	e.loop.Post(func() {
		e.waiters[wants.ID] = verdicts
		e.deliver(e.dispatcher.Submit(wants, boottime.Now()))
		if _, still := e.waiters[wants.ID]; still {
			e.stir()
		}
	})
	timer := time.NewTimer(c.deadline - boottime.Now())
	defer timer.Stop()
	select {
	case v := <-verdicts:
		return c.decided(v), true
	case <-timer.C:
		c.withdraw(wants.ID, verdicts)
		c.giveUp("time is up", retryLater)
	case <-e.closing:
		c.withdraw(wants.ID, verdicts)
		c.giveUp("node stops", retryElsewhere)
	case <-c.r.Context().Done():
		c.withdraw(wants.ID, verdicts)
		c.log("caller left", eventlog.Fields{"while": "waiting"})
	}
	return dispatch.Verdict{}, false
}

// decided logs a verdict.
func (c *call) decided(v dispatch.Verdict) dispatch.Verdict {
	c.edge.metrics.Observe("wait", boottime.Now()-c.arrived)
	if v.Action == dispatch.Start {
		c.log("sent", eventlog.Fields{
			"upstream": v.Upstream.ID, "addr": v.Upstream.Addr, "revision": v.Upstream.Revision, "attempt": c.sends + 1,
		})
	}
	return v
}

// withdraw takes back a call that may have a verdict by now.
func (c *call) withdraw(id dispatch.CallID, verdicts chan dispatch.Verdict) {
	e := c.edge
	e.loop.Post(func() {
		delete(e.waiters, id)
		e.dispatcher.Withdraw(id)
		select {
		case v := <-verdicts:
			if v.Action == dispatch.Start {
				e.deliver(e.dispatcher.Finish(id, dispatch.Abandoned, boottime.Now()))
			}
		default:
		}
		e.stir()
	})
}

// deliver hands verdicts to the calls. It runs on the loop.
func (e *Edge) deliver(verdicts []dispatch.Verdict) {
	for _, v := range verdicts {
		if waiter, ok := e.waiters[v.ID]; ok {
			delete(e.waiters, v.ID)
			waiter <- v
		}
	}
}

// budget finds the budget of a service. It runs on the loop.
func (e *Edge) budget(service string) *retryBudget {
	b := e.budgets[service]
	if b == nil {
		b = &retryBudget{}
		e.budgets[service] = b
	}
	return b
}

// spend takes a second send off the budget of a service.
func (e *Edge) spend(ctx context.Context, service string) bool {
	allowed := false
	err := e.loop.Do(ctx, func() {
		allowed = e.budget(service).spend(&e.cfg.Retry, e.entries.Load(), boottime.Now())
	})
	return err == nil && allowed
}

// attempt sends the call to one upstream.
func (c *call) attempt(u *fleet.Upstream) ending {
	c.sends++
	c.heardFrom.Store(false)
	c.moved.Store(false)
	result, end := c.exchange(u)
	// The next attempt has another ID, perhaps before this runs.
	id := c.id
	c.edge.loop.Post(func() { c.edge.deliver(c.edge.dispatcher.Finish(id, result, boottime.Now())) })
	return end
}

// exchange sends the call on a connection and relays the answer.
func (c *call) exchange(u *fleet.Upstream) (dispatch.Result, ending) {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline-boottime.Now())
	defer cancel()
	conn, err := c.edge.pool.Get(ctx, u.Addr, false)
	if err != nil {
		return c.unsent(u, err)
	}
	// A caller that leaves, and the deadline, end the call at the upstream too.
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if err := conn.Send(c.request(u)); err != nil {
		conn.Close()
		if errors.Is(err, upstreamconn.ErrNotSent) {
			return c.unsent(u, err)
		}
		return c.lost(u, err)
	}
	defer c.watch(u, conn)()
	resp, err := conn.Receive(func(h http.Header) bool { return c.edge.dialect.Answers(h, c.caller) })
	if err != nil {
		conn.Close()
		return c.lost(u, err)
	}
	return c.relay(u, conn, resp)
}

// request is the call as the upstream gets it.
func (c *call) request(u *fleet.Upstream) *upstreamconn.Request {
	header := c.edge.dialect.Forward(c.r.Header, Attempt{
		Upstream:  u.ID,
		Remaining: c.deadline - boottime.Now(),
		Priority:  c.route.Priority,
		Model:     c.wants.Model != "",
		LastEvent: c.lastEvent,
	})
	for _, name := range hopHeaders {
		header.Del(name)
	}
	return &upstreamconn.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
	}
}

// unsent ends an attempt of which no byte was written.
func (c *call) unsent(u *fleet.Upstream, err error) (dispatch.Result, ending) {
	if c.r.Context().Err() != nil {
		c.log("caller left", eventlog.Fields{"while": "connecting"})
		return dispatch.Abandoned, left
	}
	c.log("not sent", eventlog.Fields{"upstream": u.ID, "error": err.Error()})
	if errors.Is(err, upstreamconn.ErrFull) {
		return dispatch.Rejected, unsent
	}
	return dispatch.Unreachable, unsent
}

// lost ends an attempt that may have run.
func (c *call) lost(u *fleet.Upstream, err error) (dispatch.Result, ending) {
	if c.r.Context().Err() != nil {
		c.log("caller left", eventlog.Fields{"while": "running", "upstream": u.ID})
		return dispatch.Abandoned, left
	}
	if c.begun && c.sends == 1 && c.route.PauseTarget > 0 && boottime.Now() >= c.deadline {
		// It was too slow to end in time.
		c.edge.loop.Post(func() { c.edge.judge(u.ID, true) })
	}
	c.log("lost", eventlog.Fields{"upstream": u.ID, "error": err.Error(), "lastEvent": c.lastEvent})
	return dispatch.Lost, unknown
}

// log writes a line about the call.
func (c *call) log(event string, fields eventlog.Fields) {
	fields["id"] = c.caller.ID
	fields["age"] = (boottime.Now() - c.arrived).Milliseconds()
	if c.route != nil {
		fields["route"] = c.route.Name
		fields["version"] = c.view.version
	}
	if c.wants.Model != "" {
		fields["model"], fields["adapter"] = c.wants.Model, c.wants.Adapter
	}
	c.edge.log.Event(event, fields)
}
