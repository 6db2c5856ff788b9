package upstreamconn_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// serveEndless accepts one connection, writes first and then repeated until the caller closes
// the connection, and sends how many bytes it wrote.
func serveEndless(t *testing.T, first, repeated string) (addr string, written <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	counts := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		total, err := conn.Write([]byte(first))
		for err == nil {
			var n int
			n, err = conn.Write([]byte(repeated))
			total += n
		}
		counts <- total
	}()
	return listener.Addr().String(), counts
}

// TestEndlessBytesBeforeAnswerAreCutOff has upstreams send bytes without end before the answer
// to the call begins. The call must fail early, long before its deadline, and the connection
// be closed.
func TestEndlessBytesBeforeAnswerAreCutOff(t *testing.T) {
	const maxBytes = 16 << 20 // buffers of the sockets included
	line := strings.Repeat("x", 1000)
	for name, text := range map[string][2]string{
		"no answer":           {"", line},
		"header line":         {"HTTP/1.1 200 OK\r\nA: ", line},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "A: " + line + "\r\n"},
		"interim answers":     {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"answers to others":   {"", okAnswer("other", line)},
		"body for another":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
		"unframed for others": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", line},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			addr, written := serveEndless(t, text[0], text[1])
			began := time.Now()
			_, err := call(upstreamconn.NewPool(upstreamconn.NewDial(time.Second)), addr, "mine")
			is.True(err != nil)
			is.True(time.Since(began) < 2*time.Second) // the call's deadline is 5 s
			is.True(<-written < maxBytes)
		})
	}
}
