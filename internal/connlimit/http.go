package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
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
		if r.ContentLength != 0 {
			if c, ok := r.Context().Value(contextKey{}).(*Conn); ok {
				// The server looks at its own body afterwards: it keeps the connection for a while if the body was not read to its
				// end, so that the caller can read a refusal.
				own := r.Body
				defer func() { r.Body = own }()
				c.beginBody(r)
			}
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
		c.enter(phaseRunning, &c.listener.running)
	case http.StateIdle:
		c.scan, c.wholeHead = headScanner{}, false
		c.enter(phaseIdle, &c.listener.idle)
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

// beginBody bounds the time of a body. The connection counts as incomplete until the body was read.
func (c *Conn) beginBody(r *http.Request) {
	c.bodyBytes.Store(0)
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
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.conn != nil {
		b.conn.enter(phaseRunning, &b.conn.listener.running)
		b.conn = nil
	}
	return n, err
}
