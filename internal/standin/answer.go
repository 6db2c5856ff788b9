package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// errAborted reports that the client disconnected or the engine was stopped.
var errAborted = errors.New("client disconnected or engine stopped")

// answerWriter generates and writes the response to one generation request.
type answerWriter struct {
	engine     *Engine
	generation *generationRequest
	faults     Faults
	w          http.ResponseWriter
	r          *http.Request
	// nextToken is the index of the next token, counted from the start of the full answer.
	nextToken int
	end       End
	// streamStarted is set once the header of a stream was sent.
	streamStarted bool
}

// run generates the answer and sets end. A scripted fault panics instead and leaves
// end at its initial value.
func (a *answerWriter) run() {
	if err := a.generate(); err != nil {
		a.end = Canceled
		return
	}
	a.end = Finished
}

// generate simulates the delays and generates every token from the first one asked for.
func (a *answerWriter) generate() error {
	g := a.generation
	if err := a.wait(time.Duration(a.faults.AnswerDelay)); err != nil {
		return err
	}
	if g.Stream {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
		a.w.WriteHeader(http.StatusOK)
		a.streamStarted = true
		if err := a.flush(); err != nil {
			return err
		}
	}
	if err := a.wait(a.engine.prefillTime(g) + time.Duration(a.faults.Pause)); err != nil {
		return err
	}
	seed := xxhash.Sum64String(g.Model + "\x00" + g.Prompt)
	interval := a.engine.config.Scale.apply(a.engine.config.Token)
	text := ""
	for a.nextToken < g.MaxTokens {
		a.injectFaults()
		next := tokenText(seed, a.nextToken)
		text += next
		if err := a.sendToken(next); err != nil {
			return err
		}
		a.nextToken++
		if err := a.wait(interval); err != nil {
			return err
		}
	}
	a.injectFaults()
	if g.Stream {
		return a.finishStream()
	}
	writeJSON(a.w, http.StatusOK, fullCompletion(g, text))
	return nil
}

// injectFaults stalls the answer or resets its connection once the scripted number of
// tokens was generated.
func (a *answerWriter) injectFaults() {
	sent := a.nextToken - a.generation.resumeFrom
	if a.faults.CutAfter > 0 && sent == a.faults.CutAfter {
		abortConnection(a.w)
	}
	if a.faults.StallAfter > 0 && sent == a.faults.StallAfter {
		<-a.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// wait waits for d and sends heartbeats meanwhile. It returns early with an error if
// the client disconnects or the engine stops.
func (a *answerWriter) wait(d time.Duration) error {
	deadline := time.NewTimer(d)
	defer deadline.Stop()
	beat := time.NewTicker(a.engine.config.HeartbeatEvery)
	defer beat.Stop()
	for {
		select {
		case <-a.r.Context().Done():
			return errAborted
		case <-a.engine.ctx.Done():
			return errAborted
		case <-deadline.C:
			return nil
		case <-beat.C:
			if err := a.heartbeat(); err != nil {
				return err
			}
		}
	}
}

// heartbeat tells the client that the engine is still working: by a comment in a
// stream, otherwise by an informational response (102).
func (a *answerWriter) heartbeat() error {
	if !a.streamStarted {
		a.w.WriteHeader(http.StatusProcessing)
		return nil
	}
	if _, err := a.w.Write([]byte(": heartbeat\n\n")); err != nil {
		return errAborted
	}
	return a.flush()
}

// sendToken writes one token if the answer is streamed.
func (a *answerWriter) sendToken(text string) error {
	if !a.generation.Stream {
		return nil
	}
	return a.writeEvent(a.nextToken, streamChunk(a.generation, text, a.nextToken))
}

// finishStream writes the end marker of the stream.
func (a *answerWriter) finishStream() error {
	if _, err := a.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return errAborted
	}
	return a.flush()
}

// writeEvent writes a chunk as a server-sent event whose id is the token index.
func (a *answerWriter) writeEvent(index int, body completion) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode chunk")
	}
	event := make([]byte, 0, len(data)+32)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\nid: "...)
	event = strconv.AppendInt(event, int64(index), 10)
	event = append(event, "\n\n"...)
	if _, err := a.w.Write(event); err != nil {
		return errAborted
	}
	return a.flush()
}

// flush sends buffered data to the client.
func (a *answerWriter) flush() error {
	if http.NewResponseController(a.w).Flush() != nil {
		return errAborted
	}
	return nil
}
