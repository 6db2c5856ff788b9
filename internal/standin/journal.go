package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/agateslip/agateslip/internal/engine"
)

// End is the outcome of a run.
type End string

// Values of End.
const (
	// Running means that the run has not ended.
	Running End = "running"
	// Finished means that the whole answer was written to the connection.
	Finished End = "finished"
	// Canceled means that the client disconnected, or the stand-in stopped, before the
	// answer was complete.
	Canceled End = "canceled"
	// Broken means that a scripted fault aborted the run.
	Broken End = "broken"
)

// Entry records a request that was run. Refused requests are not recorded.
type Entry struct {
	// Number is the position in the journal, from 1.
	Number int `json:"number"`
	// Request, Attempt and Key are the values of the request ID, attempt and
	// idempotency key headers.
	Request string `json:"request,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	Key     string `json:"key,omitempty"`
	// Method and Path are those of the request. Body is the SHA-256 of its body in
	// hexadecimal.
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// ResumeFrom is the index of the first requested token.
	ResumeFrom int `json:"resumeFrom,omitempty"`
	// Tokens is the number of tokens generated in this run.
	Tokens int `json:"tokens,omitempty"`
	// LeavingFor is the time in milliseconds from the start of leaving to the start of
	// the run; zero if the stand-in was not leaving.
	LeavingFor int64 `json:"leavingFor,omitempty"`
	// End is the outcome of the run.
	End End `json:"end"`
}

// Journal records the requests that a stand-in ran.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
	// leavingSince is when the stand-in started to leave; zero before.
	leavingSince time.Time
}

// Entries returns a copy of the journal in the order of starts.
func (j *Journal) Entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.entries)
}

// begin records the start of a run and returns its number.
func (j *Journal) begin(r *http.Request, body []byte, resumeFrom int) int {
	sum := sha256.Sum256(body)
	entry := Entry{
		Request:    r.Header.Get(engine.HeaderRequest),
		Attempt:    r.Header.Get(engine.HeaderAttempt),
		Key:        r.Header.Get(engine.HeaderIdempotencyKey),
		Method:     r.Method,
		Path:       r.URL.Path,
		Body:       hex.EncodeToString(sum[:]),
		ResumeFrom: resumeFrom,
		End:        Running,
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	entry.Number = len(j.entries) + 1
	if !j.leavingSince.IsZero() {
		entry.LeavingFor = time.Since(j.leavingSince).Milliseconds()
	}
	j.entries = append(j.entries, entry)
	return entry.Number
}

// end records the outcome of a run and the number of generated tokens.
func (j *Journal) end(number, tokens int, end End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries[number-1].Tokens = tokens
	j.entries[number-1].End = end
}

// markLeaving records the time at which the stand-in starts to leave. Repeated calls have
// no effect.
func (j *Journal) markLeaving() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.leavingSince.IsZero() {
		j.leavingSince = time.Now()
	}
}
