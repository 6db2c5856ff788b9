package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
)

// refuseCall answers as an upstream does that has not run the call for lack of capacity.
func refuseCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	w.Header().Set(headerNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// runLog counts the runs of each call, which its body names.
type runLog struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runLog) run(body io.Reader) {
	name, _ := io.ReadAll(body)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[string(name)]++
}

func (l *runLog) count(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[call]
}

// startRawUpstream runs an upstream that writes onAccept to each new connection, runs each call and then writes what
// answer returns for its header. It returns its address.
func (l *runLog) startRawUpstream(t *testing.T, onAccept string, answer func(http.Header) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, onAccept); err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			l.run(r.Body)
			if _, err := io.WriteString(conn, answer(r.Header)); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// clientRepeats reports whether the OpenAI client libraries would repeat a call with this answer by themselves.
func clientRepeats(resp *http.Response) bool {
	switch resp.Header.Get("X-Should-Retry") {
	case "true":
		return true
	case "false":
		return false
	}
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusConflict, http.StatusTooManyRequests}, resp.StatusCode) ||
		resp.StatusCode >= http.StatusInternalServerError
}

// TestRefusalsOfCallsThatRanAreNoProof guards against calls that ran and are refused as not run, or sent again, because
// an answer looks like a refusal. One of two upstreams gives such answers.
func TestRefusalsOfCallsThatRanAreNoProof(t *testing.T) {
	const unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	named := func(h http.Header, status, lines string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, h.Get(headerAttempt), lines)
	}
	served := func(h http.Header) string { return named(h, "200 OK", "") }
	answerWith := func(status, lines string) func(http.Header) string {
		return func(h http.Header) string { return named(h, status, lines) }
	}
	for name, u := range map[string]struct {
		onAccept string
		answer   func(http.Header) string
	}{
		"unnamed refusal":                   {answer: func(http.Header) string { return unnamedRefusal }},
		"unnamed refusal before the answer": {onAccept: unnamedRefusal, answer: served},
		"refusal that another answer goes on": {answer: func(h http.Header) string {
			return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nX-Cut: " + served(h)
		}},
		"success that says it was not run":     {answer: answerWith("200 OK", "X-Not-Run: true\r\n")},
		"status 503 only":                      {answer: answerWith("503 Service Unavailable", "Retry-After: 1\r\n")},
		"status 429 only":                      {answer: answerWith("429 Too Many Requests", "")},
		"status 408 only":                      {answer: answerWith("408 Request Timeout", "")},
		"status 421 only":                      {answer: answerWith("421 Misdirected Request", "")},
		"status 500, which clients may repeat": {answer: answerWith("500 Internal Server Error", "X-Should-Retry: true\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			var log runLog
			_, f, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
				log.run(r.Body)
				w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
			})
			f.upstreams = append([]string{log.startRawUpstream(t, u.onAccept, u.answer)}, f.upstreams...)
			for n := range 10 {
				call := fmt.Sprint("call ", n)
				for try := range 2 {
					resp, _, err := sendRequest(t, "POST", url+"/services/s/pay", call, headerIdempotencyKey, call)
					if err != nil {
						t.Fatal(err)
					}
					ran, runs := resp.Header.Get(HeaderRan), log.count(call)
					if runs > 1 {
						t.Fatalf("%s ran %d times", call, runs)
					}
					if runs == 1 && (ran == string(NotRun) || resp.StatusCode >= http.StatusBadRequest && clientRepeats(resp)) {
						t.Fatalf("%s, try %d: status %d, %s, X-Should-Retry %q, and it ran", call, try, resp.StatusCode, ran, resp.Header.Get("X-Should-Retry"))
					}
				}
				// Without a key nothing but the answer tells the caller that it must not repeat the call.
				resp, _, err := sendRequest(t, "POST", url+"/services/s/pay", call+" without key")
				if err != nil {
					t.Fatal(err)
				}
				if runs := log.count(call + " without key"); runs > 1 || resp.Header.Get(HeaderRan) == string(NotRun) && runs > 0 {
					t.Fatalf("%s without key: status %d, %s, %d runs", call, resp.StatusCode, resp.Header.Get(HeaderRan), runs)
				}
			}
		})
	}
}

// TestUnprovedStatusIsNotSaidToHaveRun guards against answers of upstreams that callers are told to have run, although
// their status says otherwise and proves nothing.
func TestUnprovedStatusIsNotSaidToHaveRun(t *testing.T) {
	for _, path := range []string{"/services/s/pay", "/services/s/list"} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			is := is.New(t)
			_, _, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
				w.WriteHeader(status)
			})
			resp, _, err := sendRequest(t, "POST", url+path, "{}")
			is.NoErr(err)
			is.Equal(resp.StatusCode, status)
			is.Equal(resp.Header.Get(HeaderRan), string(RanUnknown))
		}
	}
}

// TestSoundRefusalIsSentElsewhereAtOnce guards against distrust of full upstreams, whose refusals are the usual case.
func TestSoundRefusalIsSentElsewhereAtOnce(t *testing.T) {
	is := is.New(t)
	var conns sync.Map
	_, f, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
		conns.Store(r.RemoteAddr, true)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.Header().Set(headerNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":"`+strings.Repeat("full ", 100)+`"}`)
	}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		_, _ = io.WriteString(w, "ok")
	})
	f.contract.Wait = contract.Duration(time.Second)
	const calls = 50
	for range calls {
		for _, path := range []string{"/services/s/pay", "/services/s/list"} {
			resp, body, err := sendRequest(t, "POST", url+path, "{}")
			is.NoErr(err)
			is.Equal(body, "ok")
			is.Equal(resp.Header.Get(HeaderRan), string(DidRun))
		}
	}
	opened := 0
	conns.Range(func(_, _ any) bool { opened++; return true })
	is.True(opened <= calls+5) // one for each call that may run once, and few for all others
}
