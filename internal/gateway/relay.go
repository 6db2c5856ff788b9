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
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// callerStall bounds one write to a caller that takes nothing.
	callerStall = 60 * time.Second
	// eventBufferBytes is the initial room for one event.
	eventBufferBytes = 1 << 10
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// relay writes one call's answer to its caller, over as many attempts as it
// takes.
type relay struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// started says that the answer's header went out.
	started bool
	// tokens is the number of whole events with content that went out.
	tokens int
	event  []byte
	// dog watches the present attempt's connection.
	dog *watchdog
}

func newRelay(w http.ResponseWriter) *relay {
	return &relay{w: w, rc: http.NewResponseController(w)}
}

// whole sends an answer that is here whole.
func (o *relay) whole(resp *answer, body []byte) error {
	copyAnswerHeader(o.w.Header(), resp.header)
	o.w.Header().Set("Content-Length", contentLength(body))
	return o.send(resp.status, body)
}

// rest sends the head of a large answer and streams what follows.
func (o *relay) rest(resp *answer, head []byte) error {
	copyAnswerHeader(o.w.Header(), resp.header)
	if err := o.send(resp.status, head); err != nil {
		return err
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.body.Read(buf)
		if n > 0 {
			if werr := o.write(buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Mark(errors.Wrap(err, "read answer"), errBroken)
		}
	}
}

func (o *relay) send(status int, body []byte) error {
	o.started = true
	o.w.Header().Set(HeaderRan, string(DidRun))
	o.w.WriteHeader(status)
	return o.write(body)
}

// write sends bytes to the caller. A caller that takes nothing for callerStall
// is given up.
func (o *relay) write(p []byte) error {
	// A recorder in tests has no deadlines; a real connection always has.
	_ = o.rc.SetWriteDeadline(time.Now().Add(callerStall))
	if _, err := o.w.Write(p); err != nil {
		return errors.Mark(errors.Wrap(err, "write to caller"), errBroken)
	}
	return nil
}

// events relays a stream of server-sent events, whole events only, so that a
// broken attempt can be resumed at the next token. It returns nil only after
// the end marker.
func (o *relay) events(resp *answer) error {
	if !o.started {
		o.startStream(resp)
	}
	reader := bufio.NewReaderSize(resp.body, connBufferBytes)
	o.event = make([]byte, 0, eventBufferBytes)
	for {
		done, err := o.nextEvent(reader)
		if err != nil {
			return &attemptError{ran: DidRun, err: errors.Wrap(err, "stream")}
		}
		if done {
			return nil
		}
	}
}

func (o *relay) startStream(resp *answer) {
	copyAnswerHeader(o.w.Header(), resp.header)
	o.w.Header().Del("Content-Length")
	o.w.Header().Set(HeaderRan, string(DidRun))
	o.w.WriteHeader(resp.status)
	o.started = true
	// The caller may be gone; the next write tells.
	_ = o.rc.Flush()
}

// nextEvent reads one event and sends it on. It is true after the end marker.
func (o *relay) nextEvent(r *bufio.Reader) (bool, error) {
	o.event = o.event[:0]
	for {
		line, err := r.ReadSlice('\n')
		o.event = append(o.event, line...)
		if len(o.event) > maxEventBytes {
			return false, errors.Newf("event is larger than %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return false, noCleanEnd(err)
		}
		if endOfEvent(o.event) {
			return o.sendEvent()
		}
	}
}

// noCleanEnd turns the end of a stream without its end marker into a failure.
func noCleanEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func endOfEvent(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\r\n\r\n")) || len(event) == 1
}

func (o *relay) sendEvent() (bool, error) {
	// A slow caller is no silence of the upstream.
	o.dog.rest()
	if err := o.write(o.event); err != nil {
		return false, err
	}
	if err := o.rc.Flush(); err != nil {
		return false, errors.Mark(errors.Wrap(err, "flush to caller"), errBroken)
	}
	o.dog.alive()
	value, ok := bytes.CutPrefix(o.event, dataField)
	if !ok {
		return false, nil
	}
	if bytes.Equal(bytes.TrimSpace(value), doneMarker) {
		return true, nil
	}
	o.tokens++
	return false, nil
}
