package testutil

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// CutAnswer is an answer of an upstream that ends early.
type CutAnswer struct {
	// Name tells which answer it is, how many bytes of it are sent and how it ends.
	Name string
	// Sent are these bytes, in which ID stands for the ID of the call.
	Sent string
	// Reset is set if the connection is reset. Else it is closed in the usual way.
	Reset bool
	// Unread is set if the upstream does not read the body of the call, which its caller is still sending at the reset.
	Unread bool
	// MayBeWhole is set if nothing tells the answer from a whole one: without a length, it ends with its connection.
	MayBeWhole bool
}

// CutAnswers returns all beginnings of answers with the given header lines: with a length, in chunks, after an interim answer, and
// without a length. Each connection is closed and reset.
func CutAnswers(lines string) []CutAnswer {
	var cuts []CutAnswer
	for _, a := range []struct{ name, start, framing, body string }{
		{"length", "HTTP/1.1 200 OK\r\n", "Content-Length: 1200\r\n", strings.Repeat("x", 12)},
		{"chunks", "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\nTrailer: T\r\n", "1b;e=1\r\nid: 1\ndata: abcdefghijklm\n\n\r\n0\r\nT: t\r\n\r\n"},
		{"interim", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n", "Content-Length: 3\r\n", "abc"},
		{"end", "HTTP/1.1 200 OK\r\n", "Connection: close\r\n", "id: 1\ndata: abc\n\n"},
		{"old end", "HTTP/1.0 200 OK\r\n", "", "id: 1\ndata: abc\n\n"},
	} {
		head := a.start + lines + a.framing + "\r\n"
		text := head + a.body
		for n := range text {
			for _, reset := range []bool{false, true} {
				cuts = append(cuts, CutAnswer{
					Name: fmt.Sprintf("%s, %d bytes, reset %t", a.name, n, reset), Sent: text[:n], Reset: reset,
					MayBeWhole: strings.HasSuffix(a.name, "end") && n >= len(head) && !reset,
				})
			}
		}
	}
	return cuts
}

// UnreadBody returns an answer with the given header lines and without a length that is reset while the body of the call is sent.
func UnreadBody(lines string) CutAnswer {
	return CutAnswer{
		Name: "reset while the body is sent", Sent: "HTTP/1.1 200 OK\r\n" + lines + "\r\nid: 1\ndata: abc\n\n", Reset: true, Unread: true,
	}
}

// resetDelay is the time after which an upstream that does not read resets the connection. Its caller's buffers are full by then.
const resetDelay = 5 * time.Millisecond

// Send sends the answer to the call with the given ID and ends the connection.
func (a CutAnswer) Send(conn net.Conn, id string) {
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.Replace(a.Sent, "ID", id, 1))
	if a.Unread {
		time.Sleep(resetDelay)
	}
	if a.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// ServeCut starts an upstream that gives the current answer to each call, whose ID is in the given header. It returns its address and
// the function that sets the answer.
func ServeCut(t testing.TB, idHeader string) (addr string, set func(CutAnswer)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var current atomic.Pointer[CutAnswer]
	serve := func(conn net.Conn) {
		answer := *current.Load()
		r, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
		if err == nil && !answer.Unread {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			conn.Close()
			return
		}
		answer.Send(conn, r.Header.Get(idHeader))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), func(a CutAnswer) { current.Store(&a) }
}
