package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"unicode/utf8"
)

// FuzzRequest sends arbitrary authorized requests. A response must not report that the
// request was not run if the upstream was called, and every server error must report
// whether it ran.
func FuzzRequest(f *testing.F) {
	seeds := []struct{ method, path, contentType, key, body string }{
		{"POST", "/v1/chat/completions", "application/json", "", `{"model":"m","messages":[]}`},
		{"POST", "/v1/completions", "application/json; charset=utf-8", "k", `{"model":"a","stream":true}`},
		{"POST", "/v1/completions", "text/plain", "", "x"},
		{"POST", "/services/s/pay", "", "k\x00", "{}"},
		{"PUT", "/services/s/../s/pay", "", "", ""},
		{"POST", "/services/s/a%2Fb", "", "k", ""},
		{"GET", "/services/s//pay", "", "", ""},
		{"GET", "/v1/models/%zz", "", "", ""},
		{"POST", "/v1/completions", "application/json", "", `{"model":"m","model":"x"}`},
		{"POST", "/v1/completions", "application/json", "", `{"model":{"a":` + strings.Repeat("[", 200)},
	}
	for _, s := range seeds {
		f.Add(s.method, s.path, s.contentType, s.key, s.body)
	}
	var runs atomic.Int32
	g, _, _ := newGateway(&testing.T{}, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "ok")
	})
	handler := g.Handler()
	f.Fuzz(func(t *testing.T, method, path, contentType, key, body string) {
		if !strings.HasPrefix(path, "/") || !utf8.ValidString(path) {
			return
		}
		r, err := http.NewRequest(method, "http://node"+path, strings.NewReader(body))
		if err != nil {
			return // not a valid request, so no handler would see it
		}
		r.RemoteAddr = "127.0.0.1:1"
		r.Header.Set("Authorization", "Bearer "+testToken)
		r.Header.Set("Content-Type", contentType)
		r.Header.Set(headerIdempotencyKey, key)
		before := runs.Load()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		ran := runs.Load() > before
		reportedRan := Ran(w.Header().Get(HeaderRan))
		if ran && reportedRan == NotRun {
			t.Fatalf("the request ran, but the response with status %d reports that it did not", w.Code)
		}
		if w.Code >= http.StatusInternalServerError && reportedRan == "" {
			t.Fatalf("the response with status %d does not report whether the request ran", w.Code)
		}
	})
}
