package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/eventstream"
)

const (
	// callerWriteTimeout bounds one write to a caller that does not read.
	callerWriteTimeout = 60 * time.Second
)

// doneMarker is the data of the event that ends a stream.
var doneMarker = []byte("[DONE]")

// relay writes the answer of one call to its caller. A stream may continue over several
// attempts.
type relay struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// runsOnce reports whether the call may run at most once.
	runsOnce bool
	// headerSent reports whether the header of the answer was sent, after which the
	// call can no longer be refused.
	headerSent bool
	// tokensSent is the number of complete data events sent to the caller, without the
	// end marker. Each counts as one token when the stream is resumed.
	tokensSent int
	// watchdog watches the current attempt's connection.
	watchdog *watchdog
}

func newRelay(w http.ResponseWriter, runsOnce bool) *relay {
	return &relay{w: w, controller: http.NewResponseController(w), runsOnce: runsOnce}
}

// setOutcome sets the headers that tell the caller whether its call ran and, after an answer with an error to a call
// that may run at most once, that the OpenAI client libraries must not repeat it by themselves.
func (r *relay) setOutcome(status int) {
	r.w.Header().Set(HeaderRan, string(ranFromStatus(status)))
	if r.runsOnce && status >= http.StatusBadRequest {
		r.w.Header().Set(headerShouldRetry, "false")
	}
}

// ranFromStatus returns whether an upstream that answers with the given status, and states nothing else, ran the call.
func ranFromStatus(status int) Ran {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return RanUnknown
	}
	return DidRun
}

// sendWhole sends an answer whose body was read in full.
func (r *relay) sendWhole(resp *answer, body []byte) error {
	copyAnswerHeader(r.w.Header(), resp.header)
	r.w.Header().Set("Content-Length", contentLength(body))
	return r.sendHead(resp.status, body)
}

// sendAndStream sends a large answer: first head, the part of its body that was already
// read, then the rest as it arrives.
func (r *relay) sendAndStream(resp *answer, head []byte) error {
	copyAnswerHeader(r.w.Header(), resp.header)
	if err := r.sendHead(resp.status, head); err != nil {
		return err
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.body.Read(buf)
		if n > 0 {
			if werr := r.write(buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Mark(errors.Wrap(err, "read answer"), errAnswerAborted)
		}
	}
}

// sendHead sends the header and body, which is the first part of the answer or all of
// it.
func (r *relay) sendHead(status int, body []byte) error {
	r.headerSent = true
	r.setOutcome(status)
	r.w.WriteHeader(status)
	return r.write(body)
}

// write sends p to the caller. It fails if the caller does not read for
// callerWriteTimeout.
func (r *relay) write(p []byte) error {
	// Setting a deadline fails only on the response recorder of tests, which has none.
	_ = r.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := r.w.Write(p); err != nil {
		return errors.Mark(errors.Wrap(err, "write to caller"), errAnswerAborted)
	}
	return nil
}

// relayStream relays a stream of server-sent events. It sends complete events only, so
// that another attempt can resume a broken stream at the next token. It returns nil
// only after the end marker.
func (r *relay) relayStream(resp *answer) error {
	if !r.headerSent {
		r.startStream(resp)
	}
	events := eventstream.NewReader(resp.body, eventstream.Options{Continues: r.tokensSent > 0})
	for {
		done, err := r.relayEvent(events)
		if err != nil {
			return &attemptError{ran: DidRun, err: errors.Wrap(err, "read stream")}
		}
		if done {
			return nil
		}
	}
}

// startStream sends the header of a stream without waiting for its first event.
func (r *relay) startStream(resp *answer) {
	copyAnswerHeader(r.w.Header(), resp.header)
	r.w.Header().Del("Content-Length")
	r.setOutcome(resp.status)
	r.w.WriteHeader(resp.status)
	r.headerSent = true
	// If the caller is gone, the next write fails.
	_ = r.controller.Flush()
}

// errForeignToken means that an event is not that of the next token, so that it belongs to another stream.
var errForeignToken = errors.New("event is not that of the next token")

// relayEvent reads one event and sends it to the caller. It returns true after the end
// marker.
func (r *relay) relayEvent(events *eventstream.Reader) (bool, error) {
	event, err := events.Next()
	if err != nil {
		return false, unexpectedEOF(err)
	}
	done := bytes.Equal(event.Data, doneMarker)
	isToken := event.Data != nil && !done
	if isToken {
		if err := checkIndex(event, r.tokensSent); err != nil {
			return false, err
		}
	}
	if err := r.sendEvent(event.Text); err != nil {
		return false, err
	}
	if isToken {
		r.tokensSent++
	}
	return done, nil
}

// checkIndex returns an error if an event states that it is another token than the next one.
func checkIndex(event eventstream.Event, next int) error {
	if len(event.ID) == 0 {
		return nil
	}
	if index, err := strconv.Atoi(string(event.ID)); err != nil || index != next {
		return errors.Mark(errors.Newf("token %.40q instead of token %d", event.ID, next), errForeignToken)
	}
	return nil
}

// checkTokens returns an error unless a stream consists of its tokens, from the first one on, and the end marker.
func checkTokens(stream []byte) error {
	events := eventstream.NewReader(bytes.NewReader(stream), eventstream.Options{})
	for next := 0; ; {
		event, err := events.Next()
		switch {
		case err != nil:
			return unexpectedEOF(err)
		case bytes.Equal(event.Data, doneMarker):
			if _, err := events.Next(); !errors.Is(err, io.EOF) {
				return errors.New("stream goes on after its end marker")
			}
			return nil
		case event.Data != nil:
			if err := checkIndex(event, next); err != nil {
				return err
			}
			next++
		}
	}
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, because a stream must not end
// without its end marker.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// sendEvent sends an event to the caller.
func (r *relay) sendEvent(event []byte) error {
	// The time that a slow caller takes must not count as silence of the upstream.
	r.watchdog.disarm()
	if err := r.write(event); err != nil {
		return err
	}
	if err := r.controller.Flush(); err != nil {
		return errors.Mark(errors.Wrap(err, "flush to caller"), errAnswerAborted)
	}
	r.watchdog.reset()
	return nil
}
