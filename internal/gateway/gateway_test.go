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
	"github.com/agateslip/agateslip/ledger"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

const testToken = "token"

// fakeNode stands in for the control loop and the control group.
type fakeNode struct {
	mu        sync.Mutex
	contract  contract.Contract
	upstreams []string
	ledger    *ledger.Ledger
	current   error
	refuse    error
	admitted  int
}

func (f *fakeNode) ByKey(sum string) (*contract.Contract, bool) {
	return &f.contract, sum == f.contract.Keys[0].SHA256
}
func (f *fakeNode) Current() error { return f.current }
func (f *fakeNode) Release()       {}
func (f *fakeNode) Admit(context.Context, *Call) (Ticket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted++
	return f, f.refuse
}

func (f *fakeNode) Pick(c *Call, tried []string) (Route, error) {
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

// newGateway returns a gateway before the given upstream handlers.
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
	g := New(f, f, f, f, log, NewMetrics(new(expvar.Map).Init()))
	g.SetReady(true)
	front := httptest.NewServer(g.Handler())
	t.Cleanup(front.Close)
	t.Cleanup(g.Close)
	return g, f, front.URL
}

// answerOf sends one request and reads the whole answer.
func answerOf(t *testing.T, method, url, body string, header ...string) (*http.Response, string, error) {
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

// tokens streams total events from X-Resume-From on and breaks off before the
// one numbered cut; 0 never does.
func tokens(total, cut int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(headerResume))
		w.Header().Set("Content-Type", "text/event-stream")
		if from > 0 {
			w.Header().Set(headerResume, strconv.Itoa(from))
		}
		for i := from; i < total; i++ {
			if cut > 0 && i == cut {
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

func wholeStream(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "data: %d\n\n", i)
	}
	return b.String() + "data: [DONE]\n\n"
}

func TestCutStreamResumesAtTheNextToken(t *testing.T) {
	is := is.New(t)
	_, _, url := newGateway(t, tokens(10, 4), tokens(10, 7), tokens(10, 0))
	_, body, err := answerOf(t, "POST", url+"/v1/chat/completions", streamBody)
	is.NoErr(err)
	is.Equal(body, wholeStream(10))
}

func TestStreamThatCannotResumeEndsBroken(t *testing.T) {
	is := is.New(t)
	_, _, url := newGateway(t, tokens(10, 4))
	_, body, err := answerOf(t, "POST", url+"/v1/chat/completions", streamBody)
	is.True(err != nil) // never a clean short answer
	is.True(!strings.Contains(body, "half"))
}

// TestEngineThatIgnoresTheResumeBreaksTheStream starts again at the first token.
func TestEngineThatIgnoresTheResumeBreaksTheStream(t *testing.T) {
	is := is.New(t)
	_, _, url := newGateway(t, tokens(10, 4), func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(headerResume)
		tokens(10, 0)(w, r)
	})
	_, body, err := answerOf(t, "POST", url+"/v1/chat/completions", streamBody)
	is.True(err != nil)
	is.Equal(strings.Count(body, "data: 0\n"), 1) // no token twice
}

func TestSilentStreamContinuesOnAnotherConnection(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	hang := make(chan struct{})
	g, _, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			tokens(6, 0)(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: 0\n\ndata: 1\n\n")
		w.(http.Flusher).Flush()
		<-hang
	})
	t.Cleanup(func() { close(hang) })
	g.sender.streamStall = 50 * time.Millisecond
	_, body, err := answerOf(t, "POST", url+"/v1/chat/completions", streamBody)
	is.NoErr(err)
	is.Equal(body, wholeStream(6))
}

func TestRefusalOfUpstreamIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	_, _, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	resp, body, err := answerOf(t, "POST", url+"/v1/completions", `{"model":"a"}`)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(resp.Header.Get(HeaderRan), string(DidRun))
}

// TestUpstreamWithoutRoomIsAskedAgain refuses a call ten times: more than the
// retry budget allows, but within the contract's wait.
func TestUpstreamWithoutRoomIsAskedAgain(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	_, _, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) <= 10 {
			w.Header().Set(headerNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok")
	})
	_, body, err := answerOf(t, "POST", url+"/v1/completions", `{"model":"m"}`)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// TestRefusalAfterAnAttemptThatMayHaveRun lets one upstream break off a call
// and the other refuse it until the wait is over.
func TestRefusalAfterAnAttemptThatMayHaveRun(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	_, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		if cut.CompareAndSwap(false, true) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
			return
		}
		w.Header().Set(headerNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.contract.Wait = contract.Duration(400 * time.Millisecond)
	resp, _, err := answerOf(t, "POST", url+"/v1/completions", `{"model":"m"}`)
	is.NoErr(err)
	is.Equal(resp.Header.Get(HeaderRan), string(RanUnknown))
}

func TestAnswerOfAnotherAttemptIsDropped(t *testing.T) {
	is := is.New(t)
	g, _, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerAttempt, "someone else's")
		_, _ = io.WriteString(w, "wrong")
	}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		_, _ = io.WriteString(w, "right")
	})
	_, body, err := answerOf(t, "POST", url+"/v1/completions", `{"model":"m"}`)
	is.NoErr(err)
	is.Equal(body, "right")
	is.Equal(g.metrics.Foreign.Value(), int64(1))
}

func TestRunOnceRepeatGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	_, _, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "run %d", runs.Add(1))
	})
	for range 3 {
		resp, body, err := answerOf(t, "POST", url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusCreated)
		is.Equal(body, "run 1")
	}
	resp, _, err := answerOf(t, "POST", url+"/services/s/pay", `{"other":1}`, headerIdempotencyKey, "k1")
	is.NoErr(err)
	is.Equal(resp.Header.Get(HeaderReason), string(ReasonKeyReused))
	is.Equal(runs.Load(), int32(1))
}

// TestRunOnceIsNeverResent kills the connection of a call after it was read. On
// a reused connection net/http itself would send the call again: it carries an
// Idempotency-Key.
func TestRunOnceIsNeverResent(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	kill := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		runs.Add(1)
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	}
	_, _, url := newGateway(t, kill, kill)
	for range 3 { // leaves idle connections behind
		_, _, err := answerOf(t, "GET", url+"/services/s/list", "")
		is.NoErr(err)
	}
	for range 2 {
		resp, _, err := answerOf(t, "POST", url+"/services/s/pay", "", headerIdempotencyKey, "k1")
		is.NoErr(err)
		is.Equal(resp.Header.Get(HeaderRan), string(RanUnknown))
	}
	is.Equal(runs.Load(), int32(1))
}

func TestRunOnceTriesElsewhereOnlyWhenProvedUnsent(t *testing.T) {
	is := is.New(t)
	_, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") })
	const dead = "127.0.0.1:1" // the kernel hands out no such port
	f.upstreams = append([]string{dead}, f.upstreams...)
	_, body, err := answerOf(t, "POST", url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
	is.NoErr(err)
	is.Equal(body, "ran")
}

func TestRefusedClaimMayBeTriedAgain(t *testing.T) {
	is := is.New(t)
	_, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") })
	f.refuse = NewRefusal(ReasonQueueFull, time.Second, "full")
	resp, _, err := answerOf(t, "POST", url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusTooManyRequests)
	is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
	is.Equal(resp.Header.Get("Retry-After"), "1")
	f.refuse = nil
	_, body, err := answerOf(t, "POST", url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
	is.NoErr(err)
	is.Equal(body, "ran")
}

func TestBadInputRunsNothing(t *testing.T) {
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
		{"method", "DELETE", "/v1/completions", "", "", "", ReasonMethod},
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
			resp, body, err := answerOf(t, tc.method, url+tc.path, tc.body, header...)
			is.NoErr(err)
			is.Equal(resp.Header.Get(HeaderReason), string(tc.reason))
			is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
			is.True(strings.HasPrefix(body, `{"error":{"message":`))
		})
	}
	is.New(t).Equal(runs.Load(), int32(0))
}

func TestRawRequestsAreRefused(t *testing.T) {
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

func TestNodeThatIsNotCurrentRunsNothing(t *testing.T) {
	is := is.New(t)
	_, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") })
	f.current = NewRefusal(ReasonNotCurrent, time.Second, "old")
	resp, _, err := answerOf(t, "POST", url+"/v1/completions", `{"model":"m"}`)
	is.NoErr(err)
	is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
	is.Equal(f.admitted, 0)
	ready, _, err := answerOf(t, "GET", url+"/readyz", "")
	is.NoErr(err)
	is.Equal(ready.StatusCode, http.StatusServiceUnavailable)
}
