package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// errGone means that the requester went away.
var errGone = errors.New("requester is gone")

// answer produces the answer to one generation.
type answer struct {
	engine     *Engine
	generation *generation
	faults     Faults
	w          http.ResponseWriter
	r          *http.Request
	// tokens is the index of the next token.
	tokens int
	end    End
	// streaming says that the header of a stream was sent.
	streaming bool
}

// run takes the time of the generation and writes the answer.
func (a *answer) run() {
	if err := a.produce(); err != nil {
		a.end = Canceled
		return
	}
	a.end = Finished
}

// produce generates every token.
func (a *answer) produce() error {
	g := a.generation
	if err := a.pause(time.Duration(a.faults.AnswerDelay)); err != nil {
		return err
	}
	if g.Stream {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
		a.w.WriteHeader(http.StatusOK)
		a.streaming = true
		if err := a.flush(); err != nil {
			return err
		}
	}
	if err := a.pause(a.engine.prefill(g) + time.Duration(a.faults.Pause)); err != nil {
		return err
	}
	seed := xxhash.Sum64String(g.Model + "\x00" + g.Prompt)
	interval := a.engine.config.Scale.of(a.engine.config.Token)
	text := ""
	for a.tokens < g.MaxTokens {
		a.injectFaults()
		next := token(seed, a.tokens)
		text += next
		if err := a.send(next); err != nil {
			return err
		}
		a.tokens++
		if err := a.pause(interval); err != nil {
			return err
		}
	}
	a.injectFaults()
	if g.Stream {
		return a.finishStream()
	}
	writeJSON(a.w, http.StatusOK, wholeAnswer(g, text))
	return nil
}

// injectFaults stalls or cuts the answer after the scripted number of tokens.
func (a *answer) injectFaults() {
	sent := a.tokens - a.generation.from
	if a.faults.CutAfter > 0 && sent == a.faults.CutAfter {
		cut(a.w)
	}
	if a.faults.StallAfter > 0 && sent == a.faults.StallAfter {
		<-a.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// pause waits and sends heartbeats meanwhile: comments in a stream, else
// informational responses.
func (a *answer) pause(d time.Duration) error {
	deadline := time.NewTimer(d)
	defer deadline.Stop()
	beat := time.NewTicker(a.engine.config.HeartbeatEvery)
	defer beat.Stop()
	for {
		select {
		case <-a.r.Context().Done():
			return errGone
		case <-a.engine.ctx.Done():
			return errGone
		case <-deadline.C:
			return nil
		case <-beat.C:
			if err := a.heartbeat(); err != nil {
				return err
			}
		}
	}
}

// heartbeat shows the requester that the engine still works.
func (a *answer) heartbeat() error {
	if !a.streaming {
		a.w.WriteHeader(http.StatusProcessing)
		return nil
	}
	if _, err := a.w.Write([]byte(": heartbeat\n\n")); err != nil {
		return errGone
	}
	return a.flush()
}

// send streams one token.
func (a *answer) send(text string) error {
	if !a.generation.Stream {
		return nil
	}
	return a.event(a.tokens, chunkOf(a.generation, text, a.tokens))
}

// finishStream sends the end marker.
func (a *answer) finishStream() error {
	if _, err := a.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return errGone
	}
	return a.flush()
}

// event writes the event of one token.
func (a *answer) event(index int, body chunk) error {
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
		return errGone
	}
	return a.flush()
}

// flush hands what was written to the connection.
func (a *answer) flush() error {
	if http.NewResponseController(a.w).Flush() != nil {
		return errGone
	}
	return nil
}
