package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// contextKey is the key of a connection in the context of its requests.
type contextKey struct{}

// Protect makes a server keep the limits, and returns the listener that it is to serve. It replaces the server's handler and hooks. It
// must be called before the server serves.
func (g *Guard) Protect(s *http.Server, l net.Listener, o ListenerOptions) net.Listener {
	wrapped := g.listen(l, o, true)
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok {
			c.changed(state)
		}
	}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(contextKey{}).(*Conn)
		if ok && !c.begin() {
			panic(http.ErrAbortHandler)
		}
		if ok && r.ContentLength != 0 {
			// The server looks at its own body afterwards: it keeps the connection for a while if the body was not read to its
			// end, so that the caller can read a refusal.
			own := r.Body
			defer func() { r.Body = own }()
			c.beginBody(r)
		}
		handler.ServeHTTP(w, r)
	})
	return wrapped
}

// changed follows the server's view of a connection.
func (c *Conn) changed(state http.ConnState) {
	switch state {
	case http.StateActive:
		// The server gets here also when it failed to read the head, and then holds nothing of it.
		if !c.wholeHead {
			c.enter(phaseFailed, &c.listener.failed)
			return
		}
		c.phase.Store(phaseRunning)
	case http.StateIdle:
		c.scan, c.wholeHead = headScanner{}, false
		c.enter(phaseIdle, &c.listener.idle)
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

// begin tells that the handler of a request begins. It returns false if the connection was closed to make room for others: the request
// must not run then, since its caller may take it for one that did not.
func (c *Conn) begin() bool {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.forgotten {
		return false
	}
	c.wait(&c.listener.running)
	return true
}

// beginBody bounds the time of a body. The connection counts as incomplete until the body was read.
func (c *Conn) beginBody(r *http.Request) {
	c.bodyBytes.Store(0)
	c.heldBack.Store(0)
	c.heldBackBefore.Store(0)
	c.enter(phaseBody, &c.listener.incomplete)
	// A deadline can't be set on a connection that is closed; reading the body then fails.
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.listener.opts.Limits().withDefaults().BodyTime))
	r.Body = &body{ReadCloser: r.Body, conn: c}
}

// body tells its connection when it was read.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.conn != nil {
		b.conn.resume()
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.conn != nil {
		list := &b.conn.listener.running
		if !errors.Is(err, io.EOF) {
			// The server keeps the connection for a while after its answer, also if the caller has gone.
			list = &b.conn.listener.failed
		}
		b.conn.enter(phaseRunning, list)
		b.conn = nil
	}
	return n, err
}
