package detour

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// handshakeTimeout bounds the exchange before the upstream is connected to.
	handshakeTimeout = time.Second
	// maxLineBytes bounds a line of the exchange.
	maxLineBytes = 256
	// openPollInterval is how often a stopping node looks whether detours are open.
	openPollInterval = 20 * time.Millisecond
	// copyBufferBytes is the size of the buffer of one direction.
	copyBufferBytes = 4 << 10
)

// keepAlive detects within 2.5 s that the node at the other end is gone, so that its calls end.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Answers to a request for a detour.
const (
	answerConnected = "connected"
	// answerFailed means that the upstream does not accept a connection.
	answerFailed = "failed"
	// answerRefused means that the node does not help now.
	answerRefused = "refused"
)

// errUpstreamFailed means that another entry node could not connect to the upstream.
var errUpstreamFailed = errors.New("the upstream accepts no connection")

// Server accepts detours from other entry nodes.
type Server struct {
	// Secret is the one that all nodes share.
	Secret string
	// Paths are the node's own to upstreams, of which detours use the direct ones.
	Paths *Paths
	// Serves reports whether the node connects to the address.
	Serves func(addr string) bool

	open atomic.Int64
}

// Open returns the number of open detours.
func (s *Server) Open() int64 { return s.open.Load() }

// Run accepts detours until ctx ends, and then waits for those that are open to end, for at most the given
// time.
func (s *Server) Run(ctx context.Context, listener net.Listener, grace time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	listener.Close()
	for start := time.Now(); s.Open() > 0 && time.Since(start) < grace; {
		time.Sleep(openPollInterval)
	}
	return <-served
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept a detour")
		}
		go s.handle(conn.(*net.TCPConn))
	}
}

// handle serves one detour.
func (s *Server) handle(conn *net.TCPConn) {
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if conn.SetDeadline(time.Now().Add(handshakeTimeout)) != nil || conn.SetKeepAliveConfig(keepAlive) != nil {
		return
	}
	addr, ok := s.receiveRequest(conn)
	if !ok {
		return
	}
	if !s.Serves(addr) {
		_, _ = fmt.Fprintln(conn, answerRefused)
		return
	}
	upstream, err := s.Paths.dialDirect(ctx, addr)
	if err != nil {
		answer := answerFailed
		if s.Paths.Blocked(addr) {
			answer = answerRefused // this node is cut off, which says nothing about the upstream
		}
		_, _ = fmt.Fprintln(conn, answer)
		return
	}
	defer upstream.Close()
	if _, err := fmt.Fprintln(conn, answerConnected); err != nil || conn.SetDeadline(time.Time{}) != nil {
		return
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	join(conn, upstream.(*net.TCPConn))
}

// receiveRequest returns the address that an entry node wants to be connected to. It fails if the other
// side does not know the secret.
func (s *Server) receiveRequest(conn net.Conn) (addr string, ok bool) {
	random := make([]byte, 16)
	if _, err := rand.Read(random); err != nil {
		return "", false
	}
	nonce := hex.EncodeToString(random)
	if _, err := fmt.Fprintln(conn, nonce); err != nil {
		return "", false
	}
	line, err := readLine(conn)
	if err != nil {
		return "", false
	}
	addr, given, _ := strings.Cut(line, " ")
	return addr, hmac.Equal([]byte(given), []byte(proof([]byte(s.Secret), nonce, addr)))
}

// join copies the bytes of both directions until either side ends. An end of the upstream is passed on
// as what it is: an answer that ends with a reset must not look complete.
func join(node, upstream *net.TCPConn) {
	requests := make(chan struct{})
	go func() {
		defer close(requests)
		// Whatever ends the node's side, the upstream is to stop working for it.
		_, _ = io.CopyBuffer(onlyWriter{upstream}, onlyReader{node}, make([]byte, copyBufferBytes))
		upstream.Close()
	}()
	_, err := io.CopyBuffer(onlyWriter{node}, onlyReader{upstream}, make([]byte, copyBufferBytes))
	if err != nil {
		_ = node.SetLinger(0)
	}
	node.Close()
	<-requests
}

// onlyReader and onlyWriter hide the methods by which io.CopyBuffer would use buffers of its own.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

// proof shows that a request for a detour comes from a node that knows the secret.
func proof(secret []byte, nonce, addr string) string {
	mac := hmac.New(sha256.New, secret)
	_, _ = fmt.Fprintf(mac, "detour %s %s", nonce, addr)
	return hex.EncodeToString(mac.Sum(nil))
}

// readLine reads a line without its end, and no byte beyond it.
func readLine(r io.Reader) (string, error) {
	var line strings.Builder
	b := make([]byte, 1)
	for line.Len() < maxLineBytes {
		if _, err := io.ReadFull(r, b); err != nil {
			return "", err
		}
		if b[0] == '\n' {
			return line.String(), nil
		}
		line.WriteByte(b[0])
	}
	return "", errors.New("line is too long")
}
