package upstreamconn_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// answered sends a call on a connection and reads its answer.
func answered(t *testing.T, c *upstreamconn.Conn, id string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.Send(&upstreamconn.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {id}}}))
	resp, err := c.Receive(ownedBy(id))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
}

// TestEndedConnectionsTellOfNextProcess opens two connections to an upstream, ends the first or both in some way, and opens
// another one, which may lead to a process that has started since unless one of the earlier connections is left.
func TestEndedConnectionsTellOfNextProcess(t *testing.T) {
	for name, c := range map[string]struct {
		// endsKept makes the upstream end the first connection, keptOpen leaves the second one, and aborts has this node
		// end the first one in the middle of a call.
		endsKept, aborts, keptOpen bool
		may                        bool
		how                        upstreamconn.Ending
	}{
		"both are closed after use":           {may: true},
		"ended by the upstream":               {endsKept: true, may: true, how: upstreamconn.EndedByUpstream},
		"aborted":                             {aborts: true, may: true, how: upstreamconn.Aborted},
		"ended by the upstream, another left": {endsKept: true, keptOpen: true},
		"aborted, another left":               {aborts: true, keptOpen: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := serveRaw(t, func(conn, n int, r *http.Request) string {
				if c.endsKept && conn == 0 && n == 1 {
					return ""
				}
				return okAnswer(r.Header.Get("Id"), "fine")
			})
			pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
			var conns []*upstreamconn.Conn
			for i := range 2 {
				conn, err := pool.GetNew(t.Context(), addr, fmt.Sprint("c", i))
				is.NoErr(err)
				answered(t, conn, fmt.Sprint("c", i))
				conns = append(conns, conn)
			}
			since := boottime.Now()
			switch {
			case c.aborts:
				conns[0].Abort()
			case c.endsKept:
				conns[0].Release()
				again, err := pool.Get(t.Context(), addr, "again")
				is.NoErr(err)
				is.NoErr(again.Send(&upstreamconn.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}))
				_, err = again.Receive(ownedBy("again"))
				is.True(err != nil)
				again.Close()
			default:
				conns[0].Close()
			}
			if !c.keptOpen {
				conns[1].Close()
			}
			next, err := pool.GetNew(t.Context(), addr, "next")
			is.NoErr(err)
			may, how := next.MayBeOfNextProcess(since)
			is.Equal(may, c.may)
			is.Equal(how, c.how)
			may, _ = next.MayBeOfNextProcess(boottime.Now()) // the upstream has shown since what it is
			is.True(!may)
		})
	}
}

// TestAbortedCallLeavesNextOne has the caller of one call leave when its connection carries the next call.
func TestAbortedCallLeavesNextOne(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(_, _ int, r *http.Request) string { return okAnswer(r.Header.Get("Id"), "fine") })
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	conn, err := pool.Get(t.Context(), addr, "a")
	is.NoErr(err)
	abort := conn.Aborter()
	answered(t, conn, "a")
	conn.Release()
	next, err := pool.Get(t.Context(), addr, "b")
	is.NoErr(err)
	abort()
	answered(t, next, "b")
	is.Equal(pool.Stats(), upstreamconn.Stats{Opened: 1, Reused: 1})
}
