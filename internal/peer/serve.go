package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/agateslip/agateslip/internal/connlimit"
)

const (
	// maxConcurrentHandlers bounds the handlers that run concurrently per connection.
	maxConcurrentHandlers = 1024
	// defaultMaxPending is the default of Options.MaxPending.
	defaultMaxPending = 64
	// acceptRetryDelay is the delay after a failed accept before the next one.
	acceptRetryDelay = 50 * time.Millisecond
)

// acceptLoop accepts and serves connections until the listener is closed. It retries
// after other errors, such as too many open files, because they are temporary.
func (m *Mesh) acceptLoop(ctx context.Context, group *errgroup.Group) {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.opts.Log.WithError(err).Warn("accepting a connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		group.Go(func() error {
			m.serveConn(ctx, conn.(*connlimit.Conn))
			return nil
		})
	}
}

// serveConn runs the handshake, then serves the dialing node's requests until the
// connection closes.
func (m *Mesh) serveConn(ctx context.Context, conn *connlimit.Conn) {
	cancelClose := context.AfterFunc(ctx, func() { conn.Close() })
	defer cancelClose()
	defer conn.Close()
	progress := newProgressConn(conn, &m.counters)
	reader := bufio.NewReader(progress)
	from, err := m.acceptPeer(progress, reader)
	if err != nil {
		m.counters.rejected.Add(1)
		m.opts.Log.WithField("remote", conn.RemoteAddr()).WithError(err).Warn("inbound connection rejected")
		return
	}
	conn.Establish()
	l := newLink(progress, reader, m.opts.Timing, &m.counters)
	if !m.addInbound(from, l) {
		return
	}
	defer m.removeInbound(from, l)
	m.serveRequests(ctx, from, l)
}

// acceptPeer runs the accepting side of the handshake and returns the name of the
// dialing node.
func (m *Mesh) acceptPeer(conn net.Conn, reader *bufio.Reader) (string, error) {
	h := handshake{secret: []byte(m.opts.Secret), self: m.opts.Self, conn: conn, reader: reader}
	var from string
	err := h.withDeadline(m.opts.Timing.DialTimeout, func() error {
		var err error
		from, err = h.runAcceptor()
		return err
	})
	return from, err
}

// serveRequests runs a JSON-RPC server on the link until the link is closed.
func (m *Mesh) serveRequests(ctx context.Context, from string, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := jrpc2.NewServer(peerAssigner{mux: m.opts.Mux, from: from}, &jrpc2.ServerOptions{
		Concurrency:    maxConcurrentHandlers,
		DisableBuiltin: true,
		NewContext:     func() context.Context { return ctx },
	})
	server.Start(l)
	l.run()
	cancel()
	// The link is closed, so the server's next read fails and the server ends. Do not
	// call server.Stop: it closes a channel to which the server may still send for a
	// record that it has just read, and that send would panic.
	if err := server.Wait(); err != nil {
		m.opts.Log.WithField("peer", from).WithError(err).Debug("connection from peer ended")
	}
}

// addInbound makes l the peer's inbound link and closes the previous one. If this node waits
// before it dials the peer again, it does so at once. It returns false, and counts a rejected connection, if the node is not a listed peer and
// AcceptUnlisted is not set.
func (m *Mesh) addInbound(from string, l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.dialers[from]
	if d == nil && !m.opts.AcceptUnlisted {
		m.counters.rejected.Add(1)
		return false
	}
	if old := m.inbound[from]; old != nil {
		old.Close()
	}
	m.inbound[from] = l
	if d != nil {
		select {
		case d.seen <- struct{}{}:
		default:
		}
	}
	return true
}

// removeInbound removes l unless a newer link has replaced it.
func (m *Mesh) removeInbound(from string, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inbound[from] == l {
		delete(m.inbound, from)
	}
}
