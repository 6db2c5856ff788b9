package edge

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestFingerprintTellsRequestsApart checks that repeats of a request have one fingerprint, and that
// requests which differ in any part, or only in where one part ends and the next begins, have
// others.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	is := is.New(t)
	of := func(method, uri, id string, content []string, body string) string {
		r := httptest.NewRequest(method, uri, nil)
		r.Header.Set("Request-Id", id)
		return fingerprint(r, content, []byte(body))
	}
	repeated := of("POST", "http://h/a", "1", []string{"m", "p"}, "body")
	is.Equal(of("POST", "http://h/a", "2", []string{"m", "p"}, "body"), repeated)
	others := map[string]bool{repeated: true}
	for _, other := range []string{
		of("PUT", "http://h/a", "1", []string{"m", "p"}, "body"),
		of("POST", "http://g/a", "1", []string{"m", "p"}, "body"),
		of("POST", "http://h/a?", "1", []string{"m", "p"}, "body"),
		of("POST", "http://h/a", "1", []string{"mp", ""}, "body"),
		of("POST", "http://h/a", "1", []string{"m", "pbody"}, ""),
		of("POST", "http://h/a", "1", []string{"m", "p"}, "body2"),
	} {
		others[other] = true
	}
	is.Equal(len(others), 7)
}
