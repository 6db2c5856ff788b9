package node

import (
	"expvar"
	"net"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/internal/operator"
)

// cutLinesPerSecond bounds the log lines about connections that were cut.
const cutLinesPerSecond = 20

// connectionCuts counts and logs the connections that were closed because of a limit.
type connectionCuts struct {
	byCause *expvar.Map
	lines   *rate.Limiter
}

func newConnectionCuts(metrics *expvar.Map) *connectionCuts {
	c := &connectionCuts{byCause: new(expvar.Map).Init(), lines: rate.NewLimiter(cutLinesPerSecond, cutLinesPerSecond)}
	metrics.Set("connections_cut", c.byCause)
	return c
}

// shares returns the parts of the process that its connections may take.
func (n *Node) shares() connlimit.Shares {
	return n.cfg.Connections.Shares(n.cfg.MemoryMB, n.cfg.Descriptors)
}

// connectionCut records a connection that was closed because of a limit.
func (n *Node) connectionCut(cut connlimit.Cut) {
	n.cuts.byCause.Add(string(cut.Cause), 1)
	if n.cuts.lines.Allow() {
		n.log.WithFields(logrus.Fields{
			"cause": cut.Cause, "listener": cut.Listener, "remote": cut.Remote, "age": cut.Age, "held": cut.Held,
		}).Warn("connection cut")
	}
}

// limitedListeners are the node's listeners for its HTTP servers, within the limits of connections.
type limitedListeners struct{ callers, upstreams, operators net.Listener }

// limitBodies returns the limits of the bodies that the node reads.
func (n *Node) limitBodies() bodybuffer.Intake {
	n.metrics.Set("body_bytes", expvar.Func(func() any { return n.bodies.UsedFor(bodybuffer.Requests) }))
	n.metrics.Set("detour_bytes", expvar.Func(func() any { return n.bodies.UsedFor(bodybuffer.Detours) }))
	return bodybuffer.Intake{Budget: n.bodies, Cut: n.guard.CutBody}
}

// limitConnections makes the servers keep the limits of connections, and returns the listeners that they are to serve. Their heads
// share one part of the node's memory. The node's own listeners stay: others read their addresses.
func (n *Node) limitConnections(s *servers) limitedListeners {
	shares, guard := n.shares(), n.guard
	n.metrics.Set("connections_open", expvar.Func(func() any { return guard.Open() }))
	n.metrics.Set("head_bytes", expvar.Func(func() any { return guard.HeadBytes() }))
	return limitedListeners{
		callers: guard.Protect(s.callers, n.callers, connlimit.ListenerOptions{
			Name: "callers", MaxOpen: shares.Callers, ReadBuffer: shares.ReadBuffer(shares.Callers), MaxPerAddress: n.cfg.Connections.PerAddress, Limits: gateway.ConnLimits,
		}),
		upstreams: guard.Protect(s.upstreams, n.upstreams, connlimit.ListenerOptions{
			Name: "upstreams", MaxOpen: shares.Upstreams, ReadBuffer: shares.ReadBuffer(shares.Upstreams), Limits: upstreamConnLimits,
		}),
		operators: guard.Protect(s.operators, n.operators, connlimit.ListenerOptions{
			Name: "operators", MaxOpen: shares.Side, ReadBuffer: shares.ReadBuffer(shares.Side), Limits: operator.ConnLimits,
		}),
	}
}
