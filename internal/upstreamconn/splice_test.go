package upstreamconn_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// TestAnswerThatBreaksOffInItsHeader has an upstream begin a late answer to an earlier call, break it off after
// each number of bytes, and go on with the right answer. The status of the one must not be taken for that of the
// other.
func TestAnswerThatBreaksOffInItsHeader(t *testing.T) {
	late := "HTTP/1.1 503 Service Unavailable\r\nServer: x\r\nId: a\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nlate"
	for cut := 1; cut < len(late); cut++ {
		is := is.New(t)
		addr := serveRaw(t, func(_, n int, r *http.Request) string {
			if n == 0 {
				return okAnswer(r.Header.Get("Id"), "first")
			}
			return late[:cut] + okAnswer(r.Header.Get("Id"), "second") + strings.Repeat("\r\n", 8)
		})
		pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
		_, err := call(pool, addr, "a")
		is.NoErr(err)
		c, err := pool.Get(t.Context(), addr, "b")
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(time.Second)))
		is.NoErr(c.Send(&upstreamconn.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {"b"}}}))
		if resp, err := c.Receive(ownedBy("b")); err == nil && resp.StatusCode != http.StatusOK {
			t.Errorf("cut after %q: status %d", late[:cut], resp.StatusCode)
		}
		c.Close()
	}
}
