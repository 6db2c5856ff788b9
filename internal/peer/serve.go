package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
	"golang.org/x/sync/errgroup"
)

const (
	// maxHandlers bounds the requests of one peer that run at once.
	maxHandlers = 1024
	// maxUnproven bounds the connections that have not finished the handshake.
	maxUnproven = 64
	// acceptPause is the wait after a failed accept.
	acceptPause = 50 * time.Millisecond
)

// acceptLoop serves connections until the listener is closed. Other errors,
// such as too many open files, pass.
func (m *Mesh) acceptLoop(ctx context.Context, group *errgroup.Group) {
	unproven := make(chan struct{}, maxUnproven)
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.opts.Log.WithError(err).Warn("accept connection")
			time.Sleep(acceptPause)
			continue
		}
		select {
		case unproven <- struct{}{}:
		default:
			m.counters.rejected.Add(1)
			conn.Close()
			continue
		}
		group.Go(func() error {
			m.serveConn(ctx, conn, func() { <-unproven })
			return nil
		})
	}
}

// serveConn proves the dialer, then answers its requests until the connection
// closes. It calls proven once the handshake is over.
func (m *Mesh) serveConn(ctx context.Context, conn net.Conn, proven func()) {
	closeOnDone := context.AfterFunc(ctx, func() { conn.Close() })
	defer closeOnDone()
	defer conn.Close()
	watched := watchConn(conn, &m.counters)
	reader := bufio.NewReader(watched)
	from, err := m.acceptPeer(watched, reader)
	proven()
	if err != nil {
		m.counters.rejected.Add(1)
		m.opts.Log.WithField("remote", conn.RemoteAddr()).WithError(err).Warn("reject connection")
		return
	}
	l := newLink(watched, reader, m.opts.Timing, &m.counters)
	if !m.addInbound(from, l) {
		return
	}
	defer m.removeInbound(from, l)
	m.answer(ctx, from, l)
}

func (m *Mesh) acceptPeer(conn net.Conn, reader *bufio.Reader) (string, error) {
	h := handshake{secret: []byte(m.opts.Secret), self: m.opts.Self, conn: conn, reader: reader}
	var from string
	err := h.withDeadline(m.opts.Timing.Dial, func() error {
		var err error
		from, err = h.accept()
		return err
	})
	return from, err
}

// answer runs a JSON-RPC server on the link.
func (m *Mesh) answer(ctx context.Context, from string, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := jrpc2.NewServer(assigner{mux: m.opts.Mux, from: from}, &jrpc2.ServerOptions{
		Concurrency:    maxHandlers,
		DisableBuiltin: true,
		NewContext:     func() context.Context { return ctx },
	})
	server.Start(l)
	l.run()
	cancel()
	// The link is closed, so the server's next read fails and ends it. Its Stop
	// must not be called: it closes a channel that a record read just before is
	// announced on, which panics.
	if err := server.Wait(); err != nil {
		m.opts.Log.WithField("peer", from).WithError(err).Debug("connection from peer ended")
	}
}

// addInbound makes this the peer's link and closes an older one. It refuses
// nodes that are not listed unless the options accept them.
func (m *Mesh) addInbound(from string, l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dialers[from] == nil && !m.opts.AcceptUnlisted {
		m.counters.rejected.Add(1)
		return false
	}
	if old := m.inbound[from]; old != nil {
		old.Close()
	}
	m.inbound[from] = l
	return true
}

func (m *Mesh) removeInbound(from string, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inbound[from] == l {
		delete(m.inbound, from)
	}
}
