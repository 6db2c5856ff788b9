package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/routes"
)

const (
	// defaultRetryAfter is the Retry-After time of refusals for which no better
	// estimate exists.
	defaultRetryAfter = 500 * time.Millisecond
	// otherNodeRetryAfter is the Retry-After time of refusals where another entry node
	// can serve the caller at once.
	otherNodeRetryAfter = 20 * time.Millisecond
)

// call is one request of a caller, over all its attempts.
type call struct {
	edge    *Edge
	w       http.ResponseWriter
	r       *http.Request
	routing *routingConfig
	route   *routes.Route
	caller  Caller
	// keyed is set if the configuration requires keys; tenant is the tenant whose key the caller has, nil without one.
	keyed  bool
	tenant *routes.Tenant
	// quota is the call's use of its tenant's quota.
	quota quotaUse
	body  []byte
	// held is the memory that the call takes for bodies, of its request and of answers.
	held *bodybuffer.Share
	// fingerprint is the same for all repeats of the request.
	fingerprint string
	// arrived and deadline are on the clock of package boottime.
	arrived  time.Duration
	deadline time.Duration
	// forEngine is set if the call is for a model engine.
	forEngine bool
	// dispatchCall describes the call to the dispatcher.
	dispatchCall dispatch.Call
	// attemptID identifies the current attempt to the dispatcher.
	attemptID dispatch.CallID
	// conn is the connection of the current attempt; nil until there is one.
	conn *upstreamconn.Conn
	// denied is why the current attempt was not sent; nil if it was allowed.
	denied *denial
	// sentAt is when the current attempt was sent to its upstream; zero before that.
	sentAt time.Duration

	// mayHaveRun is set once an attempt failed that may have run at its upstream.
	mayHaveRun bool
	// possibleRuns counts the attempts that may have run; sends counts all attempts.
	possibleRuns int
	sends        int
	// fallback is an upstream's answer with a 5xx status. The caller gets it if no
	// other attempt succeeds.
	fallback *wholeAnswer
	// streamStarted is set once the header of a stream was sent to the caller.
	streamStarted bool
	// answerStarted is set once the header of the current attempt's answer was received.
	// pinned is set once the caller has an event, and awaitsRecord while the first one waits
	// for the stream to be recorded or for a recent list of upstreams. movedOnStall is set if
	// the stall watch ended the attempt because its upstream was silent; the retry budget was
	// then already charged for the next attempt.
	answerStarted, pinned, awaitsRecord, movedOnStall atomic.Bool
	// unresumable is set while no other attempt can go on with the stream: the last piece that the caller has is without an
	// id, or the route's answers are no streams.
	unresumable atomic.Bool
	// firstEventWait is the time from arrival to the first event of a stream;
	// longestPause is the longest time between two events.
	firstEventWait, longestPause time.Duration
	// expectedFirstEvent is the predicted time from sending the current attempt to its first event, zero if unknown;
	// attemptFirstEvent is the measured one.
	expectedFirstEvent, attemptFirstEvent time.Duration
	// record is the record of the software version at which the stream begins; nil if none is
	// needed.
	record *streamRecord
	// lastEventTime is when the latest event was sent to the caller.
	lastEventTime time.Duration
	// lastEventID is the id of the last event that was sent to the caller, and events is the
	// number of events.
	lastEventID string
	events      int
	// hasData is set once an event with data was sent to the caller.
	hasData bool
}

// attemptOutcome is how an attempt ended.
type attemptOutcome uint8

const (
	// outcomeAnswered means that the caller has its whole answer.
	outcomeAnswered attemptOutcome = iota + 1
	// outcomeUnsent means that the call did not reach an upstream.
	outcomeUnsent
	// outcomeNotRun means that the upstream answered that it did not run the call.
	outcomeNotRun
	// outcomeNotRunLast means the same, and that another refusal of the call by this upstream could not be proved.
	outcomeNotRunLast
	// outcomeUnknown means that the call may have run, and its answer was lost.
	outcomeUnknown
	// outcomeFailed means that the upstream answered with a 5xx status, which is kept
	// as the fallback.
	outcomeFailed
	// outcomeDenied means that the call was not sent because its key, or the proof that it is valid, was lost while
	// the connection was opened.
	outcomeDenied
	// outcomeCallerLeft means that the caller closed its connection.
	outcomeCallerLeft
)

// run sends the call to upstreams, one at a time, until the caller has an answer, has
// left or the call is given up.
func (c *call) run() {
	if c.takesUpStream() && !c.pinToOrigin() {
		return
	}
	c.edge.loop.Post(func() {
		c.edge.budgetFor(c.dispatchCall.Service).recordCall(&c.edge.cfg.Retry, boottime.Now())
	})
	for {
		if c.refuseIfQuarantined() {
			return
		}
		verdict, ok := c.waitForVerdict()
		if !ok {
			return
		}
		if verdict.Action == dispatch.Refuse {
			if verdict.Reason == dispatch.Overloaded {
				c.edge.metrics.Observe("retry after overload", verdict.RetryAfter)
			}
			c.giveUp(string(verdict.Reason), verdict.RetryAfter)
			return
		}
		if allowed, s := c.mayStart(); !allowed {
			c.finishAttempt(dispatch.Abandoned)
			c.giveUp(reasonQuarantined, s.RetryAfter())
			return
		}
		if denied := c.checkAuthorization(); denied != nil {
			c.finishAttempt(dispatch.Abandoned)
			c.giveUpDenied(denied)
			return
		}
		if verdict.Record || c.record != nil {
			c.startRecord(verdict.Upstream)
		}
		outcome := c.attemptWithinQuota(verdict.Upstream)
		switch outcome {
		case outcomeAnswered, outcomeCallerLeft:
			return
		case outcomeDenied:
			c.giveUpDenied(c.denied)
			return
		case outcomeUnknown, outcomeFailed:
			c.mayHaveRun = true
			c.possibleRuns++
			c.dispatchCall.Avoid = append(c.dispatchCall.Avoid, verdict.Upstream.ID)
		case outcomeNotRunLast:
			c.dispatchCall.Avoid = append(c.dispatchCall.Avoid, verdict.Upstream.ID)
		case outcomeNotRun:
			c.dispatchCall.RefusedBy = append(c.dispatchCall.RefusedBy, verdict.Upstream.ID)
		case outcomeUnsent:
		}
		if !c.retryOrGiveUp(outcome) {
			return
		}
		c.dispatchCall.Repeat = true
	}
}

// retryOrGiveUp reports whether the call may be sent again after an attempt with the
// given outcome. If not, it ends the call.
func (c *call) retryOrGiveUp(outcome attemptOutcome) bool {
	why := ""
	switch {
	case c.mayHaveRun && !c.route.MayRepeat():
		why = "no answer"
	case c.unresumable.Load():
		why = "stream cannot be resumed"
	case c.possibleRuns >= c.route.Attempts:
		why = "no answer from any attempt"
	case boottime.Now() >= c.deadline:
		why = "time is up"
	case c.edge.ending.Err() != nil:
		why = "node stops"
	case c.movedOnStall.Load():
		return true
	case outcome != outcomeUnsent && !c.edge.spendRetry(c.r.Context(), c.dispatchCall.Service):
		why = "no budget to send again"
	default:
		return true
	}
	c.giveUp(why, defaultRetryAfter)
	return false
}

// giveUp ends a call for which no upstream gave a final answer. The caller gets the
// fallback if there is one, otherwise 503 only if the call certainly did not run. If a
// stream has started, it aborts the connection by a panic with http.ErrAbortHandler.
func (c *call) giveUp(why string, retryAfter time.Duration) {
	switch {
	case c.streamStarted:
		// A regular end would make the incomplete stream look complete.
		c.log("broken off", eventlog.Fields{"why": why, "lastEvent": c.lastEventID})
		c.edge.metrics.Count("broken off: " + why)
		panic(http.ErrAbortHandler)
	case c.fallback != nil:
		c.writeWhole(*c.fallback)
	case !c.mayHaveRun:
		c.refuse(why, retryAfter)
	case boottime.Now() >= c.deadline:
		c.fail(http.StatusGatewayTimeout, why)
	default:
		c.fail(http.StatusBadGateway, why)
	}
}

// waitForVerdict submits the call and waits for the dispatcher's verdict. It returns
// false if the call ended instead: at its deadline, because the node stops, because the
// caller left, or because the call came into quarantine.
func (c *call) waitForVerdict() (dispatch.Verdict, bool) {
	e := c.edge
	c.dispatchCall.LatestStart = c.latestStart()
	submitted := c.dispatchCall
	submitted.ID = dispatch.CallID(e.lastCallID.Add(1))
	c.attemptID = submitted.ID
	verdicts := make(chan dispatch.Verdict, 1)
	e.waitingCalls.Add(1)
	defer e.waitingCalls.Add(-1)
	e.loop.Post(func() {
		e.waiters[submitted.ID] = verdicts
		e.deliver(e.dispatcher.Submit(submitted, boottime.Now()))
		if _, waiting := e.waiters[submitted.ID]; waiting {
			e.signalDemand()
		}
	})
	timer := time.NewTimer(c.deadline - boottime.Now())
	defer timer.Stop()
	for {
		replaced := c.quarantineReplaced()
		if s, onTrial := c.quarantined(); s != nil && !onTrial {
			c.withdraw(submitted.ID, verdicts)
			c.giveUp(reasonQuarantined, s.RetryAfter())
			return dispatch.Verdict{}, false
		}
		select {
		case v := <-verdicts:
			return c.logVerdict(v), true
		case <-replaced:
			continue
		case <-timer.C:
			c.withdraw(submitted.ID, verdicts)
			c.giveUp("time is up", defaultRetryAfter)
		case <-e.closing:
			c.withdraw(submitted.ID, verdicts)
			c.giveUp("node stops", otherNodeRetryAfter)
		case <-c.r.Context().Done():
			c.withdraw(submitted.ID, verdicts)
			c.log("caller left", eventlog.Fields{"while": "waiting"})
		}
		return dispatch.Verdict{}, false
	}
}

// logVerdict records the waiting time and the chosen upstream, and returns the verdict.
func (c *call) logVerdict(v dispatch.Verdict) dispatch.Verdict {
	c.edge.metrics.Observe("wait", boottime.Now()-c.arrived)
	c.expectedFirstEvent, c.attemptFirstEvent = v.FirstEvent, 0
	if v.Action == dispatch.Start {
		fields := eventlog.Fields{
			"upstream": v.Upstream.ID, "addr": v.Upstream.Addr, "software": v.Upstream.Software,
			"revision": v.Upstream.Revision, "attempt": c.sends + 1,
		}
		if v.FirstEvent > 0 {
			fields["expected"] = v.FirstEvent.Milliseconds()
		}
		if c.lastEventID != "" {
			fields["resumeAfter"] = c.lastEventID
		} else if c.caller.ResumeAfter != "" {
			fields["resumeAfter"], fields["resumes"] = c.caller.ResumeAfter, c.caller.ResumedID
		}
		c.log("sent", fields)
	}
	return v
}

// withdraw removes a call from the dispatcher. A verdict may have arrived meanwhile;
// the attempt that it started is then finished as abandoned.
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
		e.signalDemand()
	})
}

// deliver passes verdicts to the calls that wait for them. It runs on the loop.
func (e *Edge) deliver(verdicts []dispatch.Verdict) {
	for _, v := range verdicts {
		if waiter, ok := e.waiters[v.ID]; ok {
			delete(e.waiters, v.ID)
			waiter <- v
		}
	}
}

// budgetFor returns the retry budget of a service and creates it if needed. It runs on
// the loop.
func (e *Edge) budgetFor(service string) *retryBudget {
	b := e.budgets[service]
	if b == nil {
		b = &retryBudget{}
		e.budgets[service] = b
	}
	return b
}

// spendRetry charges one retry to the budget of a service. It returns false if the
// budget is used up, ctx ends or the node stops.
func (e *Edge) spendRetry(ctx context.Context, service string) bool {
	allowed := false
	err := e.loop.Do(ctx, func() {
		allowed = e.budgetFor(service).trySpend(&e.cfg.Retry, e.entryNodes.Load(), boottime.Now())
	})
	return err == nil && allowed
}

// attempt sends the call to one upstream and tells the dispatcher the result.
func (c *call) attempt(u *fleet.Upstream) attemptOutcome {
	c.sends++
	c.answerStarted.Store(false)
	c.movedOnStall.Store(false)
	c.sentAt, c.conn = 0, nil
	result, end := c.exchange(u)
	c.finishAttempt(result)
	c.reportCrashEvidence(u, result)
	return end
}

// finishAttempt tells the dispatcher the result of the current attempt.
func (c *call) finishAttempt(result dispatch.Result) {
	// Copied because the next attempt may set another ID before the posted function runs.
	id := c.attemptID
	c.edge.loop.Post(func() { c.edge.deliver(c.edge.dispatcher.Finish(id, result, boottime.Now())) })
}

// exchange sends the call over a connection to the upstream and relays the answer.
func (c *call) exchange(u *fleet.Upstream) (dispatch.Result, attemptOutcome) {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline-boottime.Now())
	defer cancel()
	connect := c.edge.pool.Get
	if c.wasRefusedBy(u) {
		// On a kept connection, a copy of the refusal could not be told from the answer to this attempt.
		connect = c.edge.pool.GetNew
	}
	conn, err := connect(ctx, u.Addr, c.caller.ID)
	if err != nil {
		return c.endUnsent(u, err)
	}
	if c.denied = c.checkAuthorization(); c.denied != nil {
		conn.Close()
		return dispatch.Abandoned, outcomeDenied
	}
	c.conn = conn
	// Closing the connection cancels the call at the upstream when the caller leaves or
	// the deadline passes.
	abort := conn.Aborter()
	stop := context.AfterFunc(ctx, abort)
	defer stop()
	defer context.AfterFunc(c.edge.ending, abort)()
	if err := conn.Send(c.upstreamRequest(u)); err != nil {
		conn.Close()
		if errors.Is(err, upstreamconn.ErrNotSent) {
			return c.endUnsent(u, err)
		}
		return c.endLost(u, err)
	}
	c.sentAt = boottime.Now()
	defer c.watchForStall(u, conn)()
	resp, err := conn.Receive(func(h http.Header) upstreamconn.Owner { return c.edge.dialect.Owner(h, c.caller) })
	if err != nil {
		conn.Close()
		return c.endLost(u, err)
	}
	return c.relay(u, conn, resp)
}

// upstreamRequest builds the request that the upstream receives.
func (c *call) upstreamRequest(u *fleet.Upstream) *upstreamconn.Request {
	rank, ranks := c.routing.table.Rank(c.tenant, c.route)
	header := c.edge.dialect.Forward(c.r.Header, Attempt{
		Upstream:    u.ID,
		Remaining:   c.deadline - boottime.Now(),
		Priority:    c.route.Priority,
		Resumes:     c.dispatchCall.Pinned,
		ForModel:    c.dispatchCall.Model != "",
		LastEventID: c.lastEventID,
		Keyed:       c.keyed,
		Tenant:      c.tenantName(),
		Rank:        rank,
		Ranks:       ranks,
	})
	for _, name := range hopHeaders {
		header.Del(name)
	}
	return &upstreamconn.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
	}
}

// endUnsent ends an attempt of which no byte was sent.
func (c *call) endUnsent(u *fleet.Upstream, err error) (dispatch.Result, attemptOutcome) {
	if c.r.Context().Err() != nil {
		c.log("caller left", eventlog.Fields{"while": "connecting"})
		return dispatch.Abandoned, outcomeCallerLeft
	}
	c.log("not sent", eventlog.Fields{"upstream": u.ID, "error": err.Error()})
	if errors.Is(err, upstreamconn.ErrFull) {
		return dispatch.Rejected, outcomeUnsent
	}
	return dispatch.Unreachable, outcomeUnsent
}

// endLost ends an attempt that may have run and whose answer was not received in full.
func (c *call) endLost(u *fleet.Upstream, err error) (dispatch.Result, attemptOutcome) {
	if c.r.Context().Err() != nil {
		c.log("caller left", eventlog.Fields{"while": "running", "upstream": u.ID})
		return dispatch.Abandoned, outcomeCallerLeft
	}
	if c.streamStarted && c.sends == 1 && c.route.PauseTarget > 0 && boottime.Now() >= c.deadline {
		// A stream that its first upstream does not finish by the deadline counts as paused.
		c.edge.loop.Post(func() { c.edge.recordStreamQuality(u.ID, true) })
	}
	fields := eventlog.Fields{"upstream": u.ID, "error": err.Error(), "lastEvent": c.lastEventID, "request": c.fingerprint}
	if c.conn != nil {
		from := c.conn.Provenance()
		fields["conn"], fields["connCalls"], fields["detour"] = from.Conn, from.Calls, from.Relayed
	}
	if len(c.caller.SharedParts) > 0 {
		fields["parts"] = c.caller.SharedParts
	}
	c.log("lost", fields)
	return dispatch.Lost, outcomeUnknown
}

// log writes an event with the call's identity, age, route and model.
func (c *call) log(event string, fields eventlog.Fields) {
	fields["id"] = c.caller.ID
	fields["age"] = (boottime.Now() - c.arrived).Milliseconds()
	if c.route != nil {
		fields["route"] = c.route.Name
		fields["version"] = c.routing.version
	}
	if c.tenant != nil {
		fields["tenant"] = c.tenant.Name
	}
	if c.dispatchCall.Model != "" {
		fields["model"], fields["adapter"] = c.dispatchCall.Model, c.dispatchCall.Adapter
	}
	c.edge.log.Event(event, fields)
}
