package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/internal/standin"
)

// reply is the outcome of one call as its caller sees it.
type reply struct {
	// err is the error of the connection, before or during the answer.
	err    error
	status int
	ran    gateway.Ran
	reason string
	// body is the body of the answer, or the concatenated tokens of a stream.
	body string
	// complete reports whether a stream ended with its end marker.
	complete bool
	header   http.Header
}

// call is one request of a test.
type call struct {
	method, path, body string
	header             map[string]string
}

// prompt is longer than any header, so that a byte count can place a fault in the body.
var prompt = strings.Repeat("loudness? ", 200)

// chat returns a call to a model with a fixed prompt.
func chat(model string, stream bool, tokens int) call {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens,
		"messages": []standin.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err)
	}
	return call{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)}
}

// chatAnswer returns the complete text that answers chat.
func chatAnswer(model string, tokens int) string {
	return standin.Answer(model, standin.ChatPrompt([]standin.Message{{Role: "user", Content: prompt}}), tokens)
}

// transfer returns a call that may run at most once.
func transfer(key, query string) call {
	return call{
		method: http.MethodPost, path: "/services/ledger/transfers" + query, body: `{"amount":1,"reason":"` + prompt + `"}`,
		header: map[string]string{"Idempotency-Key": key, "Content-Type": "application/json"},
	}
}

// send makes a call on a new connection and reads the whole answer. progress, if not nil,
// is called with the number of tokens after each streamed token.
func (n *node) send(ctx context.Context, c call, progress func(tokens int)) reply {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.callerAddr+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return reply{err: err}
	}
	// Without GetBody the transport cannot resend the call on its own.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Content-Type", "application/json")
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	got := reply{
		status: response.StatusCode,
		ran:    gateway.Ran(response.Header.Get(gateway.HeaderRan)),
		reason: response.Header.Get(gateway.HeaderReason),
		header: response.Header,
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		got.readStream(response.Body, progress)
		return got
	}
	body, err := io.ReadAll(response.Body)
	got.body, got.err = string(body), err
	return got
}

// readStream reads the events of a stream to its end.
func (got *reply) readStream(body io.Reader, progress func(tokens int)) {
	lines := bufio.NewScanner(body)
	tokens := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			got.complete = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if got.err = json.Unmarshal([]byte(data), &chunk); got.err != nil {
			return
		}
		got.body += chunk.Choices[0].Delta.Content
		tokens++
		if progress != nil {
			progress(tokens)
		}
	}
	got.err = lines.Err()
}

// answered reports whether the answer arrived without an error and with status 200.
func (got reply) answered() bool {
	return got.err == nil && got.status == http.StatusOK
}

// sendUntilRun makes a call and repeats it while the refusal states that it did not run and
// when to retry.
func (n *node) sendUntilRun(ctx context.Context, c call) reply {
	for end := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
		got := n.send(ctx, c, nil)
		refused := got.ran == gateway.NotRun && got.header.Get("Retry-After") != ""
		if !refused || time.Now().After(end) {
			return got
		}
	}
}

// sendUntilSettled repeats a call with the same key through the nodes in turn until it is
// answered or its outcome is unknown, like a client that lost the answer.
func sendUntilSettled(t *testing.T, nodes []*node, c call) reply {
	t.Helper()
	var got reply
	for end, i := time.Now().Add(waitTimeout), 0; time.Now().Before(end); i++ {
		got = nodes[i%len(nodes)].send(t.Context(), c, nil)
		if got.answered() || got.reason == string(gateway.ReasonOutcomeUnknown) {
			return got
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("call is not settled: %+v", got)
	return got
}

// waitModel waits until the model two answers through every node.
func (c *cluster) waitModel(t *testing.T) {
	t.Helper()
	for _, n := range c.nodes {
		eventually(t, "the model answers through "+n.name, func() bool {
			return n.send(t.Context(), chat("two", false, 1), nil).answered()
		})
	}
}

// countRuns returns the number of journal entries with a key.
func countRuns(journal []standin.Entry, key string) int {
	count := 0
	for _, e := range journal {
		if e.Key == key {
			count++
		}
	}
	return count
}

// readJournal fetches the journal of a stand-in process.
func readJournal(t *testing.T, addr string) []standin.Entry {
	t.Helper()
	response, err := http.Get("http://" + addr + standin.PathJournal)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	var entries []standin.Entry
	is.New(t).NoErr(json.NewDecoder(response.Body).Decode(&entries))
	return entries
}
