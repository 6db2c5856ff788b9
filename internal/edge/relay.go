package edge

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

const (
	// eventStream is the media type of streams.
	eventStream = "text/event-stream"
	// largestEvent bounds what is buffered of an event that has not ended.
	largestEvent = 1 << 20
	// largestAnswer bounds an answer that is not a stream.
	largestAnswer = 16 << 20
	// writeReserve is how long beyond its deadline a call may still be written to
	// its caller.
	writeReserve = 500 * time.Millisecond
)

// relay passes an answer on to the caller.
func (c *call) relay(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response) (dispatch.Result, ending) {
	now := boottime.Now()
	answer := c.edge.dialect.Answer(resp.StatusCode, resp.Header)
	id := c.id
	c.heardFrom.Store(true)
	c.edge.loop.Post(func() {
		c.edge.dispatcher.Observe(id, answer.Load, now)
		c.edge.dispatcher.FirstByte(id)
	})
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case answer.NotRun:
		return c.rejected(u, conn, resp)
	case success && !answer.Genuine:
		conn.Close()
		return c.lost(u, errors.Newf("answer %d is not genuine", resp.StatusCode))
	case success && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream):
		return c.relayStream(u, conn, resp)
	case c.begun:
		// A stream that is resumed cannot take another kind of answer.
		conn.Close()
		return c.lost(u, errors.Newf("resumed stream was answered %d", resp.StatusCode))
	}
	return c.relayWhole(u, conn, resp)
}

// rejected takes an answer that says that the call did not run.
func (c *call) rejected(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response) (dispatch.Result, ending) {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		conn.Close()
	} else {
		conn.Release()
	}
	c.log("rejected", eventlog.Fields{"upstream": u.ID, "status": resp.StatusCode})
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return dispatch.NotServed, notRun
	}
	return dispatch.Rejected, notRun
}

// relayWhole reads an answer to its end before the caller gets any of it, so
// that one which is cut off can still be replaced.
func (c *call) relayWhole(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response) (dispatch.Result, ending) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, largestAnswer+1))
	if err == nil && len(body) > largestAnswer {
		err = errors.Newf("answer is larger than %d bytes", largestAnswer)
	}
	if err != nil {
		conn.Close()
		return c.lost(u, err)
	}
	conn.Release()
	whole := wholeAnswer{resp: resp, body: body, upstream: u}
	if resp.StatusCode < http.StatusInternalServerError {
		return dispatch.Served, c.write(whole)
	}
	if c.route.MayRepeat() && c.ran+1 < c.route.Attempts {
		c.log("failed at upstream", eventlog.Fields{"upstream": u.ID, "status": resp.StatusCode})
		c.fallback = &whole
		return dispatch.Failed, failedRun
	}
	return dispatch.Failed, c.write(whole)
}

// wholeAnswer is an upstream's answer that was read to its end.
type wholeAnswer struct {
	resp     *http.Response
	body     []byte
	upstream *fleet.Upstream
}

// write gives the caller a whole answer.
func (c *call) write(a wholeAnswer) ending {
	c.writeHeader(a.resp)
	if _, err := c.w.Write(a.body); err != nil {
		c.log("caller left", eventlog.Fields{"while": "answering", "error": err.Error()})
		return left
	}
	c.finished(a.upstream, a.resp.StatusCode)
	return answered
}

// writeHeader passes an upstream's header on.
func (c *call) writeHeader(resp *http.Response) {
	deadline := time.Now().Add(c.deadline - boottime.Now() + writeReserve)
	if err := http.NewResponseController(c.w).SetWriteDeadline(deadline); err != nil {
		c.log("no write deadline", eventlog.Fields{"error": err.Error()})
	}
	header := c.w.Header()
	for name, values := range resp.Header {
		if !slices.Contains(hopHeaders, name) {
			header[name] = values
		}
	}
	if resp.Header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // or the server would guess one
	}
	c.w.WriteHeader(resp.StatusCode)
}

// relayStream passes events on, each when it is whole.
func (c *call) relayStream(u *fleet.Upstream, conn *upstreamconn.Conn, resp *http.Response) (dispatch.Result, ending) {
	if !c.begun {
		c.begun = true
		c.writeHeader(resp)
		c.flush()
	}
	reader := bufio.NewReaderSize(resp.Body, 2<<10)
	var event bytes.Buffer
	for {
		line, err := reader.ReadSlice('\n')
		event.Write(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && event.Len() < largestEvent:
			continue
		case errors.Is(err, io.EOF) && event.Len() == 0:
			conn.Release()
			c.finished(u, resp.StatusCode)
			return dispatch.Served, answered
		case err != nil:
			conn.Close()
			return c.lost(u, errors.Wrap(err, "stream"))
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if !c.passEvent(event.Bytes()) {
			conn.Close()
			return dispatch.Abandoned, left
		}
		event.Reset()
	}
}

// passEvent gives the caller one whole event.
func (c *call) passEvent(event []byte) bool {
	if _, err := c.w.Write(event); err != nil {
		c.log("caller left", eventlog.Fields{"while": "streaming", "error": err.Error()})
		return false
	}
	c.flush()
	c.timeEvent(boottime.Now())
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.lastEvent = string(bytes.TrimSpace(id))
		}
	}
	return true
}

// timeEvent takes note of when an event was passed on.
func (c *call) timeEvent(now time.Duration) {
	if c.passed == 0 {
		c.first = now - c.arrived
		c.edge.metrics.Observe("first event", c.first)
	} else {
		c.pause = max(c.pause, now-c.passed)
	}
	c.passed = now
}

func (c *call) flush() {
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.log("flush failed", eventlog.Fields{"error": err.Error()})
	}
}

// finished logs a call that has its answer.
func (c *call) finished(u *fleet.Upstream, status int) {
	took := boottime.Now() - c.arrived
	c.edge.metrics.Count("answered")
	c.edge.metrics.Observe("answer", took)
	fields := eventlog.Fields{"upstream": u.ID, "status": status, "attempts": c.sends}
	if c.begun {
		fields["first"], fields["pause"] = c.first.Milliseconds(), c.pause.Milliseconds()
		c.edge.metrics.Observe("longest pause", c.pause)
		if c.route.PauseTarget > 0 && c.sends == 1 {
			paused := c.pause > c.route.PauseTarget
			c.edge.loop.Post(func() { c.edge.judge(u.ID, paused) })
		}
	}
	c.log("answered", fields)
}
