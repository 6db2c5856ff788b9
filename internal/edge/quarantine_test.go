package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/owner"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/quarantine"
)

// TestNodeThatHearsNoUpstreamJudgesNone has a silent upstream accept no connection. That shows its end only to a node
// that hears another upstream; otherwise the node itself may be cut off.
func TestNodeThatHearsNoUpstreamJudgesNone(t *testing.T) {
	for name, hears := range map[string]bool{"hears another": true, "hears none": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := eventlog.New(io.Discard, nil)
			t.Cleanup(func() { log.Close(time.Second) })
			e := &Edge{
				log: log, loop: owner.New(), pool: upstreamconn.NewPool(upstreamconn.NewDial(time.Second)),
				dial:          func(context.Context, string) (net.Conn, error) { return nil, errors.New("no answer") },
				crashEvidence: quarantine.NewReporter(), demandChanged: make(chan struct{}, 1),
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = e.loop.Run(ctx) }()
			silent := quarantine.SilentUpstream{Incarnation: fleet.Incarnation{ID: "u"}, Addr: "192.0.2.1:80", Since: boottime.Now() - 2*time.Second}
			e.suspicions.Add(quarantine.Loss{Engine: silent.Incarnation, Service: "s", Traits: []string{"a"}}, silent.Addr, silent.Since)
			if hears {
				readFromAnother(t, e.pool)
			}
			e.probeSilent(silent)
			var losses []quarantine.Loss
			is.NoErr(e.loop.Do(ctx, func() { losses, _ = e.crashEvidence.Losses() }))
			is.Equal(len(losses) == 1, hears)
		})
	}
}

// readFromAnother has an upstream answer a call over a connection of the pool.
func readFromAnother(t *testing.T, pool *upstreamconn.Pool) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	conn, err := pool.Get(t.Context(), listener.Addr().String(), "a")
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.Send(&upstreamconn.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}))
	_, err = conn.Receive(func(http.Header) upstreamconn.Owner { return upstreamconn.ThisCall })
	is.NoErr(err)
}
