package node

import (
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"time"

	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/engine"
	"github.com/agateslip/agateslip/internal/supervisor"
	"github.com/cockroachdb/errors"
)

// upstreamTimeout limits the reading of one request from an upstream. Idle connections
// are closed after twice as long.
const upstreamTimeout = 5 * time.Second

// upstreamServer returns the HTTP server that receives upstreams' announcements and
// cache events.
func (n *Node) upstreamServer() *http.Server {
	handler := engine.Handler(&announcements{loop: n.loop}, n.intake)
	if n.cfg.UpstreamToken != "" {
		handler = requireToken(n.cfg.UpstreamToken, handler)
	}
	return &http.Server{Handler: handler, ReadTimeout: upstreamTimeout, IdleTimeout: 2 * upstreamTimeout}
}

// upstreamConnLimits returns the limits of a connection of an upstream.
func upstreamConnLimits() connlimit.Limits {
	return connlimit.Limits{HeadTime: upstreamTimeout, IdleTime: 2 * upstreamTimeout, BodyTime: upstreamTimeout}
}

// serve returns a supervised part that runs an HTTP server until ctx ends. An
// unexpected end of the server is a permanent error.
func serve(s *http.Server, ln net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stopped := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stopped()
		err := s.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			return nil
		}
		return supervisor.Permanent(err)
	}
}

// requireToken rejects requests without the upstream token.
func requireToken(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte("Bearer " + token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if sha256.Sum256([]byte(r.Header.Get("Authorization"))) != want {
			http.Error(w, "an upstream token is required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
