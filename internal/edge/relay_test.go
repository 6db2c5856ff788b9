package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/internal/owner"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/routes"
)

// discardWriter is a response writer that discards the body.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (w *discardWriter) WriteHeader(int)                  {}
func (w *discardWriter) Flush()                           {}
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// plainEvents is a dialect in which events begin with fields only.
type plainEvents struct{ Dialect }

func (plainEvents) BeginsEvent([]byte) bool { return false }

// BenchmarkRelayedEvent measures what the relay of one event takes, without the network.
func BenchmarkRelayedEvent(b *testing.B) {
	var stream bytes.Buffer
	for i := range b.N {
		fmt.Fprintf(&stream, "id: %d\ndata: d.2.1.1c53a5e804733020.fyngtquahonivvexbqbjgj\n\n", i+1)
	}
	e := &Edge{
		ending: b.Context(), loop: owner.New(), upstreams: map[string]knownUpstream{}, metrics: metrics.New("benchmark"),
		log: eventlog.New(io.Discard, nil), dialect: plainEvents{},
	}
	go func() { _ = e.loop.Run(b.Context()) }()
	c := &call{
		edge: e, w: &discardWriter{http.Header{}}, r: httptest.NewRequest(http.MethodPost, "/", nil),
		routing: &routingConfig{}, route: &routes.Route{Kind: routes.Stream}, deadline: boottime.Now() + time.Hour, held: bodybuffer.NewBudget(1 << 20).NewShare(),
	}
	pool := upstreamconn.NewPool(func(context.Context, string) (net.Conn, error) {
		own, other := net.Pipe()
		go func() { _, _ = io.WriteString(other, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }()
		return own, nil
	})
	conn, err := pool.Get(b.Context(), "u", "")
	if err != nil {
		b.Fatal(err)
	}
	resp, err := conn.Receive(func(http.Header) upstreamconn.Owner { return upstreamconn.ThisCall })
	if err != nil {
		b.Fatal(err)
	}
	resp.Body = io.NopCloser(&stream)
	b.ReportAllocs()
	b.ResetTimer()
	if _, outcome := c.relayStream(&fleet.Upstream{ID: "u"}, conn, resp); outcome != outcomeAnswered {
		b.Fatal(outcome)
	}
}
