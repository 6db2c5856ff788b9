package edge

import (
	"context"
	"math/rand/v2"
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

// upstreamAddrs returns the addresses of the upstreams that the leader lists and that do not leave, in random order.
func (e *Edge) upstreamAddrs() []string {
	var addrs []string
	err := e.loop.Do(e.ending, func() {
		for _, k := range e.upstreams {
			if k.unlistedSince == 0 && !k.desc.Leaving && !k.saidLeaving {
				addrs = append(addrs, k.desc.Addr)
			}
		}
	})
	if err != nil {
		return nil // the node stops
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
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
