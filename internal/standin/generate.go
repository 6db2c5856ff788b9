package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/engine"
)

// defaultMaxTokens is the answer length in tokens if the request sets no max_tokens.
const defaultMaxTokens = 16

// generationRequest is a decoded completion or chat completion request.
type generationRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []Message `json:"messages"`
	Prompt    string    `json:"prompt"`

	// rawPrompt is the JSON text of the messages or the prompt as sent. Prefix hashes are
	// computed from it.
	rawPrompt []byte
	chat      bool
	// completionID is the ID in the response, resumeFrom the index of the first token to
	// generate.
	completionID string
	resumeFrom   int
	priority     int
	body         []byte
}

// chat serves POST requests for chat completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	e.serveGeneration(w, r, &generationRequest{chat: true})
}

// complete serves POST requests for text completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	e.serveGeneration(w, r, &generationRequest{})
}

// serveGeneration decodes a request, acquires a replica and a slot, runs the generation
// and records it in the journal.
func (e *Engine) serveGeneration(w http.ResponseWriter, r *http.Request, g *generationRequest) {
	if !g.decode(w, r) {
		return
	}
	faults := e.faults.get()
	if faults.NoAnswer {
		<-r.Context().Done()
		return
	}
	if faults.Refuse {
		writeNotRun(w, r, http.StatusServiceUnavailable, "refused", "refused by script")
		return
	}
	replica := e.acquireReplica(g.Model)
	if replica == nil {
		writeNotRun(w, r, http.StatusServiceUnavailable, "model_not_loaded", "no replica serves "+g.Model)
		return
	}
	defer e.releaseReplica(replica)
	if err := e.slots.acquire(r.Context(), g.priority); err != nil {
		writeNotRun(w, r, http.StatusTooManyRequests, "slots_full", err.Error())
		return
	}
	defer e.slots.release()
	number := e.journal.begin(r, g.body, g.resumeFrom)
	answer := &answerWriter{engine: e, generation: g, faults: faults, w: w, r: r, nextToken: g.resumeFrom, end: Broken}
	// Deferred because scripted faults end the handler by a panic.
	defer func() { e.journal.end(number, answer.nextToken-g.resumeFrom, answer.end) }()
	answer.run()
}

// decode decodes and validates a request. It writes the error response for an invalid
// one and reports whether the request is valid.
func (g *generationRequest) decode(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeNotRun(w, r, http.StatusBadRequest, "unreadable_body", err.Error())
		return false
	}
	if err := json.Unmarshal(body, g); err != nil {
		writeNotRun(w, r, http.StatusBadRequest, "invalid_body", err.Error())
		return false
	}
	g.body = body
	g.rawPrompt = extractRawPrompt(body)
	if g.chat {
		g.Prompt = ChatPrompt(g.Messages)
	}
	if g.MaxTokens <= 0 {
		g.MaxTokens = defaultMaxTokens
	}
	g.completionID = "cmpl-" + r.Header.Get(engine.HeaderRequest)
	if from := r.Header.Get(engine.HeaderResumeFrom); from != "" {
		g.resumeFrom, err = strconv.Atoi(from)
		if err != nil || g.resumeFrom < 0 || g.resumeFrom > g.MaxTokens {
			writeNotRun(w, r, http.StatusBadRequest, "invalid_resume", "resume index is out of range")
			return false
		}
		w.Header().Set(engine.HeaderResumeFrom, from)
	}
	if priority := r.Header.Get(engine.HeaderPriority); priority != "" {
		g.priority, err = strconv.Atoi(priority)
		if err != nil {
			writeNotRun(w, r, http.StatusBadRequest, "invalid_priority", "priority is not a number")
			return false
		}
	}
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	return true
}

// acquireReplica returns a ready replica of a model or adapter and raises its request
// count, or returns nil.
func (e *Engine) acquireReplica(model string) *replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		if r.State != directory.Ready {
			continue
		}
		if r.Model == model || slices.Contains(r.Adapters, model) {
			r.activeRequests++
			return r
		}
	}
	return nil
}

// releaseReplica lowers the request count of a replica and starts a pending unload after
// the last request.
func (e *Engine) releaseReplica(r *replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.activeRequests--
	if r.activeRequests == 0 && r.State == directory.Unloading {
		e.spawn(func() { e.unloadReplica(r) })
	}
}

// extractRawPrompt returns the JSON text of the messages in a request body, or of the
// prompt if there are no messages.
func extractRawPrompt(body []byte) []byte {
	var fields struct {
		Messages json.RawMessage `json:"messages"`
		Prompt   json.RawMessage `json:"prompt"`
	}
	if json.Unmarshal(body, &fields) != nil {
		return nil
	}
	if len(fields.Messages) > 0 {
		return fields.Messages
	}
	return fields.Prompt
}

// prefillTime returns the time before the first token, reduced by the cached share of the
// prompt, and adds the prompt to the prefix cache.
func (e *Engine) prefillTime(g *generationRequest) time.Duration {
	cached := e.prefixCache.addPrompt(g.Model, g.rawPrompt)
	total := e.config.Scale.apply(e.config.Prefill)
	if len(g.rawPrompt) == 0 {
		return total
	}
	return total * time.Duration(len(g.rawPrompt)-cached) / time.Duration(len(g.rawPrompt))
}
