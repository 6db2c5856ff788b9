package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// foreignHead is the head of another answer.
const foreignHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 12\r\n\r\n"

// numberedStream returns the events of the tokens from one index up to another, without the end marker.
func numberedStream(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		_, _ = fmt.Fprintf(&b, "data: %d\nid: %d\n\n", i, i)
	}
	return b.String()
}

const (
	foreignTokens = 6
	endMarker     = "data: [DONE]\n\n"
)

// numberedTokens streams the tokens from the requested one on.
func numberedTokens(w http.ResponseWriter, r *http.Request) {
	from := 0
	_, _ = fmt.Sscan(r.Header.Get(headerResumeFrom), &from)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	w.Header().Set(headerResumeFrom, r.Header.Get(headerResumeFrom))
	_, _ = io.WriteString(w, numberedStream(from, foreignTokens)+endMarker)
}

// rawStream returns a handler that sends a stream without a length, and then closes the connection. The header of the
// request that it names is repeated in the answer.
func rawStream(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\n\r\n%s", status,
			headerAttempt, r.Header.Get(headerAttempt), headerResumeFrom, r.Header.Get(headerResumeFrom), body)
		_ = conn.Close()
	}
}

var foreignCases = []struct {
	name        string
	first, then http.HandlerFunc
	// whole is set if the caller gets all of the stream.
	whole bool
}{
	{"head after events", rawStream(200, numberedStream(0, 3)+foreignHead+"overloaded"), numberedTokens, true},
	{"head and text like an event", rawStream(200, numberedStream(0, 3)+foreignHead+"overloaded\n\n"), numberedTokens, true},
	{"head, text and an end marker", rawStream(200, numberedStream(0, 3)+foreignHead+"overloaded\n\n"+endMarker), numberedTokens, true},
	{"text", rawStream(200, numberedStream(0, 3)+`{"error":"overloaded"}`+"\n\n"), numberedTokens, true},
	{"head within an event", rawStream(200, numberedStream(0, 3)+"data: x"+foreignHead+"overloaded\n\n"), numberedTokens, true},
	{"broken within an event", rawStream(200, numberedStream(0, 3)+"data: x\nid: 3\n"), numberedTokens, true},
	{"end without a marker", rawStream(200, numberedStream(0, 3)), numberedTokens, true},
	{"stream again from its beginning", rawStream(200, numberedStream(0, 3)+numberedStream(0, 6)+endMarker), numberedTokens, true},
	{"token twice", rawStream(200, numberedStream(0, 3)+numberedStream(2, 6)+endMarker), numberedTokens, true},
	{"gap", rawStream(200, numberedStream(0, 3)+numberedStream(4, 6)+endMarker), numberedTokens, true},
	{"id before data", rawStream(200, "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\n"), numberedTokens, true},
	{"comment before data", rawStream(200, ": heartbeat\ndata: 0\nid: 0\n\n"), numberedTokens, true},
	{"resumed from the beginning", rawStream(200, numberedStream(0, 3)), rawStream(200, numberedStream(0, 6)+endMarker), false},
	{"resumed with a gap", rawStream(200, numberedStream(0, 3)), rawStream(200, numberedStream(4, 6)+endMarker), false},
	{"resumed, then a head", rawStream(200, numberedStream(0, 3)), rawStream(200, numberedStream(3, 4)+foreignHead+"overloaded\n\n"+endMarker), false},
	{"resumed with an error", rawStream(200, numberedStream(0, 3)), rawStream(503, "data: overloaded\nid: 3\n\n"+endMarker), false},
	{"error before any token", rawStream(200, ": heartbeat\n\n"), rawStream(503, "data: overloaded\nid: 0\n\n"+endMarker), false},
	{"resumed with text", rawStream(200, numberedStream(0, 3)), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerResumeFrom, r.Header.Get(headerResumeFrom))
		_, _ = io.WriteString(w, "overloaded")
	}, false},
}

// comparable returns a stream whose events have their id last, without comments.
func comparable(stream string) string {
	for i := range foreignTokens {
		stream = strings.ReplaceAll(stream, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i), fmt.Sprintf("data: %d\nid: %d\n\n", i, i))
	}
	return strings.ReplaceAll(strings.ReplaceAll(stream, ": heartbeat\n\n", ""), ": heartbeat\n", "")
}

// TestForeignBytesDoNotReachStreams guards against the head, the text or the tokens of another answer in a stream, and against
// streams that end as complete after them.
func TestForeignBytesDoNotReachStreams(t *testing.T) {
	for _, c := range foreignCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, _, url := newGateway(t, c.first, c.then, c.then)
			_, body, err := sendRequest(t, "POST", url+"/v1/chat/completions", streamBody)
			whole := numberedStream(0, foreignTokens) + endMarker
			if got := comparable(body); !strings.HasPrefix(whole, got) || err == nil && got != whole {
				t.Errorf("error %v, body %q", err, body)
			}
			if c.whole {
				is.NoErr(err)
			}
		})
	}
}

// TestStreamOfCallThatRunsOnceIsWhole guards against a stream of a call that may run at most once which ends as complete
// without its end, or contains what is not its own.
func TestStreamOfCallThatRunsOnceIsWhole(t *testing.T) {
	large := strings.Repeat(": "+strings.Repeat("x", 1000)+"\n\n", 2*maxRecordedAnswerBytes/1000)
	for _, size := range []string{"", large} {
		for _, c := range []struct {
			name, stream string
			whole        bool
		}{
			{"whole", size + numberedStream(0, 3) + endMarker, true},
			{"end without a marker", size + numberedStream(0, 3), false},
			{"head and text", size + numberedStream(0, 3) + foreignHead + "overloaded\n\n", false},
			{"head, text and an end marker", size + numberedStream(0, 3) + foreignHead + "overloaded\n\n" + endMarker, false},
			{"two runs", size + numberedStream(0, 3) + numberedStream(0, 6) + endMarker, false},
		} {
			t.Run(fmt.Sprint(c.name, " ", len(size)), func(t *testing.T) {
				_, _, url := newGateway(t, rawStream(200, c.stream))
				for range 2 { // the second time from the ledger
					resp, body, err := sendRequest(t, "POST", url+"/v1/chat/completions", streamBody, headerRunOnce, "1", headerIdempotencyKey, "k")
					served := err == nil && resp.StatusCode == http.StatusOK
					if served != c.whole && (served || size == "") || served && body != c.stream || strings.Contains(body, "HTTP/1.1") {
						t.Errorf("error %v, body %.300q", err, strings.TrimPrefix(body, large))
					}
				}
			})
		}
	}
}
