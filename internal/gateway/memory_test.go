//go:build !race

package gateway

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// openStreams opens n streams that stay idle after their first event. It returns the
// memory that they hold, in bytes, and a function that closes them.
func openStreams(t *testing.T, url string, n int) (int64, func()) {
	t.Helper()
	is := is.New(t)
	before := heldMemory()
	client := &http.Transport{}
	var bodies []io.Closer
	for range n {
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(streamBody))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+testToken)
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.RoundTrip(req)
		is.NoErr(err)
		_, err = io.ReadFull(resp.Body, make([]byte, len("data: 0\n\n")))
		is.NoErr(err)
		bodies = append(bodies, resp.Body)
	}
	held := heldMemory() - before
	return held, func() {
		for _, b := range bodies {
			_ = b.Close()
		}
	}
}

// heldMemory returns the heap and stack memory in use after garbage collection, in
// bytes.
func heldMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// TestMemoryPerIdleStream bounds the memory that the gateway adds to an idle stream: it
// compares streams through the gateway with direct ones to the upstream, all in one
// process.
func TestMemoryPerIdleStream(t *testing.T) {
	const streams = 500
	const bound = 64 << 10
	hang := make(chan struct{})
	g, _, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: 0\n\n")
		w.(http.Flusher).Flush()
		<-hang
	})
	t.Cleanup(func() { close(hang) })
	g.sender.streamStallTimeout = time.Minute
	directBytes, closeDirect := openStreams(t, "http://"+g.sender.router.(*fakeNode).upstreams[0]+"/", streams)
	defer closeDirect()
	gatewayBytes, closeThrough := openStreams(t, url+"/v1/chat/completions", streams)
	defer closeThrough()
	bytesPerStream := (gatewayBytes - directBytes) / streams
	t.Logf("%d bytes per idle stream (direct %d, through the gateway %d)", bytesPerStream, directBytes/streams, gatewayBytes/streams)
	is.New(t).True(bytesPerStream < bound)
}
