package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// callerWriteTimeout bounds one write to a caller that does not read.
	callerWriteTimeout = 60 * time.Second
	// eventBufferBytes is the initial capacity of the buffer for one event.
	eventBufferBytes = 1 << 10
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

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
	// event buffers the event that is being read.
	event []byte
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
	reader := bufio.NewReaderSize(resp.body, connBufferBytes)
	r.event = make([]byte, 0, eventBufferBytes)
	for {
		done, err := r.relayEvent(reader)
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

// relayEvent reads one event and sends it to the caller. It returns true after the end
// marker.
func (r *relay) relayEvent(reader *bufio.Reader) (bool, error) {
	r.event = r.event[:0]
	for {
		line, err := reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if len(r.event) > maxEventBytes {
			return false, errors.Newf("event is larger than %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return false, unexpectedEOF(err)
		}
		if isCompleteEvent(r.event) {
			return r.sendEvent()
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

// isCompleteEvent reports whether event ends with an empty line or is a single line
// feed.
func isCompleteEvent(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\r\n\r\n")) || len(event) == 1
}

// sendEvent sends the buffered event to the caller. It returns true if the event was
// the end marker.
func (r *relay) sendEvent() (bool, error) {
	// The time that a slow caller takes must not count as silence of the upstream.
	r.watchdog.disarm()
	if err := r.write(r.event); err != nil {
		return false, err
	}
	if err := r.controller.Flush(); err != nil {
		return false, errors.Mark(errors.Wrap(err, "flush to caller"), errAnswerAborted)
	}
	r.watchdog.reset()
	value, ok := bytes.CutPrefix(r.event, dataField)
	if !ok {
		return false, nil
	}
	if bytes.Equal(bytes.TrimSpace(value), doneMarker) {
		return true, nil
	}
	r.tokensSent++
	return false, nil
}
