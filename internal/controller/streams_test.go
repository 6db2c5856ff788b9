package controller_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/controller"
	"github.com/agateslip/agateslip/origin"
	"github.com/agateslip/agateslip/routes"
)

// TestLeaderRemembersStreamsForTheLongestRoute puts a route in force on which callers wait for five minutes. The
// leader must remember streams for three times as long.
func TestLeaderRemembersStreamsForTheLongestRoute(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 17830, 3)
	c.decode = func([]byte) (*routes.Configuration, error) {
		return &routes.Configuration{
			Version: 1, Services: []routes.Service{{Name: "s"}},
			Routes: []routes.Route{
				{Name: "plain", Kind: routes.Repeatable, Timeout: time.Hour},
				{Name: "stream", Kind: routes.Stream, Timeout: 5 * time.Minute},
			},
		}, nil
	}
	c.start(0, 1, 2)
	c.accept(0, 1, "x")
	c.waitFor("the leader to plan by the configuration", func() bool {
		for _, n := range c.nodes {
			if strings.Contains(n.log.Tail(1<<20), `"streamSeconds":900`) {
				return true
			}
		}
		return false
	})
}

// TestNewLeaderKnowsRecordedStreams records streams and restarts all nodes, which take a while to apply their
// logs. Whatever node answers must know the first of the streams.
func TestNewLeaderKnowsRecordedStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const streams = 12
	c := newCluster(t, 17840, 3)
	c.start(0, 1, 2)
	c.accept(0, 1, "x")
	key := func(i int) origin.Key { return origin.KeyOf("llm", fmt.Sprint("call", i)) }
	// atLeader calls fn with each node in turn until one of them succeeds.
	atLeader := func(fn func(ctx context.Context, n *controller.Controller) error) {
		c.waitFor("a leader that answers", func() bool {
			for _, n := range c.nodes {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				err := fn(ctx, n.node)
				cancel()
				if err == nil {
					return true
				}
			}
			return false
		})
	}
	for i := range streams {
		atLeader(func(ctx context.Context, n *controller.Controller) error { return n.RecordStream(ctx, "v2", key(i)) })
	}
	c.kill(0, 1, 2)
	c.applyDelay = 150 * time.Millisecond // seconds for the whole log
	c.start(0, 1, 2)
	atLeader(func(ctx context.Context, n *controller.Controller) error {
		answer, err := n.FindStream(ctx, "llm", key(0))
		if err == nil {
			is.True(answer.Known && answer.Software == "v2")
		}
		return err
	})
}
