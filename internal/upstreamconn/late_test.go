package upstreamconn_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// TestCallIsNotSentTwiceOnOneConnection has an upstream that rejects the first attempt of each call send the
// rejection once more when the next call arrives on the connection. It must not be taken for the answer to
// the second attempt.
func TestCallIsNotSentTwiceOnOneConnection(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	attempts, late := map[string]int{}, map[int]string{}
	addr := serveRaw(t, func(conn, _ int, r *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Id")
		attempts[id]++
		copyOfLast := late[conn]
		delete(late, conn)
		if attempts[id] > 1 {
			return copyOfLast + okAnswer(id, "run")
		}
		late[conn] = okAnswer(id, "rejected")
		return copyOfLast + late[conn]
	})
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	for n := range 50 {
		id := fmt.Sprint("c", n)
		body, err := call(pool, addr, id)
		is.NoErr(err)
		is.Equal(body, "rejected")
		body, err = call(pool, addr, id)
		is.NoErr(err)
		is.Equal(body, "run")
	}
}

// TestAnswerWithoutIDOnUsedConnectionFails guards against a late answer that names no call.
func TestAnswerWithoutIDOnUsedConnectionFails(t *testing.T) {
	is := is.New(t)
	unnamed := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nno"
	addr := serveRaw(t, func(_, n int, r *http.Request) string {
		if n == 0 {
			return okAnswer(r.Header.Get("Id"), "first")
		}
		return unnamed + okAnswer(r.Header.Get("Id"), "second")
	})
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	body, err := call(pool, addr, "a")
	is.NoErr(err)
	is.Equal(body, "first")
	_, err = call(pool, addr, "b")
	is.True(err != nil)
	is.True(!errors.Is(err, upstreamconn.ErrNotSent))
}

// TestConnectionOfUnnamedAnswersIsNotKept has an upstream that never names the calls in its answers. They are
// accepted on connections that have carried no other call.
func TestConnectionOfUnnamedAnswersIsNotKept(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(conn, _ int, _ *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 1\r\n\r\n%d", conn)
	})
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	for n := range 3 {
		body, err := call(pool, addr, fmt.Sprint("c", n))
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(n))
	}
}

// TestDisturbedConnectionCarriesNoOtherCall has an answer to another call come before the right one.
func TestDisturbedConnectionCarriesNoOtherCall(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(conn, n int, r *http.Request) string {
		return okAnswer("another", "no") + okAnswer(r.Header.Get("Id"), fmt.Sprint(conn, n))
	})
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	for n := range 3 {
		body, err := call(pool, addr, fmt.Sprint("c", n))
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(n, 0))
	}
}

// TestIdleConnectionYieldsToCallThatItCannotCarry has a caller use one ID for all calls to an upstream that
// accepts a single connection.
func TestIdleConnectionYieldsToCallThatItCannotCarry(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(_, _ int, r *http.Request) string { return okAnswer(r.Header.Get("Id"), "fine") })
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	pool.SetLimit(addr, 1)
	for range 3 {
		_, err := call(pool, addr, "same")
		is.NoErr(err)
	}
	is.Equal(pool.Stats(), upstreamconn.Stats{Opened: 3})
}

// TestConnectionIsReplacedAfterManyCalls bounds the calls that a connection remembers.
func TestConnectionIsReplacedAfterManyCalls(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(_, _ int, r *http.Request) string { return okAnswer(r.Header.Get("Id"), "fine") })
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	const calls = 10_000
	for n := range calls {
		_, err := call(pool, addr, fmt.Sprint("c", n))
		is.NoErr(err)
	}
	opened := pool.Stats().Opened
	is.True(opened >= 2 && opened <= calls/1000)
}

// TestClosedAddressesAreBounded calls ever other upstreams once, as a node does whose upstreams come and go.
func TestClosedAddressesAreBounded(t *testing.T) {
	is := is.New(t)
	pool := upstreamconn.NewPool(func(context.Context, string) (net.Conn, error) { return nil, io.EOF })
	for n := range 20_000 {
		_, err := pool.Get(t.Context(), fmt.Sprint("addr", n), "a")
		is.True(err != nil)
	}
	is.True(pool.Hosts() <= 1100)
}
