package node

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/internal/detour"
)

const (
	// detourCheckTimeout bounds the question whether an address belongs to an upstream.
	detourCheckTimeout = time.Second
	// detourGrace is how long a node that stops waits for the calls of others through it.
	detourGrace = 5 * time.Second
)

// openPaths prepares the connections to upstreams, directly or through the other nodes.
func (n *Node) openPaths() {
	var helpers []string
	for _, p := range n.cfg.Peers {
		if p.Node != n.cfg.Node && p.Detours != "" {
			helpers = append(helpers, p.Detours)
		}
	}
	client := detour.NewClient(n.cfg.Secret)
	client.SetHelpers(helpers)
	n.paths = detour.NewPaths(n.dial, client.Dial, n.noteCutOff)
	n.helper = &detour.Server{Secret: n.cfg.Secret, Paths: n.paths, Serves: n.mayHelp, Failed: func(err error) {
		n.log.WithError(err).Warn("detour not accepted")
	}, MaxPending: n.shares().Pending, Cut: n.connectionCut, Memory: n.bodies}
	if n.connect = n.paths.Dial; len(helpers) == 0 {
		n.connect = n.dial
	}
}

// noteCutOff records that the node reaches no upstream directly, or reaches one again.
func (n *Node) noteCutOff(cutOff bool) {
	if cutOff {
		n.log.Warn("cut off from upstreams")
		return
	}
	n.log.Info("upstreams reached again")
}

// mayHelp reports whether the node lets another one connect to an address: it belongs to an upstream, and
// this node is not stopping and not cut off from the upstream itself.
func (n *Node) mayHelp(addr string) bool {
	if n.gateway.Stopping() || n.paths.Blocked(addr) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), detourCheckTimeout)
	defer cancel()
	known, ok := call(ctx, n.loop, func() bool {
		for _, v := range n.loop.dir.Snapshot(n.loop.now()) {
			if v.Announcement.Addr == addr {
				return true
			}
		}
		return false
	})
	return ok && known
}

// serveDetours lets other nodes connect to upstreams through this one until ctx ends.
func (n *Node) serveDetours(ctx context.Context) error {
	return n.helper.Run(ctx, n.detourListener, detourGrace)
}
