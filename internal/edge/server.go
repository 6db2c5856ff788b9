package edge

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/routes"
)

const (
	// readHeaderTimeout and idleTimeout bound callers' connections. Both exceed the
	// limits of any configuration, which package connlimit enforces.
	readHeaderTimeout = 20 * time.Second
	idleTimeout       = 90 * time.Second
	// defaultBodyLimit bounds a request body, in bytes, where the configuration states
	// no limit.
	defaultBodyLimit = 4 << 20
	// balancerLag is how long the load balancer may still send new connections after
	// the readiness check began to fail: it checks once a second and needs two
	// failures.
	balancerLag = 3 * time.Second
	// stopReserve is subtracted twice from the time for a stop: once for the last answers,
	// and once for the end of the process and its last log lines.
	stopReserve = 300 * time.Millisecond
	// defaultPatience is the assumed waiting time of callers that state none.
	defaultPatience = 30 * time.Second
)

// serveCallers serves callers until ctx ends, and then until drain returns.
func (e *Edge) serveCallers(ctx context.Context) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- e.serve(serveCtx, e.cfg.Listen.Callers, e.callerListener(), http.HandlerFunc(e.handle), stopReserve)
	}()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	e.drain()
	stopServing()
	return <-serveErr
}

// drain delays the end of the server. It waits until the load balancer sends no more
// connections, turns away the calls that have not started, and waits for the others
// until the time for the stop is nearly over.
func (e *Edge) drain() {
	start := time.Now()
	time.Sleep(balancerLag)
	close(e.closing)
	maxDrain := time.Duration(e.cfg.Stop) - 2*stopReserve
	for time.Since(start) < maxDrain && e.activeCalls.Load() > 0 {
		time.Sleep(tickInterval)
	}
	e.end()
	e.log.Event("drained", eventlog.Fields{"left": e.activeCalls.Load(), "millis": time.Since(start).Milliseconds()})
}

// Stop makes the readiness check fail, so that the load balancer sends no more callers.
func (e *Edge) Stop() {
	e.stopAt.CompareAndSwap(0, int64(boottime.Now()))
	e.stopping.Store(true)
}

// outlastsStop reports whether the node stops and may have to cut the call off.
func (c *call) outlastsStop() bool {
	if !c.edge.stopping.Load() {
		return false
	}
	end := time.Duration(c.edge.stopAt.Load()) + time.Duration(c.edge.cfg.Stop) - 2*stopReserve
	return c.deadline > end && c.arrived+longestRun(c.route, &c.caller) > end
}

// longestRun estimates how long a call runs, waits included, if its upstreams are busy.
func longestRun(r *routes.Route, c *Caller) time.Duration {
	if r.Kind == routes.Stream {
		return startReserve + busyFactor*time.Duration(c.OutputTokens)*timePerToken
	}
	return busyFactor * r.Target
}

// handle serves one request of a caller.
func (e *Edge) handle(w http.ResponseWriter, r *http.Request) {
	e.activeCalls.Add(1)
	defer e.activeCalls.Add(-1)
	c := &call{edge: e, w: w, r: r, arrived: boottime.Now(), caller: e.dialect.Caller(r.Header), held: e.bodies.NewShare()}
	defer c.held.Release()
	// A chunked request that also states a length could smuggle another request. net/http
	// does not show that length, so no connection is kept after a chunked request.
	if e.stopping.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if c.routing = e.awaitConfiguration(r.Context(), c.caller.MaxWait); c.routing == nil {
		c.refuse("no configuration yet", defaultRetryAfter)
		return
	}
	// The proof is checked before the configuration is read: what is read is as recent as what was proved, or newer.
	current := e.isCurrent()
	c.routing = e.routing.Load()
	c.route = c.routing.table.Match(r.Host, r.URL.Path)
	if c.route == nil {
		c.fail(http.StatusNotFound, "no route")
		return
	}
	if !c.authorize(current) {
		return
	}
	limits := c.routing.table.Configuration().Limits
	if c.route.Kind == routes.Stream && !r.ProtoAtLeast(1, 1) {
		// Without chunks, a stream that breaks off would look complete.
		c.fail(http.StatusHTTPVersionNotSupported, "stream without chunks")
		return
	}
	if !c.readBody(limits.BodyBytes) {
		return
	}
	if e.isClosing() {
		c.refuse("node stops", otherNodeRetryAfter)
		return
	}
	c.prepareDispatch()
	if c.outlastsStop() {
		c.refuse("node stops", otherNodeRetryAfter)
		return
	}
	if !c.takeQuota() {
		return
	}
	defer c.settleQuota()
	c.run()
}

const (
	// maxConfigurationWait bounds how long a call waits for the first configuration. After
	// a loss of power, a new leader is elected and reached within about a second.
	maxConfigurationWait = 1500 * time.Millisecond
	// configurationWaitShare is the share of the time that the caller waits for its answer
	// which may pass without a configuration.
	configurationWaitShare = 0.5
)

// awaitConfiguration returns the configuration in force. A node that has just started has
// none yet; it lets calls wait, because after a loss of power all nodes start at once, so
// that a refused caller finds no other node that can serve it. It returns nil if none comes
// in time. callerWait is how long the caller waits for its answer; zero if not stated.
func (e *Edge) awaitConfiguration(ctx context.Context, callerWait time.Duration) *routingConfig {
	if routing := e.routing.Load(); routing != nil {
		return routing
	}
	if callerWait <= 0 {
		callerWait = defaultPatience
	}
	timer := time.NewTimer(min(maxConfigurationWait, time.Duration(configurationWaitShare*float64(callerWait))))
	defer timer.Stop()
	select {
	case <-e.configured:
	case <-timer.C:
	case <-e.closing:
	case <-ctx.Done():
	}
	return e.routing.Load()
}

// isClosing reports whether calls that have not started are turned away.
func (e *Edge) isClosing() bool {
	select {
	case <-e.closing:
		return true
	default:
		return false
	}
}

// readBody reads the whole body, so that it can be sent again and a slow caller does
// not hold up an upstream. A limit of zero means the default. If it returns false, the
// caller has been answered.
func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	c.boundBody()
	room := c.held.NewRoom(c.r.Context(), func() bool { return c.edge.guard.CutBody(c.r) })
	var body []byte
	err := bodybuffer.ErrNoMemory
	if c.r.ContentLength > limit || room.MakeFor(c.r.ContentLength) {
		body, err = c.held.Read(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, limit)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, bodybuffer.ErrTooLarge):
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case errors.Is(err, bodybuffer.ErrNoMemory):
		c.refuse("no memory for the body", defaultRetryAfter)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		c.fail(http.StatusRequestTimeout, "body too slow")
		return false
	case err != nil:
		c.fail(http.StatusBadRequest, "body unreadable")
		return false
	}
	c.held.Begin()
	c.body = body
	c.fingerprint = fingerprint(c.r, append([]string{c.author()}, c.caller.Content...), body)
	return true
}

// prepareDispatch sets the call's deadline and its description for the dispatcher.
func (c *call) prepareDispatch() {
	patience := c.caller.MaxWait
	if patience <= 0 {
		patience = defaultPatience
	}
	c.deadline = c.arrived + min(patience, c.route.Timeout)
	service := c.route.Backend(c.streamID())
	rank, ranks := c.routing.table.Rank(c.tenant, c.route)
	if ranks == 1 {
		rank = 1 // no call is more urgent than the others
	}
	c.dispatchCall = dispatch.Call{
		Service:  service,
		Stream:   c.route.Kind == routes.Stream,
		Priority: routes.Priority(c.tenant, c.route),
		Rank:     rank,
		Arrived:  c.arrived,
		Target:   c.arrived + c.route.Target,
	}
	if c.tenant != nil {
		c.dispatchCall.Tenant, c.dispatchCall.Weight = c.tenant.Name, c.routing.table.Weight(c.tenant)
	}
	if s := c.routing.table.Service(service); s != nil && s.Engine != nil {
		c.dispatchCall.Model, c.dispatchCall.Adapter = c.caller.Model, c.caller.Adapter
		c.dispatchCall.PromptTokens, c.dispatchCall.OutputTokens = c.caller.InputTokens, c.caller.OutputTokens
		c.forEngine = true
		if c.route.Affinity {
			c.dispatchCall.Affinity = c.caller.Affinity
		}
	}
}

// latestStart returns the last time at which the call, or what its caller lacks of the answer, can
// start in time.
func (c *call) latestStart() time.Duration {
	if !c.forEngine {
		return c.deadline - answerReserve
	}
	runTime := estimateRunTime(c.route, &c.caller, c.deadline-c.arrived)
	if c.events > 0 || c.takesUpStream() {
		runTime = time.Duration(float64(runTime) * averageRestShare)
	}
	latest := c.deadline - runTime
	if c.route.StartPatience > 0 {
		latest = min(latest, max(c.arrived, c.lastEventTime)+c.route.StartPatience-startReserve)
	}
	return latest
}

const (
	// timePerToken is the approximate time that an engine takes for one token of a
	// stream. Engines state 8 to 10 ms and become slower with more calls.
	timePerToken = 11 * time.Millisecond
	// averageOutputShare is the average share of its output token limit that a call
	// generates.
	averageOutputShare = 0.5
	// averageRestShare is the average share of a stream that its caller lacks when it breaks off.
	averageRestShare = 0.5
	// answerReserve is the approximate running time of a short call.
	answerReserve = 100 * time.Millisecond
	// startReserve is the time that a busy engine takes until the first event.
	startReserve = 400 * time.Millisecond
	// busyFactor is how much longer than usual a call runs at a busy upstream.
	busyFactor = 3
	// maxRunShare bounds the estimated running time, as a share of the time from
	// arrival to deadline.
	maxRunShare = 0.5
)

// estimateRunTime estimates how long a call runs at an engine. It is zero for calls
// that are not streams. timeLimit is the time from arrival to deadline.
func estimateRunTime(r *routes.Route, c *Caller, timeLimit time.Duration) time.Duration {
	if r.Kind != routes.Stream {
		return 0
	}
	estimate := time.Duration(float64(c.OutputTokens) * averageOutputShare * float64(timePerToken))
	return min(estimate, time.Duration(float64(timeLimit)*maxRunShare))
}

// refuse answers a call that has not run and will not run, with a Retry-After header.
func (c *call) refuse(why string, retryAfter time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	c.log("refused", eventlog.Fields{"status": http.StatusServiceUnavailable, "why": why, "retryAfter": retryAfter.Seconds()})
	c.edge.metrics.Count("refused: " + why)
	c.w.WriteHeader(http.StatusServiceUnavailable)
}

// fail answers a call with an error status that does not say whether the call ran.
func (c *call) fail(status int, why string) {
	c.log("failed", eventlog.Fields{"status": status, "why": why})
	c.edge.metrics.Count("failed: " + why)
	c.w.WriteHeader(status)
}
