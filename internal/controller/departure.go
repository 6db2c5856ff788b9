package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/replica"
)

// departureOf returns the departure that an announcement tells of, or false if it tells of none or names no
// incarnation that could be told from the next one. It runs on the loop, before the announcement is recorded.
func (c *Controller) departureOf(r *nodelink.AnnounceRequest) (confstate.Departure, bool) {
	u := &r.Upstream
	born := u.Born
	if known, ok := c.registry.Get(u.ID); ok && born == 0 {
		born = known.Born
	}
	d := confstate.Departure{Upstream: fleet.Incarnation{ID: u.ID, Born: born}, Gone: r.Leave}
	return d, born != 0 && (r.Leave || u.Leaving)
}

// keepDeparture returns once a departure outlasts the loss of as many nodes and disks as may be lost. The next leader
// applies it before it lists upstreams.
func (c *Controller) keepDeparture(ctx context.Context, d confstate.Departure) error {
	if known, ok := c.stateMachine.departure(d.Upstream.ID); ok && known.Covers(d) {
		return c.waitDurable(ctx, known.Index)
	}
	applied, err := c.propose(ctx, confstate.Command{Depart: &d})
	switch {
	case errors.Is(err, replica.ErrOutcomeUnknown):
		return peer.Errorf(nodelink.CodeUndecided, "%s", err.Error())
	case err != nil:
		return c.peerError(err)
	}
	return c.waitDurable(ctx, applied.index)
}

// applyDepartures records in the registry the departures of the replicated state that it lacks. A new leader goes on
// applying those of earlier terms after its term has begun. It runs on the loop.
func (c *Controller) applyDepartures(now time.Duration) {
	for _, d := range c.stateMachine.departuresSince(c.departuresUntil) {
		c.departuresUntil = max(c.departuresUntil, d.Index)
		if !c.markDeparted(d, now) {
			continue
		}
		c.log.Event("departure applied", eventlog.Fields{"upstream": d.Upstream.ID, "born": d.Upstream.Born, "gone": d.Gone})
		if known, ok := c.registry.Get(d.Upstream.ID); ok {
			c.planner.SetUpstream(known, now)
		}
	}
}

// markDeparted records a departure in the registry and reports whether that was new.
func (c *Controller) markDeparted(d confstate.Departure, now time.Duration) bool {
	if d.Upstream.Check() != nil {
		return false // accepted by a node of another version
	}
	if d.Gone {
		return c.registry.Leave(d.Upstream.ID, d.Upstream.Born, now) == fleet.Taken
	}
	return c.registry.MarkLeaving(d.Upstream.ID, d.Upstream.Born)
}

// correctAnnouncement adds to an announcement what is known of the departure of its upstream, and reports whether the
// upstream has ended. An announcement from before may arrive late, at a leader that has not heard of the upstream.
func (c *Controller) correctAnnouncement(u *fleet.Upstream) (ended bool) {
	d, ok := c.stateMachine.departure(u.ID)
	if !ok || d.Upstream.Born != u.Born {
		return false
	}
	u.Leaving = true
	return d.Gone
}
