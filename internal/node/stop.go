package node

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// transferTimeout bounds the handing over of leadership.
	transferTimeout = 3 * time.Second
	// runningPoll is the cadence of looking whether all requests have ended.
	runningPoll = 20 * time.Millisecond
)

// Drain begins a planned stop.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.draining) }) }

// stop ends the node's work without cutting off a request. Readiness fails
// first; what the balancer still sends in its lag is served; then leadership is
// handed over and the requests in progress finish. The links, the group's member
// and the reports go on meanwhile. Idle connections stay open until the balancer
// sends no more: closing one earlier could cut off a request on its way.
func (n *Node) stop(callers *http.Server) {
	n.log.Info("planned stop: readiness fails now")
	n.gateway.Stop()
	time.Sleep(time.Duration(n.cfg.Stop.BalancerLag))
	n.handOver()
	ctx, cancel := n.stopContext()
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.WithField("cut", n.gateway.Running()).Warn("stop.limit reached: requests in progress are cut off")
	}
	n.waitRunning(ctx)
	// Another node that stops may have handed leadership to this one meanwhile.
	n.handOver()
	n.gateway.Close()
}

// stopContext ends at the limit that an operator set, or never.
func (n *Node) stopContext() (context.Context, context.CancelFunc) {
	limit := time.Duration(n.cfg.Stop.Limit)
	if limit == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), limit)
}

// handOver gives leadership to another voter.
func (n *Node) handOver() {
	if _, leads := n.group.leads(); !leads {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := n.group.replica.Transfer(ctx); err != nil {
		n.log.WithError(err).Warn("leadership was not handed over")
		return
	}
	n.log.WithField("leader", n.group.leader()).Info("leadership handed over")
}

// waitRunning waits for calls whose caller is gone and whose outcome is still
// to be recorded.
func (n *Node) waitRunning(ctx context.Context) {
	for n.gateway.Running() > 0 {
		select {
		case <-ctx.Done():
			n.log.WithFields(logrus.Fields{"cut": n.gateway.Running()}).Warn("stop.limit reached: outcomes are not recorded")
			return
		case <-time.After(runningPoll):
		}
	}
}
