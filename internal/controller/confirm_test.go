package controller_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/nodelink"
)

// TestUpstreamIsConfirmedByItsNextAnnouncement asks whether an incarnation still runs. The announcements from before the
// question do not tell; the next one does, of this incarnation or of a later one.
func TestUpstreamIsConfirmedByItsNextAnnouncement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 17850, 3)
	c.start(0, 1, 2)
	c.accept(0, 1, "x")
	u := fleet.Upstream{ID: "u", Born: 5, Seq: 1, Service: "s", Addr: "127.0.0.1:1", Slots: 1}
	announce := func() {
		c.waitFor("announcement", func() bool {
			_, err := c.nodes[0].node.Announce(context.Background(), u)
			return err == nil
		})
	}
	announce()
	ask := func(wait time.Duration) (nodelink.ConfirmUpstreamAnswer, error) {
		for _, n := range c.nodes {
			if n.node.Leads() {
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				return n.node.ConfirmUpstream(ctx, fleet.Incarnation{ID: "u", Born: 5})
			}
		}
		t.Fatal("no leader")
		return nodelink.ConfirmUpstreamAnswer{}, nil
	}
	_, err := ask(200 * time.Millisecond)
	is.True(err != nil)
	time.AfterFunc(100*time.Millisecond, func() { u.Seq++; announce() })
	answer, err := ask(5 * time.Second)
	is.NoErr(err)
	is.Equal(answer, nodelink.ConfirmUpstreamAnswer{Running: true})
	u.Born, u.Seq = 6, 1
	announce()
	answer, err = ask(5 * time.Second)
	is.NoErr(err)
	is.Equal(answer, nodelink.ConfirmUpstreamAnswer{Replaced: true})
}
