package edge

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/detour"
	"github.com/agateslip/agateslip/internal/owner"
)

// TestNodeThatIsCutOffDoesNotHelp has a node lose its paths to two upstreams, which it knows, and not to a third.
// Another node must not wait for it to find out again. A node that stops helps with none.
func TestNodeThatIsCutOffDoesNotHelp(t *testing.T) {
	is := is.New(t)
	refused := func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }
	e := &Edge{ending: t.Context(), loop: owner.New(), upstreams: map[string]knownUpstream{}, paths: detour.NewPaths(refused, refused, func(bool) {})}
	for _, id := range []string{"a", "b", "c"} {
		e.upstreams[id] = knownUpstream{desc: fleet.Upstream{ID: id, Addr: id + ":1"}}
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.loop.Run(ctx) }()
	is.True(e.mayHelp("a:1"))
	is.True(!e.mayHelp("unknown:1"))
	for _, addr := range []string{"a:1", "b:1"} {
		_, err := e.paths.Dial(ctx, addr)
		is.True(err != nil)
	}
	is.True(!e.mayHelp("a:1"))
	is.True(e.mayHelp("c:1"))
	e.Stop() // a detour that begins now would be cut off at the end of the stop
	is.True(!e.mayHelp("c:1"))
	stop()
	is.NoErr(<-ended)
}
