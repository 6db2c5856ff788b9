package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/internal/operator"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	callerToken = "demo-caller-token"
	// stepTimeout bounds one request of the demonstration.
	stepTimeout = 15 * time.Second
)

const sampleContract = `customer: tonwerk
keys:
  - {id: studio, sha256: %s}
wait: 6s
capacity: {replicas: 2, concurrency: 4, rate: 20, burst: 10, queue: 10}
models:
  - {name: loudness-7b, memory: 14GiB, adapters: [house-sound]}
  - {name: stems-70b, memory: 140GiB}
services:
  - name: queue
    notRepeatable: [{methods: [POST], path: /invoices}]
`

// step is one request of the demonstration.
type step struct {
	what   string
	node   int
	method string
	path   string
	body   string
	key    string
	// wants are the status and the word on whether it ran.
	status int
	ran    gateway.Ran
}

func steps() []step {
	chat := `{"model":%q,"stream":%t,"max_tokens":24,"messages":[{"role":"user","content":"How loud is the chorus?"}]}`
	const completions = "/v1/chat/completions"
	invoice := step{method: http.MethodPost, path: "/services/queue/invoices", body: `{"client":"hallraum","eur":420}`, key: "invoice-17", status: http.StatusOK, ran: gateway.DidRun}
	first, second := invoice, invoice
	first.what, first.node = "not repeatable: invoice", 0
	second.what, second.node = "the same invoice again, other node", 1
	changed := invoice
	changed.what, changed.node, changed.body, changed.status, changed.ran = "same key, other invoice", 2, `{"client":"hallraum","eur":999}`, http.StatusUnprocessableEntity, gateway.NotRun
	return []step{
		{what: "cold: streamed chat", node: 0, method: http.MethodPost, path: completions, body: fmt.Sprintf(chat, "loudness-7b", true), status: http.StatusOK, ran: gateway.DidRun},
		{what: "warm: streamed chat, other node", node: 1, method: http.MethodPost, path: completions, body: fmt.Sprintf(chat, "loudness-7b", true), status: http.StatusOK, ran: gateway.DidRun},
		{what: "adapter: whole chat", node: 2, method: http.MethodPost, path: completions, body: fmt.Sprintf(chat, "house-sound", false), status: http.StatusOK, ran: gateway.DidRun},
		{what: "refused: fits no upstream", node: 0, method: http.MethodPost, path: completions, body: fmt.Sprintf(chat, "stems-70b", false), status: http.StatusServiceUnavailable, ran: gateway.NotRun},
		first, second, changed,
	}
}

// Run runs the demonstration and prints each outcome to out.
func Run(ctx context.Context, out io.Writer, log logrus.FieldLogger) error {
	start := time.Now()
	c, err := startCluster(ctx, log)
	if err != nil {
		return err
	}
	defer c.close()
	fmt.Fprintf(out, "three nodes, two engines and one service are ready after %s\n", since(start))
	if err := applyContract(ctx, c, out); err != nil {
		return err
	}
	if err := runSteps(ctx, c, out); err != nil {
		return err
	}
	fmt.Fprintf(out, "the service ran %d call(s) for the three sendings of the invoice\n", len(c.service.Journal()))
	start = time.Now()
	if err := c.shutdown(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "all nodes stopped after %s\n", since(start))
	return nil
}

func since(start time.Time) time.Duration { return time.Since(start).Round(time.Millisecond) }

func applyContract(ctx context.Context, c *cluster, out io.Writer) error {
	start := time.Now()
	sum := sha256.Sum256([]byte(callerToken))
	body := fmt.Sprintf(sampleContract, hex.EncodeToString(sum[:]))
	res, err := c.operatorClient(0).Apply(ctx, "tonwerk", operator.Change{ChangeID: "demo-1"}, []byte(body))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "contract of tonwerk %s as version %d after %s\n\n", res.Outcome, res.Version, since(start))
	return nil
}

func runSteps(ctx context.Context, c *cluster, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REQUEST\tNODE\tSTATUS\tRAN\tFIRST BYTE\tWHOLE\tNOTE")
	for _, s := range steps() {
		r, err := send(ctx, c, s)
		if err != nil {
			return errors.Wrap(err, s.what)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", s.what, s.node+1, r.status, r.ran, r.first, r.whole, r.note)
		if r.status != s.status || r.ran != s.ran {
			return errors.CombineErrors(errors.Newf("%s: status %d, ran %s; expected %d, %s", s.what, r.status, r.ran, s.status, s.ran), w.Flush())
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	fmt.Fprintln(out)
	return nil
}

// result is the outcome of one request.
type result struct {
	status int
	ran    gateway.Ran
	first  time.Duration
	whole  time.Duration
	note   string
}

func send(ctx context.Context, c *cluster, s step) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	url := "http://" + c.nodes[s.node].CallersAddr() + s.path
	req, err := http.NewRequestWithContext(ctx, s.method, url, bytes.NewReader([]byte(s.body)))
	if err != nil {
		return result{}, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	if s.key != "" {
		req.Header.Set("Idempotency-Key", s.key)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{}, errors.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	r := result{status: resp.StatusCode, ran: gateway.Ran(resp.Header.Get(gateway.HeaderRan)), first: since(start)}
	body, err := io.ReadAll(resp.Body)
	r.whole = since(start)
	r.note = note(resp.Header, body)
	return r, errors.Wrap(err, "read answer")
}

// note says in a few words what came back.
func note(h http.Header, body []byte) string {
	if reason := h.Get(gateway.HeaderReason); reason != "" {
		if after := h.Get("Retry-After"); after != "" {
			return reason + ", come back in " + after + "s"
		}
		return reason
	}
	if h.Get("X-Agateslip-Replayed") != "" {
		return "recorded answer"
	}
	if events := bytes.Count(body, []byte("data: ")); events > 0 {
		return fmt.Sprintf("%d events", events)
	}
	return fmt.Sprintf("%d bytes", len(body))
}
