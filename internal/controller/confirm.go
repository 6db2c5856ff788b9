package controller

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/pause"
)

// confirmPoll is the time between two looks for an announcement that a node waits for.
const confirmPoll = 20 * time.Millisecond

// serveConfirmUpstream tells whether an incarnation of an upstream still runs, once its next announcement has arrived.
// Until ctx ends it waits for one.
func (c *Controller) serveConfirmUpstream(ctx context.Context, from string, r fleet.Incarnation) (any, error) {
	arrived := boottime.Now()
	for {
		if err := c.requireLeader(); err != nil {
			return nil, err
		}
		var answer nodelink.ConfirmUpstreamAnswer
		if err := c.loop.Do(ctx, func() {
			if u, ok := c.registry.Get(r.ID); ok {
				answer.Replaced = u.Born > r.Born
				answer.Running = u.Born == r.Born && c.registry.Heard(r.ID) > arrived
			}
		}); err != nil {
			return nil, err
		}
		if answer.Running || answer.Replaced {
			c.log.Event("upstream confirmed", eventlog.Fields{
				"upstream": r.ID, "born": r.Born, "running": answer.Running, "replaced": answer.Replaced, "node": from,
				"waitedMillis": (boottime.Now() - arrived).Milliseconds(),
			})
			return answer, nil
		}
		if pause.For(ctx, confirmPoll); ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}
