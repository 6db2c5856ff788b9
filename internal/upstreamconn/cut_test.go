package upstreamconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/agateslip/agateslip/internal/testutil"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// post sends a call with a body and returns the body of its answer.
func post(t *testing.T, addr string, body []byte) (string, error) {
	t.Helper()
	c, err := upstreamconn.NewPool(upstreamconn.NewDial(time.Second)).Get(context.Background(), addr, "a")
	if err == nil {
		defer c.Close()
		err = c.SetDeadline(time.Now().Add(5 * time.Second))
	}
	if err == nil {
		err = c.Send(&upstreamconn.Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}, Body: body})
	}
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Receive(ownedBy("a"))
	if err != nil {
		return "", err
	}
	answer, err := io.ReadAll(resp.Body)
	return string(answer), err
}

// TestCutAnswerIsNotWhole guards against answers that break off, in the head too, and count as whole.
func TestCutAnswerIsNotWhole(t *testing.T) {
	t.Parallel()
	addr, set := testutil.ServeCut(t, "Id")
	for _, cut := range testutil.CutAnswers("Id: ID\r\nOrigin: s\r\n") {
		set(cut)
		if body, err := post(t, addr, []byte("body")); (err == nil) != cut.MayBeWhole {
			t.Errorf("%s: body %q, error %v", cut.Name, body, err)
		}
	}
}

// largeBody is larger than the buffers of a connection, so that its upstream can answer before it is sent.
var largeBody = make([]byte, 16<<20)

// TestAnswerResetWhileBodyIsSentIsNotWhole guards against the end of an answer without a length that was a reset, of which the kernel
// told the write of the request's body only.
func TestAnswerResetWhileBodyIsSentIsNotWhole(t *testing.T) {
	t.Parallel()
	addr, set := testutil.ServeCut(t, "Id")
	set(testutil.UnreadBody("Id: ID\r\n"))
	const calls = 50
	whole := 0
	for range calls {
		if _, err := post(t, addr, largeBody); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d answers count as whole", whole, calls)
	}
}

// TestAnswerEndedWhileBodyIsSentIsWhole guards against sound answers without a length that count as reset.
func TestAnswerEndedWhileBodyIsSentIsWhole(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	answer := func(conn net.Conn) {
		defer conn.Close()
		_, _ = io.ReadFull(conn, make([]byte, 1000))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(10 * time.Millisecond)
		_, _ = io.Copy(io.Discard, conn)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn)
		}
	}()
	for range 50 {
		if body, err := post(t, listener.Addr().String(), largeBody); err != nil || body != "whole" {
			t.Errorf("body %q, error %v", body, err)
		}
	}
}
