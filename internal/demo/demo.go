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
	callerKey = "demo-caller-token"
	// stepTimeout limits one request of the demonstration.
	stepTimeout = 15 * time.Second
)

// sampleContract is the YAML of the demonstration's contract. The argument is the
// SHA-256 sum of the caller's key in hexadecimal.
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

// step is one request of the demonstration and its expected outcome.
type step struct {
	// label describes the request in the printed table.
	label string
	// node is the index of the node that receives the request.
	node           int
	method         string
	path           string
	body           string
	idempotencyKey string
	// wantStatus is the expected HTTP status, and wantRan whether an upstream is
	// expected to have run the request.
	wantStatus int
	wantRan    gateway.Ran
}

// steps returns the requests in the order in which they are sent.
func steps() []step {
	chat := `{"model":%q,"stream":%t,"max_tokens":24,"messages":[{"role":"user","content":"How loud is the chorus?"}]}`
	const completions = "/v1/chat/completions"
	invoice := step{method: http.MethodPost, path: "/services/queue/invoices", body: `{"client":"hallraum","eur":420}`, idempotencyKey: "invoice-17", wantStatus: http.StatusOK, wantRan: gateway.DidRun}
	original, resend := invoice, invoice
	original.label, original.node = "not repeatable: invoice", 0
	resend.label, resend.node = "the same invoice again, other node", 1
	keyReuse := invoice
	keyReuse.label, keyReuse.node, keyReuse.body, keyReuse.wantStatus, keyReuse.wantRan = "same key, other invoice", 2, `{"client":"hallraum","eur":999}`, http.StatusUnprocessableEntity, gateway.NotRun
	return []step{
		{label: "cold: streamed chat", node: 0, method: http.MethodPost, path: completions, body: fmt.Sprintf(chat, "loudness-7b", true), wantStatus: http.StatusOK, wantRan: gateway.DidRun},
		{label: "warm: streamed chat, other node", node: 1, method: http.MethodPost, path: completions, body: fmt.Sprintf(chat, "loudness-7b", true), wantStatus: http.StatusOK, wantRan: gateway.DidRun},
		{label: "adapter: whole chat", node: 2, method: http.MethodPost, path: completions, body: fmt.Sprintf(chat, "house-sound", false), wantStatus: http.StatusOK, wantRan: gateway.DidRun},
		{label: "refused: fits no upstream", node: 0, method: http.MethodPost, path: completions, body: fmt.Sprintf(chat, "stems-70b", false), wantStatus: http.StatusServiceUnavailable, wantRan: gateway.NotRun},
		original, resend, keyReuse,
	}
}

// Run runs the demonstration and prints each outcome to out. It returns an error if an
// outcome differs from the expected one.
func Run(ctx context.Context, out io.Writer, log logrus.FieldLogger) error {
	start := time.Now()
	c, err := startCluster(ctx, log)
	if err != nil {
		return err
	}
	defer c.cleanUp()
	fmt.Fprintf(out, "three nodes, two engines and one service are ready after %s\n", elapsed(start))
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
	fmt.Fprintf(out, "all nodes stopped after %s\n", elapsed(start))
	return nil
}

// elapsed returns the time since start in whole milliseconds.
func elapsed(start time.Time) time.Duration { return time.Since(start).Round(time.Millisecond) }

// applyContract creates the contract as an operator does.
func applyContract(ctx context.Context, c *cluster, out io.Writer) error {
	start := time.Now()
	sum := sha256.Sum256([]byte(callerKey))
	body := fmt.Sprintf(sampleContract, hex.EncodeToString(sum[:]))
	res, err := c.operatorClient(0).Apply(ctx, "tonwerk", operator.Change{ChangeID: "demo-1"}, []byte(body))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "contract of tonwerk %s as version %d after %s\n\n", res.Outcome, res.Version, elapsed(start))
	return nil
}

// runSteps sends the requests one by one and prints a table of the outcomes.
func runSteps(ctx context.Context, c *cluster, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REQUEST\tNODE\tSTATUS\tRAN\tFIRST BYTE\tWHOLE\tNOTE")
	for _, s := range steps() {
		r, err := sendStep(ctx, c, s)
		if err != nil {
			return errors.Wrap(err, s.label)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", s.label, s.node+1, r.status, r.ran, r.firstByte, r.total, r.note)
		if r.status != s.wantStatus || r.ran != s.wantRan {
			return errors.CombineErrors(errors.Newf("%s: status %d, ran %s; expected %d, %s", s.label, r.status, r.ran, s.wantStatus, s.wantRan), w.Flush())
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
	// status is the HTTP status.
	status int
	ran    gateway.Ran
	// firstByte is the time until the header of the answer arrived, and total the time
	// until the whole answer did.
	firstByte time.Duration
	total     time.Duration
	// note describes the answer.
	note string
}

// sendStep sends the request of a step and reads the whole answer.
func sendStep(ctx context.Context, c *cluster, s step) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	url := "http://" + c.nodes[s.node].CallersAddr() + s.path
	req, err := http.NewRequestWithContext(ctx, s.method, url, bytes.NewReader([]byte(s.body)))
	if err != nil {
		return result{}, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	if s.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", s.idempotencyKey)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	r := result{status: resp.StatusCode, ran: gateway.Ran(resp.Header.Get(gateway.HeaderRan)), firstByte: elapsed(start)}
	body, err := io.ReadAll(resp.Body)
	r.total = elapsed(start)
	r.note = describeAnswer(resp.Header, body)
	return r, errors.Wrap(err, "read answer")
}

// describeAnswer summarizes an answer: the reason of a refusal, that the answer was
// replayed, or its number of events or bytes.
func describeAnswer(h http.Header, body []byte) string {
	if reason := h.Get(gateway.HeaderReason); reason != "" {
		if after := h.Get("Retry-After"); after != "" {
			return reason + ", retry after " + after + "s"
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
