package detour

import (
	"cmp"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/connlimit"
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
	// detourBytes is the approximate memory of an open detour: two buffers, and the stacks of two goroutines.
	detourBytes = 2*copyBufferBytes + 2*(4<<10)
	// acceptPause is the pause after a connection could not be accepted.
	acceptPause = 100 * time.Millisecond
	// defaultMaxPending is the default of Server.MaxPending.
	defaultMaxPending = 256
	// finishTimeout bounds the wait for a node to close its side after the upstream has ended.
	finishTimeout = time.Second
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
	// Failed is told of connections that cannot be accepted.
	Failed func(error)
	// MaxPending bounds the connections that have not said yet where to; zero means the default. Beyond it, the oldest
	// one is closed, and Cut is told of it; it may be nil.
	MaxPending int
	Cut        func(connlimit.Cut)
	// Memory bounds what the open detours take. Without room, the node helps no more, and the other one asks elsewhere. Nil means
	// no limit.
	Memory *bodybuffer.Budget

	mu sync.Mutex
	// open holds the connections to other nodes that are joined with an upstream.
	open map[net.Conn]*frameWriter
	// stopping is set once no more detours are accepted.
	stopping bool
}

// Open returns the number of open detours.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// add records a connection that is joined with an upstream, and the writer of its frames; nil if it has none.
func (s *Server) add(conn net.Conn, frames *frameWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[net.Conn]*frameWriter{}
	}
	s.open[conn] = frames
	if s.stopping {
		notifyStop(frames)
	}
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// notifyOpen tells the nodes at the other ends of the detours that this one stops, so that they send no further calls
// that way.
func (s *Server) notifyOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, frames := range s.open {
		notifyStop(frames)
	}
}

// notifyStop does not wait for a node that does not read. If the notice is not written, neither is what follows it.
func notifyStop(frames *frameWriter) {
	if frames != nil {
		go func() { _ = frames.writeStopNotice() }()
	}
}

// resetOpen resets the detours that are open.
func (s *Server) resetOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		conn.Close()
	}
}

// Run accepts detours until ctx ends, announces the stop to the nodes that use them, waits for those that are open
// to end, for at most the given time, and resets the others.
func (s *Server) Run(ctx context.Context, listener net.Listener, grace time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	listener.Close()
	s.notifyOpen()
	for start := time.Now(); s.Open() > 0 && time.Since(start) < grace; {
		time.Sleep(openPollInterval)
	}
	s.resetOpen()
	return <-served
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	pending := connlimit.ListenerOptions{Name: "detours", MaxIncomplete: cmp.Or(s.MaxPending, defaultMaxPending)}
	limited := connlimit.New(0, s.Cut).Listen(listener, pending)
	for {
		conn, err := limited.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The process may be out of descriptors, which other connections are about to free.
			s.Failed(errors.Wrap(err, "accept a detour"))
			time.Sleep(acceptPause)
			continue
		}
		go s.handle(conn.(*connlimit.Conn))
	}
}

// handle serves one detour.
func (s *Server) handle(limited *connlimit.Conn) {
	defer limited.Close()
	conn := limited.Conn.(*net.TCPConn)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if conn.SetDeadline(time.Now().Add(handshakeTimeout)) != nil || conn.SetKeepAliveConfig(keepAlive) != nil {
		return
	}
	r, ok := s.receiveRequest(conn)
	if !ok {
		return
	}
	limited.Establish()
	if s.Memory != nil {
		share := s.Memory.NewShare()
		defer share.Release()
		if !share.Take(bodybuffer.Detours, detourBytes) {
			_, _ = fmt.Fprintln(conn, answerRefused)
			return
		}
	}
	if !s.Serves(r.addr) {
		_, _ = fmt.Fprintln(conn, answerRefused)
		return
	}
	upstream, err := s.Paths.dialDirect(ctx, r.addr)
	if err != nil {
		answer := answerFailed
		if s.Paths.Blocked(r.addr) {
			answer = answerRefused // this node is cut off, which says nothing about the upstream
		}
		_, _ = fmt.Fprintln(conn, answer)
		return
	}
	defer upstream.Close()
	if _, err := fmt.Fprintln(conn, answerConnected); err != nil || conn.SetDeadline(time.Time{}) != nil {
		return
	}
	// From here on every end but that of the upstream resets the connection to the node, the death of this
	// process included: an answer without a length must not look complete.
	if conn.SetLinger(0) != nil {
		return
	}
	var frames *frameWriter
	if r.framed {
		frames = &frameWriter{w: conn}
	}
	s.add(conn, frames)
	defer s.remove(conn)
	join(conn, upstream, frames)
}

// request is what another entry node asks for.
type request struct {
	// addr is the address to connect to.
	addr string
	// framed is set if the node reads frames.
	framed bool
}

// receiveRequest returns what another entry node asks for. It fails if the other side does not know the
// secret.
func (s *Server) receiveRequest(conn net.Conn) (r request, ok bool) {
	random := make([]byte, 16)
	if _, err := rand.Read(random); err != nil {
		return request{}, false
	}
	nonce := hex.EncodeToString(random) + offersFrames
	if _, err := fmt.Fprintln(conn, nonce); err != nil {
		return request{}, false
	}
	line, err := readLine(conn)
	if err != nil {
		return request{}, false
	}
	addr, given, _ := strings.Cut(line, " ")
	for _, framed := range []bool{true, false} {
		if hmac.Equal([]byte(given), []byte(proof([]byte(s.Secret), nonce, addr, framed))) {
			return request{addr: addr, framed: framed}, true
		}
	}
	return request{}, false
}

// join copies the bytes of both directions until either side ends. Only an end of the upstream is passed on
// as an end; closing the connection to the node after anything else resets it. frames is nil for a node that
// reads none.
func join(node *net.TCPConn, upstream net.Conn, frames *frameWriter) {
	requests := make(chan struct{})
	go func() {
		defer close(requests)
		// Whatever ends the node's side, the upstream is to stop working for it.
		_, _ = io.CopyBuffer(onlyWriter{upstream}, onlyReader{node}, make([]byte, copyBufferBytes))
		upstream.Close()
	}()
	answers := io.Writer(onlyWriter{node})
	if frames != nil {
		answers = frames
	}
	_, err := io.CopyBuffer(answers, onlyReader{upstream}, make([]byte, copyBufferBytes))
	if err == nil && frames != nil {
		err = frames.writeEnd()
	}
	if err == nil {
		finish(node)
	}
	node.Close()
	<-requests
}

// finish ends the answers to the node in the usual way. It reads what the node still sends, because closing
// a connection with unread bytes would reset it and lose the end of the answer.
func finish(node *net.TCPConn) {
	if node.SetLinger(-1) != nil || node.CloseWrite() != nil || node.SetReadDeadline(time.Now().Add(finishTimeout)) != nil {
		return
	}
	_, _ = io.CopyBuffer(io.Discard, onlyReader{node}, make([]byte, copyBufferBytes))
}

// onlyReader and onlyWriter hide the methods by which io.CopyBuffer would use buffers of its own.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

// proof shows that a request for a detour comes from a node that knows the secret, and whether that node
// reads frames.
func proof(secret []byte, nonce, addr string, framed bool) string {
	mac := hmac.New(sha256.New, secret)
	purpose := "detour"
	if framed {
		purpose = "framed detour"
	}
	_, _ = fmt.Fprintf(mac, "%s %s %s", purpose, nonce, addr)
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
