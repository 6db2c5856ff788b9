package node

import (
	"bufio"
	"expvar"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// TestStopServesIdleConnections checks that a request is served during the balancer lag
// on a connection that was idle when the planned stop began.
func TestStopServesIdleConnections(t *testing.T) {
	is := is.New(t)
	n := newIdleNode()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.log = log
	n.cfg.Stop.BalancerLag = contract.Duration(time.Second)
	n.gateway = gateway.New(&contracts{node: n}, nil, nil, nil, bodybuffer.Intake{}, n.log, gateway.NewMetrics(new(expvar.Map).Init()), gateway.Dial)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	callers := n.gateway.Server()
	served := make(chan error, 1)
	go func() { served <- callers.Serve(ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	ask := func() *http.Response {
		_, err := io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: n\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp
	}
	is.True(!ask().Close)
	stopped := make(chan struct{})
	go func() {
		n.stop(callers)
		close(stopped)
	}()
	for !n.gateway.Stopping() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	is.True(ask().Close) // the server closes the connection after this answer
	<-stopped
	is.Equal(<-served, http.ErrServerClosed)
}
