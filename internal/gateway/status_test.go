package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestOddStatusReachesNoCaller guards against answers with a status that HTTP does not have: a call that may run once is
// then of unknown outcome, others are repeated elsewhere.
func TestOddStatusReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "+20", "2.0"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			odd := func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, headerAttempt, r.Header.Get(headerAttempt))
			}
			sound := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
				_, _ = io.WriteString(w, "ok")
			}
			_, _, url := newGateway(t, odd, sound)
			resp, _, err := sendRequest(t, "POST", url+"/services/s/pay", "{}")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get(HeaderRan), string(RanUnknown))
			_, body, err := sendRequest(t, "POST", url+"/services/s/list", "{}")
			is.NoErr(err)
			is.Equal(body, "ok")
		})
	}
}
