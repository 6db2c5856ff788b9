package edge

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/routes"
)

// TestTakenUpStreamStaysAtItsService guards against a split route that sends a caller's next try to
// another service than the one that began the stream.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		kind   routes.Kind
		caller Caller
		want   string
	}{
		{routes.Stream, Caller{ID: "b"}, "b"},
		{routes.Stream, Caller{ID: "b", ResumedID: "a"}, "b"}, // without an event it begins anew
		{routes.Stream, Caller{ID: "b", ResumeAfter: "3", ResumedID: "a"}, "a"},
		{routes.Stream, Caller{ID: "b", ResumeAfter: "3"}, "b"},
		{routes.Repeatable, Caller{ID: "b", ResumeAfter: "3", ResumedID: "a"}, "b"},
	} {
		is.Equal((&call{caller: c.caller, route: &routes.Route{Kind: c.kind}}).streamID(), c.want)
	}
}
