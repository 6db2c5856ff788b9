package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/testutil"
)

// newCutGateway returns the URL of a gateway before an upstream whose answers are cut, and a sound one that is tried after it. set sets
// the cut answers.
func newCutGateway(t *testing.T) (url string, set func(testutil.CutAnswer)) {
	t.Helper()
	addr, set := testutil.ServeCut(t, headerAttempt)
	_, f, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		if r.URL.Path == "/v1/chat/completions" {
			tokenStream(3, 0)(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "sound")
	})
	f.upstreams = append([]string{addr}, f.upstreams...)
	return url, set
}

// TestCutAnswerIsNotWhole guards against answers that break off, in the head too, and count as whole. What may be repeated is served by
// the other upstream; of the rest, callers must not be told that it did not run.
func TestCutAnswerIsNotWhole(t *testing.T) {
	const plain, stream = "X-Attempt-Id: ID\r\n", "X-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\n"
	for path, lines := range map[string]string{"/services/s/pay": plain, "/services/s/list": plain, "/v1/chat/completions": stream} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			url, set := newCutGateway(t)
			for _, cut := range testutil.CutAnswers(lines) {
				set(cut)
				resp, body, err := sendRequest(t, "POST", url+path, streamBody)
				if err != nil {
					t.Errorf("%s: %v", cut.Name, err)
					continue
				}
				whole := resp.StatusCode == http.StatusOK
				switch {
				case lines == plain && cut.MayBeWhole:
				case path == "/services/s/pay":
					if whole || resp.Header.Get(HeaderRan) != string(RanUnknown) {
						t.Errorf("%s: status %d, %s, body %q", cut.Name, resp.StatusCode, resp.Header.Get(HeaderRan), body)
					}
				case !whole || body != "sound" && body != expectedStream(3):
					t.Errorf("%s: status %d, body %q", cut.Name, resp.StatusCode, body)
				}
			}
		})
	}
}

// TestCallersGetNoAnswerResetWhileBodyIsSent guards against the end of an answer without a length that was a reset, of which the kernel
// told the write of the request's body only.
func TestCallersGetNoAnswerResetWhileBodyIsSent(t *testing.T) {
	t.Parallel()
	url, set := newCutGateway(t)
	set(testutil.UnreadBody("X-Attempt-Id: ID\r\n"))
	request := strings.Repeat("x", MaxBodyBytes)
	const calls = 30
	short := 0
	for range calls {
		for _, path := range []string{"/services/s/pay", "/services/s/list"} {
			resp, body, err := sendRequest(t, "POST", url+path, request)
			if err == nil && resp.StatusCode == http.StatusOK && body != "sound" {
				short++
			}
		}
	}
	if short > 0 {
		t.Errorf("%d of %d answers count as whole", short, 2*calls)
	}
}

// TestCallersWithoutChunksCanTellCutAnswers guards against large answers that break off, which callers that speak HTTP/1.0 take for whole
// ones: their answers end with the connection.
func TestCallersWithoutChunksCanTellCutAnswers(t *testing.T) {
	for _, limited := range []bool{false, true} {
		for _, path := range []string{"/services/s/pay", "/services/s/list", "/v1/chat/completions"} {
			t.Run(fmt.Sprint(path, limited), func(t *testing.T) {
				is := is.New(t)
				g, _, _ := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
					_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedAnswerBytes))
					panic(http.ErrAbortHandler)
				})
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				if limited {
					listener = connlimit.New(0, nil).Listen(listener, connlimit.ListenerOptions{Name: "callers"})
				}
				server := &http.Server{Handler: g.Handler()}
				t.Cleanup(func() { server.Close() })
				go func() { _ = server.Serve(listener) }()
				conn, err := net.Dial("tcp", listener.Addr().String())
				is.NoErr(err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
					path, testToken, len(streamBody), streamBody)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				_, err = io.ReadAll(resp.Body)
				is.True(err != nil || resp.StatusCode >= http.StatusBadRequest)
			})
		}
	}
}
