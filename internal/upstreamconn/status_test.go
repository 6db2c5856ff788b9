package upstreamconn_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// oddStatuses are statuses that HTTP does not have, or that are no final answer to a call.
var oddStatuses = []string{"000", "007", "099", "101", "600", "999", "+20", "-01", "2.0", "20", "2000", "0x1", "abc"}

// TestOddStatusIsNoAnswer guards against callers that get a status which HTTP does not have, and against calls that wait for
// another answer after one.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range oddStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			addr := serveRaw(t, func(_, _ int, r *http.Request) string {
				id := r.Header.Get("Id")
				return fmt.Sprintf("HTTP/1.1 %s Odd\r\nId: %s\r\nContent-Length: 0\r\n\r\n", status, id) + okAnswer(id, "next")
			})
			if body, err := call(upstreamconn.NewPool(upstreamconn.NewDial(time.Second)), addr, "a"); err == nil {
				t.Errorf("answered with %q", body)
			}
		})
	}
}

// scripted is a connection on which an upstream writes the same bytes whatever it reads.
type scripted struct {
	net.Conn
	answer io.Reader
}

func (c scripted) Read(p []byte) (int, error)  { return c.answer.Read(p) }
func (c scripted) Write(p []byte) (int, error) { return len(p), nil }
func (c scripted) Close() error                { return nil }

// FuzzAnswer has an upstream send arbitrary bytes. What counts as the answer to a call must be one: its status line is
// among the bytes, with a final status.
func FuzzAnswer(f *testing.F) {
	for _, status := range append(oddStatuses, "100", "102", "199", "200", "204", "304", "503", "599") {
		f.Add(fmt.Appendf(nil, "HTTP/1.1 %s Odd\r\nId: a\r\nContent-Length: 0\r\n\r\n", status))
		f.Add(fmt.Appendf(nil, "HTTP/1.1 %s Odd\r\nId: a\r\nContent-Length: 0\r\n\r\n%s", status, okAnswer("a", "next")))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nX: HTTP/1.1 600 Odd\r\nId: a\r\n\r\n"))
	f.Add([]byte("HTTP/2.0 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 \r\nId: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 999 x\r\nId: a\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		pool := upstreamconn.NewPool(func(context.Context, string) (net.Conn, error) {
			return scripted{answer: bytes.NewReader(answer)}, nil
		})
		c, err := pool.Get(context.Background(), "a:1", "a")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.Send(&upstreamconn.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}); err != nil {
			t.Fatal(err)
		}
		resp, err := c.Receive(ownedBy("a"))
		if err != nil {
			return
		}
		line := regexp.MustCompile(`HTTP/1\.[0-9] +` + strconv.Itoa(resp.StatusCode))
		if resp.StatusCode < 200 || resp.StatusCode > 599 || !line.Match(answer) {
			t.Errorf("%q counts as an answer with status %d", answer, resp.StatusCode)
		}
	})
}
