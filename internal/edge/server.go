package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/routes"
)

const (
	// headerTime and idleTime bound callers' connections; both are longer than any
	// configuration's limits, within which callers stay.
	headerTime = 20 * time.Second
	idleTime   = 90 * time.Second
	// bodyBytes bounds a body where the configuration states no limit.
	bodyBytes = 4 << 20
	// balancerLag is for how long after readiness failed the balancer may still
	// send new connections: it asks once a second and believes two answers.
	balancerLag = 3 * time.Second
	// stopReserve is what is kept of the time to stop for the last answers, and again
	// for the end of the process and its last log lines.
	stopReserve = 300 * time.Millisecond
	// patience is assumed of callers that state none.
	patience = 30 * time.Second
)

// serveCallers serves callers until the node stops: then it goes on for as long
// as the balancer may still send connections, and until the calls are answered.
func (e *Edge) serveCallers(ctx context.Context) error {
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	failed := make(chan error, 1)
	go func() { failed <- e.serve(serving, e.cfg.Listen.Callers, http.HandlerFunc(e.handle), stopReserve) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	e.drain()
	end()
	return <-failed
}

// drain serves on for as long as the balancer may send connections, then turns
// away what has not started, and waits until no caller is left that may still be
// answered.
func (e *Edge) drain() {
	start := time.Now()
	time.Sleep(balancerLag)
	close(e.closing)
	last := time.Duration(e.cfg.Stop) - 2*stopReserve
	for time.Since(start) < last && e.active.Load() > 0 {
		time.Sleep(tickInterval)
	}
	e.log.Event("drained", eventlog.Fields{"left": e.active.Load(), "millis": time.Since(start).Milliseconds()})
}

// Stop makes the node unready; the balancer then sends no more callers.
func (e *Edge) Stop() { e.stopping.Store(true) }

// handle takes one request of a caller.
func (e *Edge) handle(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	c := &call{edge: e, w: w, r: r, arrived: boottime.Now(), caller: e.dialect.Caller(r.Header)}
	// net/http does not show whether a request in chunks also stated a length, with
	// which another request could be hidden behind it.
	if e.stopping.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	c.view = e.view.Load()
	if c.view == nil {
		c.refuse(http.StatusServiceUnavailable, "no configuration yet", retryLater)
		return
	}
	c.route = c.view.table.Match(r.Host, r.URL.Path)
	if c.route == nil {
		c.fail(http.StatusNotFound, "no route")
		return
	}
	limits := c.view.table.Configuration().Limits
	if !c.readBody(limits.BodyBytes) {
		return
	}
	if e.isClosing() {
		c.refuse(http.StatusServiceUnavailable, "node stops", retryElsewhere)
		return
	}
	c.prepare()
	c.run()
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

// readBody reads the whole body, so that it can be sent again and an upstream is
// never held up by a slow caller.
func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = bodyBytes
	}
	if c.r.ContentLength > limit {
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case err != nil:
		c.fail(http.StatusBadRequest, "body unreadable")
		return false
	}
	c.body = body
	return true
}

// prepare fills in what decides about the call.
func (c *call) prepare() {
	wait := c.caller.Patience
	if wait <= 0 {
		wait = patience
	}
	c.deadline = c.arrived + min(wait, c.route.Timeout)
	service := c.route.Backend(c.caller.ID)
	c.wants = dispatch.Call{
		Service:     service,
		Priority:    c.route.Priority,
		Arrived:     c.arrived,
		Target:      c.arrived + c.route.Target,
		LatestStart: c.deadline - answerReserve,
	}
	if s := c.view.table.Service(service); s != nil && s.Engine != nil {
		c.wants.Model, c.wants.Adapter = c.caller.Model, c.caller.Adapter
		c.wants.LatestStart = c.deadline - runTime(c.route, &c.caller, c.deadline-c.arrived)
		if c.route.StartPatience > 0 {
			c.wants.LatestStart = min(c.wants.LatestStart, c.arrived+c.route.StartPatience-startReserve)
		}
		if c.route.Affinity {
			c.wants.Affinity = c.caller.Affinity
		}
	}
}

const (
	// tokenTime is about how long an engine takes for one token of a stream; engines
	// state steps of eight to ten milliseconds and become slower as they fill.
	tokenTime = 11 * time.Millisecond
	// usualOutput is the share of the most tokens that calls generate on average.
	usualOutput = 0.5
	// answerReserve is about how long a short call takes.
	answerReserve = 100 * time.Millisecond
	// startReserve is how long a busy engine takes to the first event.
	startReserve = 400 * time.Millisecond
	// runShare bounds the estimate by a share of the whole time.
	runShare = 0.5
)

// runTime is about how long a call takes once it runs.
func runTime(r *routes.Route, c *Caller, whole time.Duration) time.Duration {
	if r.Kind != routes.Stream {
		return 0
	}
	took := time.Duration(float64(c.OutputTokens) * usualOutput * float64(tokenTime))
	return min(took, time.Duration(float64(whole)*runShare))
}

// refuse turns a call away that has not run and will not.
func (c *call) refuse(status int, why string, after time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	c.log("refused", eventlog.Fields{"status": status, "why": why, "retryAfter": after.Seconds()})
	c.edge.metrics.Count("refused: " + why)
	c.w.WriteHeader(status)
}

// fail ends a call for which nothing is promised.
func (c *call) fail(status int, why string) {
	c.log("failed", eventlog.Fields{"status": status, "why": why})
	c.edge.metrics.Count("failed: " + why)
	c.w.WriteHeader(status)
}
