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

const (
	// copyWait is how long the leader may hold an answer back for lack of news.
	copyWait = time.Second
	// copyTime bounds a question for news.
	copyTime = copyWait + time.Second
	// copyPause is the pause after a failed one.
	copyPause = 100 * time.Millisecond
)

// follow keeps a copy of the leader's registry, so that this node knows what was
// acknowledged if it leads next.
func (c *Controller) follow(ctx context.Context) error {
	var term, revision uint64
	for ctx.Err() == nil {
		leader := c.leader()
		if leader == "" || leader == c.cfg.Listen.Links {
			pause.For(ctx, copyPause)
			continue
		}
		answer, err := c.askNews(ctx, leader, term, revision)
		if err != nil {
			pause.For(ctx, copyPause)
			continue
		}
		upstreams, err := answer.Upstreams.Decode()
		if err != nil {
			c.log.Event("news unreadable", eventlog.Fields{"asked": leader, "error": err.Error()})
			pause.For(ctx, copyPause)
			continue
		}
		err = c.loop.Do(ctx, func() {
			if c.term == 0 {
				c.copyNews(answer.Whole, upstreams)
			}
		})
		if err != nil {
			return err
		}
		term, revision = answer.Term, answer.Revision
	}
	return nil
}

func (c *Controller) askNews(ctx context.Context, leader string, term, revision uint64) (nodelink.WatchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTime)
	defer cancel()
	var answer nodelink.WatchAnswer
	err := c.mesh.Call(ctx, leader, nodelink.Watch, nodelink.WatchRequest{
		Version: c.store.version(), Term: term, Revision: revision, WaitMillis: copyWait.Milliseconds(),
	}, &answer)
	return answer, err
}

// copyNews takes the leader's news into this node's registry.
func (c *Controller) copyNews(whole bool, upstreams []fleet.Upstream) {
	if whole {
		c.registry = fleet.NewRegistry(fleet.Timeouts{
			Silence: silentHeartbeats * time.Duration(c.cfg.Heartbeat), Tombstone: tombstone,
		})
	}
	c.registry.Replace(upstreams, boottime.Now())
}
