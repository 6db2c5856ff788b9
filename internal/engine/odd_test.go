package engine

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestNumbersThatNoEngineHasAreRefused guards against announcements of numbers whose sums overflow, such as those of
// the memory of two replicas, and of addresses that mean something at the engine only.
func TestNumbersThatNoEngineHasAreRefused(t *testing.T) {
	for _, c := range []struct{ name, old, new string }{
		{"memory", `"memory":100,`, `"memory":9223372036854775807,`},
		{"memory of a replica", `"memory":5`, `"memory":9223372036854775807`},
		{"slots", `"slots":4`, `"slots":9223372036854775807`},
		{"running calls", `"running":0`, `"running":9223372036854775807`},
		{"queued calls", `"queued":0`, `"queued":9223372036854775807`},
		{"zone", `"127.0.0.1:9000"`, `"[fe80::1%eth0]:9000"`},
		{"depth", `"id":"e1"`, `"id":` + strings.Repeat("[", 100000)},
		{"number beyond range", `"slots":4`, `"slots":1e999`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &recordingSink{}
			body := strings.Replace(validAnnouncement, c.old, c.new, 1)
			is.True(body != validAnnouncement)
			is.Equal(post(Handler(s, testBodies()), PathAnnounce, body).Code, http.StatusBadRequest)
			is.Equal(len(s.announced), 0)
		})
	}
}
