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

// End is how a run ended.
type End string

// Ends of a run.
const (
	// Running means that the run has not ended.
	Running End = "running"
	// Finished means that the whole answer was handed to the connection.
	Finished End = "finished"
	// Canceled means that the requester went away first.
	Canceled End = "canceled"
	// Broken means that a scripted fault ended the run.
	Broken End = "broken"
)

// Entry is one request that was run. Refused requests have none.
type Entry struct {
	// Number counts the runs, from 1.
	Number int `json:"number"`
	// Request, Attempt and Key are the headers of the request.
	Request string `json:"request,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	Key     string `json:"key,omitempty"`
	// Method, Path and Body are the call; Body is its SHA-256 in hexadecimal.
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// ResumeFrom is the first token asked for.
	ResumeFrom int `json:"resumeFrom,omitempty"`
	// Tokens is the number of tokens produced.
	Tokens int `json:"tokens,omitempty"`
	// LeavingFor is how long the stand-in had been leaving when the run
	// started, in milliseconds.
	LeavingFor int64 `json:"leavingFor,omitempty"`
	// End is how the run ended.
	End End `json:"end"`
}

// Journal records the requests that were run.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
	leaving time.Time
}

// Entries is a copy of the journal in the order of starts.
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
	if !j.leaving.IsZero() {
		entry.LeavingFor = time.Since(j.leaving).Milliseconds()
	}
	j.entries = append(j.entries, entry)
	return entry.Number
}

// end records how a run ended and how many tokens it produced.
func (j *Journal) end(number, tokens int, end End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries[number-1].Tokens = tokens
	j.entries[number-1].End = end
}

// leave notes that the stand-in is leaving from now on.
func (j *Journal) leave() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.leaving.IsZero() {
		j.leaving = time.Now()
	}
}
