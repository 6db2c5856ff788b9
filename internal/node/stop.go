package node

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// transferTimeout limits a transfer of leadership.
	transferTimeout = 3 * time.Second
	// runningPoll is how often a stopping node checks whether all calls have ended.
	runningPoll = 20 * time.Millisecond
)

// Drain begins a planned stop. Further calls do nothing.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.draining) }) }

// stop ends the node's work without cutting off a request. Readiness fails first, and
// requests that the load balancer still sends during its lag are served. Then
// leadership is transferred and the requests in progress finish. The links, the replica
// and the reports keep running meanwhile. Idle connections stay open until the balancer
// sends no more requests, because closing one earlier could cut off a request on its
// way.
func (n *Node) stop(callers *http.Server) {
	n.log.Info("planned stop began: readiness fails now")
	n.gateway.Stop()
	time.Sleep(time.Duration(n.cfg.Stop.BalancerLag))
	n.transferLeadership()
	ctx, cancel := n.stopContext()
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.WithField("cut", n.gateway.Running()).Warn("stop.limit reached: requests in progress are cut off")
	}
	n.waitRunning(ctx)
	// Another stopping node may have transferred leadership to this one meanwhile.
	n.transferLeadership()
	n.gateway.Close()
}

// stopContext returns a context that ends after the configured stop limit, or never if
// there is none.
func (n *Node) stopContext() (context.Context, context.CancelFunc) {
	limit := time.Duration(n.cfg.Stop.Limit)
	if limit == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), limit)
}

// transferLeadership transfers leadership to another voter if this node leads.
func (n *Node) transferLeadership() {
	if _, leads := n.group.leads(); !leads {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := n.group.replica.Transfer(ctx); err != nil {
		n.log.WithError(err).Warn("leadership transfer failed")
		return
	}
	n.log.WithField("leader", n.group.leader()).Info("leadership transferred")
}

// waitRunning waits for calls whose caller has disconnected but whose outcome is not
// recorded yet.
func (n *Node) waitRunning(ctx context.Context) {
	for n.gateway.Running() > 0 {
		select {
		case <-ctx.Done():
			n.log.WithFields(logrus.Fields{"cut": n.gateway.Running()}).Warn("stop.limit reached: outcomes of running calls are not recorded")
			return
		case <-time.After(runningPoll):
		}
	}
}
