package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPipelinedRequestsWaitForReader pipelines requests whose answers are read only after the server has stopped to take them.
func TestPipelinedRequestsWaitForReader(t *testing.T) {
	const requests = 2000
	// most is twice as many answers as fit into maxUnread bytes and the buffer of the caller.
	const answer, bufferBytes = 400, 64 << 10
	const most = (maxUnread + bufferBytes) / answer * 2
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var served atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = io.WriteString(w, strings.Repeat("x", answer))
	})}
	listener := New(1<<20, nil).Protect(server, raw, ListenerOptions{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	conn, err := net.Dial("tcp", raw.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(bufferBytes / 2)) // the system doubles it
	go func() { _, _ = io.WriteString(conn, strings.Repeat(ordinary, requests)) }()
	for before := int64(-1); before != served.Load(); time.Sleep(200 * time.Millisecond) {
		before = served.Load()
	}
	if n := served.Load(); n > most {
		t.Errorf("%d requests were served for a caller that reads nothing, at most %d may be", n, most)
	}
	reader := bufio.NewReader(conn)
	for range requests {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	is.Equal(served.Load(), int64(requests))
}
