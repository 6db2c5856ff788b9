package gateway

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/ledger"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

const testToken = "token"

// fakeNode implements Contracts, Admitter, Router and Claims with an in-memory ledger.
type fakeNode struct {
	mu         sync.Mutex
	contract   contract.Contract
	upstreams  []string
	ledger     *ledger.Ledger
	currentErr error
	admitErr   error
	admitted   int
}

func (f *fakeNode) ByKey(sum string) (*contract.Contract, bool) {
	return &f.contract, sum == f.contract.Keys[0].SHA256
}
func (f *fakeNode) CheckCurrent() error { return f.currentErr }
func (f *fakeNode) Release()            {}
func (f *fakeNode) Admit(context.Context, *Call) (Ticket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted++
	return f, f.admitErr
}

func (f *fakeNode) Pick(c *Call, tried []string, _ *string) (Route, error) {
	for _, u := range f.upstreams {
		if !strings.Contains(strings.Join(tried, ","), u) {
			return Route{Upstream: u, Addr: u, Resumes: c.Service == "", Done: func(AttemptResult) {}}, nil
		}
	}
	return Route{}, errors.Mark(refuse(ReasonNoUpstream, "none left"), ErrBusy)
}

func (f *fakeNode) MayRetry(c *Call, a FailedAttempt) (time.Duration, bool) {
	return time.Millisecond, a.Number < 4 && (!c.RunsOnce || a.Ran == NotRun)
}
func (f *fakeNode) Owner() ledger.Owner { return ledger.Owner{Node: "n", Boot: "b"} }
func (f *fakeNode) Claim(_ context.Context, c ledger.Claim) (ledger.ClaimResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Claim(c), nil
}
func (f *fakeNode) Finish(_ context.Context, fin ledger.Finish) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.Finish(fin)
	return nil
}

// newGateway returns a ready gateway, its fake node and its URL. It starts one upstream
// for each handler.
func newGateway(t *testing.T, handlers ...http.HandlerFunc) (*Gateway, *fakeNode, string) {
	t.Helper()
	sum := sha256.Sum256([]byte(testToken))
	f := &fakeNode{ledger: ledger.New(), contract: contract.Contract{
		Customer: "c",
		Keys:     []contract.Key{{ID: "k", SHA256: hex.EncodeToString(sum[:])}},
		Wait:     contract.Duration(10 * time.Second),
		Models:   []contract.Model{{Name: "m", Adapters: []string{"a"}}},
		Services: []contract.Service{{Name: "s", NotRepeatable: []contract.Route{{Methods: []string{"POST"}, Path: "/pay"}}}},
	}}
	for _, h := range handlers {
		u := httptest.NewServer(h)
		t.Cleanup(u.Close)
		f.upstreams = append(f.upstreams, u.Listener.Addr().String())
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	bodies := bodybuffer.Intake{Budget: bodybuffer.NewBudget(2 * MaxBodyBytes), Cut: func(*http.Request) bool { return false }}
	g := New(f, f, f, f, bodies, log, NewMetrics(new(expvar.Map).Init()), Dial)
	g.SetReady(true)
	front := httptest.NewServer(g.Handler())
	t.Cleanup(front.Close)
	t.Cleanup(g.Close)
	return g, f, front.URL
}

// sendRequest sends one request with the test token and reads the whole response body.
// header lists names and values in turn.
func sendRequest(t *testing.T, method, url, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

const streamBody = `{"model":"m","stream":true,"messages":[]}`

// tokenStream returns a handler that streams the events from X-Resume-From to total-1
// and the end marker. It aborts the connection in the middle of event abortAt; 0 means
// never.
func tokenStream(total, abortAt int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(headerResumeFrom))
		w.Header().Set("Content-Type", "text/event-stream")
		if from > 0 {
			w.Header().Set(headerResumeFrom, strconv.Itoa(from))
		}
		for i := from; i < total; i++ {
			if abortAt > 0 && i == abortAt {
				_, _ = fmt.Fprintf(w, "data: half of %d", i)
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "data: %d\n\n", i)
			w.(http.Flusher).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

// expectedStream returns the complete text of a stream of n events.
func expectedStream(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "data: %d\n\n", i)
	}
	return b.String() + "data: [DONE]\n\n"
}

func TestStreamResumesAtNextToken(t *testing.T) {
	is := is.New(t)
	_, _, url := newGateway(t, tokenStream(10, 4), tokenStream(10, 7), tokenStream(10, 0))
	_, body, err := sendRequest(t, "POST", url+"/v1/chat/completions", streamBody)
	is.NoErr(err)
	is.Equal(body, expectedStream(10))
}

func TestStreamWithoutResumeFails(t *testing.T) {
	is := is.New(t)
	_, _, url := newGateway(t, tokenStream(10, 4))
	_, body, err := sendRequest(t, "POST", url+"/v1/chat/completions", streamBody)
	is.True(err != nil) // a short answer must not look complete
	is.True(!strings.Contains(body, "half"))
}

// TestStreamFailsIfResumeIsIgnored covers an engine that ignores X-Resume-From and
// starts again at the first token, which would send tokens twice.
func TestStreamFailsIfResumeIsIgnored(t *testing.T) {
	is := is.New(t)
	_, _, url := newGateway(t, tokenStream(10, 4), func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(headerResumeFrom)
		tokenStream(10, 0)(w, r)
	})
	_, body, err := sendRequest(t, "POST", url+"/v1/chat/completions", streamBody)
	is.True(err != nil)
	is.Equal(strings.Count(body, "data: 0\n"), 1) // no token is sent twice
}

func TestStalledStreamResumes(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	hang := make(chan struct{})
	g, _, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			tokenStream(6, 0)(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: 0\n\ndata: 1\n\n")
		w.(http.Flusher).Flush()
		<-hang
	})
	t.Cleanup(func() { close(hang) })
	g.sender.streamStallTimeout = 50 * time.Millisecond
	_, body, err := sendRequest(t, "POST", url+"/v1/chat/completions", streamBody)
	is.NoErr(err)
	is.Equal(body, expectedStream(6))
}

func TestUpstreamRefusalIsRetried(t *testing.T) {
	is := is.New(t)
	_, _, url := newGateway(t, refuseCall, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	resp, body, err := sendRequest(t, "POST", url+"/v1/completions", `{"model":"a"}`)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(resp.Header.Get(HeaderRan), string(DidRun))
}

// TestBusyUpstreamIsRetried has the upstream refuse a call ten times, which is more
// than the retry budget allows. Refusals for lack of capacity must not use the budget,
// so the call succeeds within the contract's wait.
func TestBusyUpstreamIsRetried(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	_, _, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) <= 10 {
			refuseCall(w, r)
			return
		}
		_, _ = io.WriteString(w, "ok")
	})
	_, body, err := sendRequest(t, "POST", url+"/v1/completions", `{"model":"m"}`)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// TestRefusalReportsUnknownRun has the upstream abort the first attempt and refuse all
// later ones until the deadline. The refusal must not claim that the call was not run.
func TestRefusalReportsUnknownRun(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	_, f, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if cut.CompareAndSwap(false, true) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
			return
		}
		refuseCall(w, r)
	})
	f.contract.Wait = contract.Duration(400 * time.Millisecond)
	resp, _, err := sendRequest(t, "POST", url+"/v1/completions", `{"model":"m"}`)
	is.NoErr(err)
	is.Equal(resp.Header.Get(HeaderRan), string(RanUnknown))
}

func TestForeignAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	g, _, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerAttempt, "someone else's")
		_, _ = io.WriteString(w, "wrong")
	}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		_, _ = io.WriteString(w, "right")
	})
	_, body, err := sendRequest(t, "POST", url+"/v1/completions", `{"model":"m"}`)
	is.NoErr(err)
	is.Equal(body, "right")
	is.Equal(g.metrics.ForeignAnswers.Value(), int64(1))
}

// TestUnnamedAnswerOnReusedConnectionIsDropped has an upstream answer without the ID of the attempt once it has
// named earlier ones on the connection, as a late copy of another answer might.
func TestUnnamedAnswerOnReusedConnectionIsDropped(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	g, _, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		if n != 2 {
			w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		}
		_, _ = fmt.Fprint(w, "answer ", n)
	})
	for _, want := range []string{"answer 1", "answer 3", "answer 4"} {
		_, body, err := sendRequest(t, "POST", url+"/v1/completions", `{"model":"m"}`)
		is.NoErr(err)
		is.Equal(body, want)
	}
	is.Equal(g.metrics.ForeignAnswers.Value(), int64(1))
}

// TestEndlessHeaderIsCutOff has an upstream send a header without end. The call must end long before its deadline.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	_, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		n, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nA: ")
		for err == nil {
			sent.Add(int64(n))
			n, err = io.WriteString(conn, strings.Repeat("x", 32<<10))
		}
	})
	f.contract.Wait = contract.Duration(400 * time.Millisecond)
	resp, _, err := sendRequest(t, "POST", url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
	is.NoErr(err)
	is.True(resp.StatusCode >= 500)
	is.True(sent.Load() < 8<<20) // buffers of the sockets included
}

func TestRunOnceReplaysAnswer(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	_, _, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "run %d", runs.Add(1))
	})
	for range 3 {
		resp, body, err := sendRequest(t, "POST", url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusCreated)
		is.Equal(body, "run 1")
	}
	resp, _, err := sendRequest(t, "POST", url+"/services/s/pay", `{"other":1}`, headerIdempotencyKey, "k1")
	is.NoErr(err)
	is.Equal(resp.Header.Get(HeaderReason), string(ReasonKeyReused))
	is.Equal(runs.Load(), int32(1))
}

// TestRunOnceIsNeverResent closes the connection of a call after the upstream has read
// it. On a reused connection net/http would resend the call on its own, because it
// carries an Idempotency-Key.
func TestRunOnceIsNeverResent(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	closeAfterRead := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		runs.Add(1)
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	}
	_, _, url := newGateway(t, closeAfterRead, closeAfterRead)
	for range 3 { // leave idle connections behind
		_, _, err := sendRequest(t, "GET", url+"/services/s/list", "")
		is.NoErr(err)
	}
	for range 2 {
		resp, _, err := sendRequest(t, "POST", url+"/services/s/pay", "", headerIdempotencyKey, "k1")
		is.NoErr(err)
		is.Equal(resp.Header.Get(HeaderRan), string(RanUnknown))
	}
	is.Equal(runs.Load(), int32(1))
}

func TestRunOnceRetriesUnsentCall(t *testing.T) {
	is := is.New(t)
	_, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") })
	const refusingAddr = "127.0.0.1:1" // refuses connections: the kernel never assigns this port
	f.upstreams = append([]string{refusingAddr}, f.upstreams...)
	_, body, err := sendRequest(t, "POST", url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
	is.NoErr(err)
	is.Equal(body, "ran")
}

func TestRunOnceRepeatAfterRefusal(t *testing.T) {
	is := is.New(t)
	_, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") })
	f.admitErr = NewRefusal(ReasonQueueFull, time.Second, "full")
	resp, _, err := sendRequest(t, "POST", url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusTooManyRequests)
	is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
	is.Equal(resp.Header.Get("Retry-After"), "1")
	f.admitErr = nil
	_, body, err := sendRequest(t, "POST", url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
	is.NoErr(err)
	is.Equal(body, "ran")
}

// TestBodiesShareMemory sends a body while those of other requests take all memory, and again when they have ended.
func TestBodiesShareMemory(t *testing.T) {
	is := is.New(t)
	g, _, url := newGateway(t, func(http.ResponseWriter, *http.Request) {})
	others := g.bodies.Budget.NewShare()
	is.True(others.Take(bodybuffer.Requests, 2*MaxBodyBytes-1000))
	send := func() *http.Response {
		resp, _, err := sendRequest(t, "POST", url+"/services/s/pay", strings.Repeat("x", 1000), headerIdempotencyKey, "k1")
		is.NoErr(err)
		return resp
	}
	resp := send()
	is.Equal(resp.Header.Get(HeaderReason), string(ReasonNoMemory))
	is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
	others.Release()
	is.Equal(send().StatusCode, http.StatusOK)
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name, method, path, body, header, value string
		reason                                  Reason
	}{
		{"no token", "GET", "/v1/models", "", "Authorization", "", ReasonUnauthorized},
		{"wrong token", "GET", "/v1/models", "", "Authorization", "Bearer x", ReasonUnauthorized},
		{"unknown model", "POST", "/v1/completions", `{"model":"x"}`, "", "", ReasonUnknownModel},
		{"unknown service", "POST", "/services/x/pay", "{}", "", "", ReasonUnknownService},
		{"not JSON", "POST", "/v1/completions", `{"model":`, "", "", ReasonBadRequest},
		{"wrong type", "POST", "/v1/completions", `{"model":7}`, "", "", ReasonBadRequest},
		{"content type", "POST", "/v1/completions", `{"model":"m"}`, "Content-Type", "text/plain", ReasonContentType},
		{"too large", "POST", "/v1/completions", strings.Repeat("x", MaxBodyBytes+1), "", "", ReasonTooLarge},
		{"encoded slash", "POST", "/services/s/a%2Fpay", "{}", "", "", ReasonBadRequest},
		{"long key", "POST", "/services/s/pay", "{}", headerIdempotencyKey, strings.Repeat("k", 256), ReasonKeyMalformed},
		{"key not ASCII", "POST", "/services/s/pay", "{}", headerIdempotencyKey, "é", ReasonKeyMalformed},
		{"method", "DELETE", "/v1/completions", "", "", "", ReasonMethodNotAllowed},
		{"path", "GET", "/v2/models", "", "", "", ReasonUnknownPath},
	}
	var runs atomic.Int32
	_, _, url := newGateway(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			header := []string{}
			if tc.header != "" {
				header = []string{tc.header, tc.value}
			}
			resp, body, err := sendRequest(t, tc.method, url+tc.path, tc.body, header...)
			is.NoErr(err)
			is.Equal(resp.Header.Get(HeaderReason), string(tc.reason))
			is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
			is.True(strings.HasPrefix(body, `{"error":{"message":`))
		})
	}
	is.New(t).Equal(runs.Load(), int32(0))
}

func TestMalformedHTTPIsRefused(t *testing.T) {
	var runs atomic.Int32
	_, _, url := newGateway(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	auth := "Host: x\r\nAuthorization: Bearer " + testToken + "\r\n"
	cases := map[string]string{
		"two lengths":        "POST /services/s/pay HTTP/1.1\r\n" + auth + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"length and chunked": "POST /services/s/pay HTTP/1.1\r\n" + auth + "Content-Length: 9\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		"two keys":           "POST /services/s/pay HTTP/1.1\r\n" + auth + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n",
		"space before colon": "POST /services/s/pay HTTP/1.1\r\n" + auth + "Content-Length : 1\r\n\r\na",
		"bad chunk":          "POST /services/s/pay HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, raw)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_ = resp.Body.Close()
			is.True(resp.StatusCode >= 400 && resp.StatusCode < 600)
		})
	}
	is.New(t).Equal(runs.Load(), int32(0))
}

func TestRefusesWithoutCurrentContracts(t *testing.T) {
	is := is.New(t)
	_, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") })
	f.currentErr = NewRefusal(ReasonNotCurrent, time.Second, "old")
	resp, _, err := sendRequest(t, "POST", url+"/v1/completions", `{"model":"m"}`)
	is.NoErr(err)
	is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
	is.Equal(f.admitted, 0)
	ready, _, err := sendRequest(t, "GET", url+"/readyz", "")
	is.NoErr(err)
	is.Equal(ready.StatusCode, http.StatusServiceUnavailable)
}
