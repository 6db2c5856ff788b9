package edge

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/eventstream"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/routes"
)

const (
	// eventStream is the media type of server-sent event streams.
	eventStream = "text/event-stream"
	// maxRejectionBytes and rejectionTimeout bound the body of an answer which says that the
	// call did not run; the call is sent elsewhere after it.
	maxRejectionBytes = 64 << 10
	rejectionTimeout  = 100 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// writeGrace is how long after the call's deadline its answer may still be written
	// to the caller.
	writeGrace = 500 * time.Millisecond
)

// relay handles the answer whose header resp holds, and passes it on to the caller
// where possible.
func (c *call) relay(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response) (dispatch.Result, attemptOutcome) {
	answer := c.edge.dialect.Answer(resp.StatusCode, resp.Header)
	c.answerStarted.Store(true)
	certain := conn.Provenance().Named || answer.Genuine
	if certain {
		c.observe(u, answer)
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case answer.NotRun || promisesNotRun(resp.StatusCode):
		return c.endRefused(u, conn, resp, answer)
	case !certain || success && !answer.Genuine:
		conn.Close()
		return c.endLost(u, errors.Newf("answer with status %d is not from the upstream", resp.StatusCode))
	case !c.r.ProtoAtLeast(1, 1):
		// Without chunks, events that break off would look complete.
		return c.relayWhole(u, conn, resp)
	case success && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream) && (!c.streamStarted || resp.StatusCode == http.StatusOK):
		return c.relayStream(u, conn, resp)
	case c.streamStarted:
		// The caller already has the header of a stream, so that no other answer can follow. One without a body, as that
		// with status 204, would look like the end of the stream.
		conn.Close()
		return c.endLost(u, errors.Newf("resumed stream was answered with status %d", resp.StatusCode))
	}
	return c.relayWhole(u, conn, resp)
}

// observe records what the upstream says of itself with its answer. What an answer says that neither names the call nor
// is signed may not come from the upstream, and is not recorded.
func (c *call) observe(u *fleet.Upstream, answer Answer) {
	now, id := boottime.Now(), c.attemptID
	c.edge.loop.Post(func() {
		c.edge.dispatcher.Observe(id, answer.Load, now)
		c.edge.dispatcher.FirstByte(id)
		if answer.Leaving {
			c.edge.noteLeaving(id, u)
		}
		if answer.Brittle {
			c.edge.dispatcher.ObserveBrittle(id, answer.BearsRejections, now)
		}
		if answer.Pause > 0 {
			c.edge.dispatcher.ObservePause(id, answer.Pause, now)
		}
		if answer.RateLimit.Kind != NothingSaid && c.edge.dispatcher.ObserveRateLimit(id, answer.RateLimit.limit()) {
			c.edge.log.Event("rate limit changed", eventlog.Fields{
				"upstream": u.ID, "limited": answer.RateLimit.Kind == Limited, "perSecond": answer.RateLimit.PerSecond,
			})
			c.edge.signalDemand()
		}
	})
	if answer.Leaving || answer.Pause > 0 {
		c.log("upstream wants no calls", eventlog.Fields{
			"upstream": u.ID, "leaving": answer.Leaving, "pauseMillis": answer.Pause.Milliseconds(),
		})
	}
}

// discardRejection reads the rest of an answer that the caller does not get, so that its
// connection can be used again. It closes the connection and returns false if that takes too long.
func (c *call) discardRejection(conn *upstreamconn.Conn, resp *http.Response) bool {
	if !readRejection(conn, resp) {
		conn.Close()
		return false
	}
	conn.Release()
	return true
}

// readRejection reads the rest of an answer that the caller does not get. It returns false if that takes too long, or if
// there is too much of it.
func readRejection(conn *upstreamconn.Conn, resp *http.Response) bool {
	timer := time.AfterFunc(rejectionTimeout, conn.Close)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejectionBytes))
	return timer.Stop() && err == nil && n < maxRejectionBytes
}

// relayWhole reads the whole answer before the caller gets any of it, so that the call
// can be sent again if the answer is cut off.
func (c *call) relayWhole(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response) (dispatch.Result, attemptOutcome) {
	body, err := c.held.Read(resp.Body, resp.ContentLength, maxAnswerBytes)
	if err != nil {
		conn.Close()
		return c.endLost(u, errors.Wrap(err, "read answer"))
	}
	conn.Release()
	whole := wholeAnswer{resp: resp, body: body, upstream: u}
	if resp.StatusCode < http.StatusInternalServerError {
		return dispatch.Served, c.writeWhole(whole)
	}
	if c.route.MayRepeat() && c.possibleRuns+1 < c.route.Attempts {
		c.log("failed at upstream", eventlog.Fields{"upstream": u.ID, "status": resp.StatusCode})
		c.fallback = &whole
		return dispatch.Failed, outcomeFailed
	}
	return dispatch.Failed, c.writeWhole(whole)
}

// wholeAnswer is an upstream's answer with its complete body.
type wholeAnswer struct {
	resp     *http.Response
	body     []byte
	upstream *fleet.Upstream
}

// writeWhole sends a complete answer to the caller.
func (c *call) writeWhole(a wholeAnswer) attemptOutcome {
	if c.r.Method != http.MethodHead && a.resp.StatusCode != http.StatusNoContent && a.resp.StatusCode != http.StatusNotModified {
		// Without it, a caller that knows no chunks could not tell an answer that was cut short.
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.writeHeader(a.resp)
	if _, err := c.w.Write(a.body); err != nil {
		c.log("caller left", eventlog.Fields{"while": "answering", "error": err.Error()})
		return outcomeCallerLeft
	}
	c.recordAnswered(a.upstream, a.resp.StatusCode)
	return outcomeAnswered
}

// writeHeader sends the status and header of an upstream's answer to the caller,
// without the hop-by-hop headers.
func (c *call) writeHeader(resp *http.Response) {
	deadline := time.Now().Add(c.deadline - boottime.Now() + writeGrace)
	if err := http.NewResponseController(c.w).SetWriteDeadline(deadline); err != nil {
		c.log("write deadline not set", eventlog.Fields{"error": err.Error()})
	}
	header := c.w.Header()
	for name, values := range resp.Header {
		if !slices.Contains(hopHeaders, name) {
			header[name] = values
		}
	}
	if resp.Header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // or net/http would guess one
	}
	c.w.WriteHeader(resp.StatusCode)
}

// relayStream passes on a stream, one complete event at a time.
func (c *call) relayStream(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response) (dispatch.Result, attemptOutcome) {
	if !c.streamStarted {
		c.streamStarted = true
		c.writeHeader(resp)
		c.flush()
	}
	events := eventstream.NewReader(resp.Body, eventstream.Options{
		Append: c.held.Append, FirstLine: c.edge.dialect.BeginsEvent, Continues: c.events > 0,
		AnyField: c.route.Kind != routes.Stream,
	})
	checked, placed := false, false
	for {
		event, err := events.Next()
		received := boottime.Now()
		if err == nil {
			err = c.checkEventID(event, placed)
			placed = placed || event.ID != nil
		}
		if err != nil {
			return c.endStream(u, conn, resp, err)
		}
		if !checked && !c.mayRelayEvents(u) {
			conn.Close()
			return c.endLost(u, errors.New("the software version of the upstream is uncertain"))
		}
		if !checked && c.forEngine {
			c.recordFirstEvent(received)
		}
		checked = true
		if !c.relayEvent(event) {
			conn.Abort()
			return dispatch.Abandoned, outcomeCallerLeft
		}
	}
}

// recordFirstEvent records that the first event of an attempt arrived from an engine.
func (c *call) recordFirstEvent(at time.Duration) {
	id, took := c.attemptID, at-c.sentAt
	c.edge.loop.Post(func() { c.edge.dispatcher.FirstEvent(id, took) })
	c.attemptFirstEvent = took
	if c.expectedFirstEvent > 0 {
		c.edge.metrics.Observe("first event expected", c.expectedFirstEvent)
		c.edge.metrics.Observe("first event after sent", took)
	}
}

// endStream ends an attempt whose stream has no further event, for the given reason.
func (c *call) endStream(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response, err error) (dispatch.Result, attemptOutcome) {
	switch {
	case errors.Is(err, io.EOF) && c.lacksEvents(resp):
		conn.Close()
		return c.endLost(u, errors.New("stream ended with its connection before its first event"))
	case errors.Is(err, io.EOF):
		conn.Release()
		c.recordAnswered(u, resp.StatusCode)
		return dispatch.Served, outcomeAnswered
	case errors.IsAny(err, eventstream.ErrForeignLine, errForeignEvent):
		return c.endForeign(u, conn, err)
	}
	conn.Close()
	return c.endLost(u, errors.Wrap(err, "read stream"))
}

// lacksEvents reports whether an answer that ended is no whole stream: it has no event with data, and neither a length nor chunks say
// that this is all. The rest of a stream that the caller takes up may be empty.
func (c *call) lacksEvents(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return c.route.Kind == routes.Stream && !c.hasData && !framed && !c.takesUpStream()
}

// relayEvent sends one complete event to the caller. It returns false if the caller has
// left.
func (c *call) relayEvent(event eventstream.Event) bool {
	if _, err := c.w.Write(event.Text); err != nil {
		c.log("caller left", eventlog.Fields{"while": "streaming", "error": err.Error()})
		return false
	}
	c.flush()
	c.events++
	c.recordEventTime(boottime.Now())
	if event.ID != nil {
		c.lastEventID = string(event.ID)
	}
	if event.Data != nil {
		c.hasData = true
		c.unresumable.Store(c.route.Kind != routes.Stream || len(event.ID) == 0)
	}
	return true
}

// recordEventTime updates the waiting times with an event that was sent at now.
func (c *call) recordEventTime(now time.Duration) {
	if c.lastEventTime == 0 {
		c.firstEventWait = now - c.arrived
		c.edge.metrics.Observe("first event", c.firstEventWait)
	} else {
		c.longestPause = max(c.longestPause, now-c.lastEventTime)
	}
	c.lastEventTime = now
}

// flush sends what was written so far to the caller.
func (c *call) flush() {
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.log("flush failed", eventlog.Fields{"error": err.Error()})
	}
}

// recordAnswered logs and counts a call whose caller has the whole answer.
func (c *call) recordAnswered(u *fleet.Upstream, status int) {
	elapsed := boottime.Now() - c.arrived
	c.edge.metrics.Count("answered")
	c.edge.metrics.Observe("answer", elapsed)
	fields := eventlog.Fields{"upstream": u.ID, "status": status, "attempts": c.sends}
	if c.streamStarted {
		fields["first"], fields["pause"] = c.firstEventWait.Milliseconds(), c.longestPause.Milliseconds()
		c.edge.metrics.Observe("longest pause", c.longestPause)
		if c.expectedFirstEvent > 0 {
			fields["expected"], fields["firstAfterSent"] = c.expectedFirstEvent.Milliseconds(), c.attemptFirstEvent.Milliseconds()
		}
		if c.route.PauseTarget > 0 && c.sends == 1 {
			paused := c.longestPause > c.route.PauseTarget
			c.edge.loop.Post(func() { c.edge.recordStreamQuality(u.ID, paused) })
		}
	}
	c.log("answered", fields)
}
