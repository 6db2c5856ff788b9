package controller

import (
	"context"
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/pause"
)

const (
	// watchWait is how long the leader may hold a watch request if nothing has changed.
	watchWait = time.Second
	// watchTimeout bounds a watch request.
	watchTimeout = watchWait + time.Second
	// watchRetryInterval is the pause before the next watch request if there is no leader
	// or the last request failed.
	watchRetryInterval = 100 * time.Millisecond
)

// copyLeaderRegistry keeps a copy of the leader's registry by watching it, so that this
// node knows the acknowledged announcements if it becomes the leader.
func (c *Controller) copyLeaderRegistry(ctx context.Context) error {
	var term, revision uint64
	for ctx.Err() == nil {
		leader := c.leader()
		if leader == "" || leader == c.cfg.Listen.Links {
			pause.For(ctx, watchRetryInterval)
			continue
		}
		answer, err := c.requestChanges(ctx, leader, term, revision)
		if err != nil {
			pause.For(ctx, watchRetryInterval)
			continue
		}
		upstreams, err := answer.Upstreams.Decode()
		if err != nil {
			c.log.Event("upstream changes not decoded", eventlog.Fields{"asked": leader, "error": err.Error()})
			pause.For(ctx, watchRetryInterval)
			continue
		}
		err = c.loop.Do(ctx, func() {
			if c.term == 0 {
				c.applyChanges(answer.Whole, upstreams)
			}
		})
		if err != nil {
			return err
		}
		term, revision = answer.Term, answer.Revision
	}
	return nil
}

// requestChanges asks the leader for the upstreams that changed after the given term and
// revision.
func (c *Controller) requestChanges(ctx context.Context, leader string, term, revision uint64) (nodelink.WatchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var answer nodelink.WatchAnswer
	err := c.mesh.Call(ctx, leader, nodelink.Watch, nodelink.WatchRequest{
		Version: c.stateMachine.version(), Term: term, Revision: revision, WaitMillis: watchWait.Milliseconds(),
	}, &answer)
	return answer, err
}

// applyChanges applies changes from the leader to the local registry. If whole is set,
// upstreams is the complete list and replaces the registry. Upstreams that a leader of another version
// lists and that cannot be used are left out: their numbers could outlast all later ones.
func (c *Controller) applyChanges(whole bool, upstreams []fleet.Upstream) {
	if whole {
		c.registry = fleet.NewRegistry(fleet.Timeouts{
			Silence: maxMissedHeartbeats * time.Duration(c.cfg.Heartbeat), Tombstone: tombstoneTTL,
		})
	}
	c.registry.Replace(slices.DeleteFunc(upstreams, func(u fleet.Upstream) bool { return !u.IsUsable() }), boottime.Now())
}
