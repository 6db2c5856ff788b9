package upstreamconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// serveRaw runs an upstream that writes the text that answer returns for each call. If the
// text is empty, it closes the connection. Connections and their calls are numbered from 0.
func serveRaw(t *testing.T, answer func(conn, call int, r *http.Request) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for call := 0; ; call++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					text := answer(n, call, r)
					if text == "" {
						return
					}
					if _, err := io.WriteString(conn, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// okAnswer returns the text of an answer with status 200.
func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// ownedBy tells whether an answer names the call with the given ID.
func ownedBy(id string) func(http.Header) upstreamconn.Owner {
	return func(h http.Header) upstreamconn.Owner {
		switch h.Get("Id") {
		case "":
			return upstreamconn.Unidentified
		case id:
			return upstreamconn.ThisCall
		}
		return upstreamconn.AnotherCall
	}
}

// call sends a call and returns the body of its answer.
func call(pool *upstreamconn.Pool, addr, id string) (string, error) {
	c, err := pool.Get(context.Background(), addr, id)
	if err != nil {
		return "", err
	}
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return "", err
	}
	if err := c.Send(&upstreamconn.Request{Method: "GET", URI: "/x?y=%2f", Host: "h", Header: http.Header{"Id": {id}}}); err != nil {
		c.Close()
		return "", err
	}
	resp, err := c.Receive(ownedBy(id))
	if err != nil {
		c.Close()
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Close()
		return "", err
	}
	c.Release()
	return string(body), nil
}

func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(conn, n int, r *http.Request) string {
		return okAnswer(r.Header.Get("Id"), fmt.Sprint(conn, n, r.RequestURI))
	})
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	for n := range 3 {
		body, err := call(pool, addr, fmt.Sprint("c", n))
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(0, n, "/x?y=%2f"))
	}
	is.Equal(pool.Stats(), upstreamconn.Stats{Opened: 1, Reused: 2})
}

func TestReceiveDropsLateAnswer(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(_, _ int, r *http.Request) string {
		return okAnswer("another", "not yours") + okAnswer(r.Header.Get("Id"), "yours")
	})
	body, err := call(upstreamconn.NewPool(upstreamconn.NewDial(time.Second)), addr, "mine")
	is.NoErr(err)
	is.Equal(body, "yours")
}

func TestReleaseClosesAfterExtraBytes(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(conn, _ int, r *http.Request) string {
		return okAnswer(r.Header.Get("Id"), fmt.Sprint(conn)) + "HTTP/1.1 200 OK\r\nId: stray\r\nContent-Length: 2\r\n\r\nno"
	})
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	for n := range 3 {
		body, err := call(pool, addr, fmt.Sprint("c", n))
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(n))
	}
}

func TestTruncatedAnswerFails(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(_, n int, r *http.Request) string {
		if n > 0 {
			return ""
		}
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 10\r\n\r\nshort"
	})
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	c, err := pool.Get(context.Background(), addr, "a")
	is.NoErr(err)
	is.NoErr(c.SetDeadline(time.Now().Add(300 * time.Millisecond)))
	is.NoErr(c.Send(&upstreamconn.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}}))
	resp, err := c.Receive(func(http.Header) upstreamconn.Owner { return upstreamconn.ThisCall })
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
	c.Close()
}

func TestGetErrorsAreMarkedNotSent(t *testing.T) {
	is := is.New(t)
	addr := serveRaw(t, func(_, _ int, r *http.Request) string { return okAnswer(r.Header.Get("Id"), "") })
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	pool.SetLimit(addr, 1)
	c, err := pool.Get(context.Background(), addr, "a")
	is.NoErr(err)
	_, err = pool.Get(context.Background(), addr, "a")
	is.True(errors.Is(err, upstreamconn.ErrNotSent) && errors.Is(err, upstreamconn.ErrFull))
	c.Close()
	_, err = call(pool, addr, "a")
	is.NoErr(err)

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed.Close()
	_, err = call(pool, closed.Addr().String(), "b")
	is.True(errors.Is(err, upstreamconn.ErrNotSent))
}

// TestEarlyAnswerPreventsReuse has the upstream answer without reading the request body.
// Another call on the same connection would follow an incomplete body.
func TestEarlyAnswerPreventsReuse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err != nil {
				return
			}
			if _, err := io.WriteString(conn, okAnswer("a", "early")); err != nil {
				return
			}
		}
	}()
	pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
	c, err := pool.Get(context.Background(), listener.Addr().String(), "a")
	is.NoErr(err)
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	is.NoErr(c.Send(&upstreamconn.Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20)}))
	resp, err := c.Receive(func(http.Header) upstreamconn.Owner { return upstreamconn.ThisCall })
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "early")
	c.Release()
	_, err = pool.Get(context.Background(), listener.Addr().String(), "a")
	is.NoErr(err)
	is.Equal(pool.Stats().Reused, uint64(0))
}

// TestDisturbedConnectionIsNotReused has the upstream send more bytes, or close the
// connection, while it is idle.
func TestDisturbedConnectionIsNotReused(t *testing.T) {
	for name, disturb := range map[string]func(conn net.Conn) error{
		"stray answer": func(conn net.Conn) error {
			_, err := io.WriteString(conn, okAnswer("stray", "no"))
			return err
		},
		"closed": func(conn net.Conn) error { return conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			disturbed := make(chan error, 2)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					if _, err := io.WriteString(conn, okAnswer(r.Header.Get("Id"), "fine")); err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
					disturbed <- disturb(conn)
				}
			}()
			pool := upstreamconn.NewPool(upstreamconn.NewDial(time.Second))
			for _, id := range []string{"a", "b"} {
				body, err := call(pool, listener.Addr().String(), id)
				is.NoErr(err)
				is.Equal(body, "fine")
				is.NoErr(<-disturbed)
				time.Sleep(20 * time.Millisecond) // until the disturbance arrives
			}
			is.Equal(pool.Stats(), upstreamconn.Stats{Opened: 2})
		})
	}
}
