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

// defaultTokens is the length of an answer if the request sets none.
const defaultTokens = 16

// generation is one request to an engine.
type generation struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []Message `json:"messages"`
	Prompt    string    `json:"prompt"`

	// raw is the prompt as it was sent, which prefixes are identified by.
	raw      []byte
	chat     bool
	id       string
	from     int
	priority int
	body     []byte
}

// chat serves chat completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, &generation{chat: true})
}

// complete serves completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, &generation{})
}

// serve admits a request, runs it and journals it.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, g *generation) {
	if !g.read(w, r) {
		return
	}
	faults := e.faults.get()
	if faults.NoAnswer {
		<-r.Context().Done()
		return
	}
	if faults.Refuse {
		refuse(w, http.StatusServiceUnavailable, "refused", "refused by script")
		return
	}
	held := e.take(g.Model)
	if held == nil {
		refuse(w, http.StatusServiceUnavailable, "model_not_loaded", "no replica serves "+g.Model)
		return
	}
	defer e.giveBack(held)
	if err := e.slots.acquire(r.Context(), g.priority); err != nil {
		refuse(w, http.StatusTooManyRequests, "slots_full", err.Error())
		return
	}
	defer e.slots.release()
	number := e.journal.begin(r, g.body, g.from)
	answer := &answer{engine: e, generation: g, faults: faults, w: w, r: r, tokens: g.from, end: Broken}
	// The run is recorded also if a fault ends the handler by a panic.
	defer func() { e.journal.end(number, answer.tokens-g.from, answer.end) }()
	answer.run()
}

// read decodes a request; it answers wrong ones itself.
func (g *generation) read(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, "unreadable_body", err.Error())
		return false
	}
	if err := json.Unmarshal(body, g); err != nil {
		refuse(w, http.StatusBadRequest, "invalid_body", err.Error())
		return false
	}
	g.body = body
	g.raw = rawPrompt(body)
	if g.chat {
		g.Prompt = ChatPrompt(g.Messages)
	}
	if g.MaxTokens <= 0 {
		g.MaxTokens = defaultTokens
	}
	g.id = "cmpl-" + r.Header.Get(engine.HeaderRequest)
	if from := r.Header.Get(engine.HeaderResumeFrom); from != "" {
		g.from, err = strconv.Atoi(from)
		if err != nil || g.from < 0 || g.from > g.MaxTokens {
			refuse(w, http.StatusBadRequest, "invalid_resume", "resume index is out of range")
			return false
		}
		w.Header().Set(engine.HeaderResumeFrom, from)
	}
	if priority := r.Header.Get(engine.HeaderPriority); priority != "" {
		g.priority, err = strconv.Atoi(priority)
		if err != nil {
			refuse(w, http.StatusBadRequest, "invalid_priority", "priority is not a number")
			return false
		}
	}
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	return true
}

// take finds a ready replica of a model or adapter and counts a request on it.
func (e *Engine) take(model string) *replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		if r.State != directory.Ready {
			continue
		}
		if r.Model == model || slices.Contains(r.Adapters, model) {
			r.running++
			return r
		}
	}
	return nil
}

// giveBack ends a request on a replica and begins a waiting unload.
func (e *Engine) giveBack(r *replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.running--
	if r.running == 0 && r.State == directory.Unloading {
		e.spawn(func() { e.free(r) })
	}
}

// rawPrompt is the JSON text of a request's messages, or else of its prompt.
func rawPrompt(body []byte) []byte {
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

// prefill is the time to the first token after what the cache saves.
func (e *Engine) prefill(g *generation) time.Duration {
	cached := e.cache.use(g.Model, g.raw)
	total := e.config.Scale.of(e.config.Prefill)
	if len(g.raw) == 0 {
		return total
	}
	return total * time.Duration(len(g.raw)-cached) / time.Duration(len(g.raw))
}
