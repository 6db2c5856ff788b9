package controller_test

import (
	"context"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
)

// oddUpstreams are descriptions that a control node of another version accepted under the ID of a sound one.
func oddUpstreams(sound fleet.Upstream) []fleet.Upstream {
	lastSeq, lastBorn, noPort, tooMany := sound, sound, sound, sound
	lastSeq.Seq = math.MaxUint64
	lastBorn.Born = math.MaxInt64
	noPort.Seq, noPort.Addr = sound.Seq+100, "192.0.2.1:0"
	tooMany.Seq, tooMany.Slots = sound.Seq+100, math.MaxInt
	return []fleet.Upstream{lastSeq, lastBorn, noPort, tooMany}
}

// startOddCluster starts three control nodes and waits until they decide.
func startOddCluster(t *testing.T, port int) *cluster {
	t.Helper()
	c := newCluster(t, port, 3)
	for _, n := range c.nodes {
		n.cfg.Losses = 1
	}
	c.start(0, 1, 2)
	if result := c.configure(0, 7, "seven"); result != confstate.Accepted {
		t.Fatal(result)
	}
	return c
}

// leadingNode waits for a leader and returns its number.
func (c *cluster) leadingNode() int {
	c.t.Helper()
	at := -1
	c.waitFor("a leader", func() bool {
		for i, n := range c.nodes {
			if n.node != nil && n.node.Leads() {
				at = i
			}
		}
		return at >= 0
	})
	return at
}

// TestOddAnnouncementTakesNoSoundUpstreamOut guards against announcements that a control node of another version
// forwards, under the ID of a sound upstream: its own were taken for late ones.
func TestOddAnnouncementTakesNoSoundUpstreamOut(t *testing.T) {
	is := is.New(t)
	c := startOddCluster(t, 19930)
	node, ctx := c.nodes[c.leadingNode()].node, context.Background()
	for i := range oddUpstreams(departing(0)) {
		sound := departing(i)
		_, err := node.Announce(ctx, sound)
		is.NoErr(err)
		_, err = node.Announce(ctx, oddUpstreams(sound)[i])
		is.NoErr(err)
		is.NoErr(node.Leave(ctx, sound.ID, math.MaxInt64))
		sound.Seq, sound.Slots = 2, 8
		_, err = node.Announce(ctx, sound)
		is.NoErr(err)
	}
	listed := node.Upstreams()
	is.Equal(len(listed), 4)
	for _, u := range listed {
		is.Equal(u.Seq, uint64(2))
		is.Equal(u.Slots, 8)
	}
}

// TestOddEntryOfAnotherLeaderIsForgotten guards against entries that a leader of another version listed: the next
// leader took the announcements of sound upstreams for late ones.
func TestOddEntryOfAnotherLeaderIsForgotten(t *testing.T) {
	is := is.New(t)
	c := startOddCluster(t, 19940)
	node, ctx := c.nodes[c.leadingNode()].node, context.Background()
	for i := range oddUpstreams(departing(0)) {
		sound := departing(i)
		for _, gone := range []bool{false, true} {
			odd := oddUpstreams(sound)[i]
			if odd.Gone = gone; gone && odd.Born == sound.Born {
				continue // the end of an incarnation that is known
			}
			is.NoErr(node.ApplyChanges(ctx, false, []fleet.Upstream{odd}))
		}
		_, err := node.Announce(ctx, sound)
		is.NoErr(err)
	}
	is.Equal(len(node.Upstreams()), 4)
}

// TestOddDepartureOutlastsNoLeader guards against a departure in the replicated state of an incarnation that will
// never be: each new leader took the upstream for gone.
func TestOddDepartureOutlastsNoLeader(t *testing.T) {
	is := is.New(t)
	c := startOddCluster(t, 19950)
	ctx, sound := context.Background(), departing(0)
	first := c.leadingNode()
	c.waitFor("the departure", func() bool {
		return c.nodes[first].node.Depart(ctx, confstate.Departure{Upstream: fleet.Incarnation{ID: sound.ID, Born: math.MaxInt64}, Gone: true}) == nil
	})
	c.kill(first)
	next := c.leadingNode()
	c.waitFor("the announcement", func() bool {
		sound.Seq++
		_, err := c.nodes[next].node.Announce(ctx, sound)
		return err == nil
	})
	is.Equal(len(c.nodes[next].node.Upstreams()), 1)
}
