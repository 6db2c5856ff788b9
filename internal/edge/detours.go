package edge

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/eventlog"
)

// noteCutOff records that the node reaches no upstream directly, or reaches one again.
func (e *Edge) noteCutOff(cutOff bool) {
	if cutOff {
		e.metrics.Count("cut off from upstreams")
		e.log.Event("cut off from upstreams", eventlog.Fields{})
		return
	}
	e.log.Event("upstreams reached again", eventlog.Fields{})
}

// mayHelp reports whether the node lets another entry node connect to an address: it belongs to an
// upstream, and this node is not stopping and not cut off from the upstream itself.
func (e *Edge) mayHelp(addr string) bool {
	if e.stopping.Load() || e.paths.Blocked(addr) {
		return false
	}
	known := false
	err := e.loop.Do(context.Background(), func() {
		for _, k := range e.upstreams {
			known = known || k.desc.Addr == addr
		}
	})
	return err == nil && known
}

// serveDetours lets other entry nodes connect to upstreams through this one, until ctx ends and the
// connections that are open then have ended or the time for the stop is nearly over.
func (e *Edge) serveDetours(ctx context.Context) error {
	_, bind, err := e.cfg.DetourAddrs()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", bind)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", bind)
	}
	return e.helper.Run(ctx, listener, time.Duration(e.cfg.Stop)-2*stopReserve)
}
