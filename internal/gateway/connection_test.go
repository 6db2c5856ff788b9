package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAnswerAfterAnOlderWriteDeadline sends a request on a connection whose
// previous answer set a write deadline that has passed meanwhile.
func TestAnswerAfterAnOlderWriteDeadline(t *testing.T) {
	g, f, _ := newGateway(t, tokens(3, 0))
	handler := g.Handler()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second)); err != nil {
			t.Error(err)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(front.Close)
	t.Run("stream", func(t *testing.T) {
		is := is.New(t)
		resp, body, err := answerOf(t, http.MethodPost, front.URL+"/v1/chat/completions", `{"model":"m","stream":true}`)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, wholeStream(3))
	})
	t.Run("refusal", func(t *testing.T) {
		is := is.New(t)
		f.refuse = refuse(ReasonQueueFull, "full")
		resp, _, err := answerOf(t, http.MethodPost, front.URL+"/v1/chat/completions", `{"model":"m"}`)
		is.NoErr(err)
		is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
	})
}
