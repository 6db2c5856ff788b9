package controller_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
)

// departing is the i-th upstream of a test.
func departing(i int) fleet.Upstream {
	return fleet.Upstream{
		ID: fmt.Sprint("u-", i), Born: 1000 + int64(i), Seq: 1, Service: "s", Addr: fmt.Sprintf("192.0.2.%d:80", i+1), Slots: 4,
	}
}

// TestAcknowledgedDeparturesOutlastLeader has upstreams leave or drain and ends all control nodes at once, right after
// that was acknowledged, and loses two disks. Whoever leads then must know of it, whatever late announcements say.
func TestAcknowledgedDeparturesOutlastLeader(t *testing.T) {
	const upstreams = 20
	is := is.New(t)
	c := newCluster(t, 17480, 5)
	c.start(0, 1, 2, 3, 4)
	c.accept(0, 7, "seven")
	c.waitForVoters(0)
	announce := func(node int, u fleet.Upstream) {
		c.waitFor("announcement of "+u.ID, func() bool {
			_, err := c.nodes[node].node.Announce(context.Background(), u)
			return err == nil
		})
	}
	for i := range upstreams {
		announce(i%5, departing(i))
	}
	var departures sync.WaitGroup
	var slowest time.Duration
	var mu sync.Mutex
	for i := range upstreams {
		departures.Go(func() {
			u := departing(i)
			start := time.Now()
			if i%2 == 0 {
				c.waitFor("departure", func() bool { return c.nodes[i%5].node.Leave(context.Background(), u.ID, u.Born) == nil })
			} else {
				u.Seq, u.Leaving = 2, true
				announce(i%5, u)
			}
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, time.Since(start))
		})
	}
	departures.Wait()
	t.Logf("the slowest of %d departures was acknowledged after %v", upstreams, slowest)
	var killed sync.WaitGroup
	for i := range c.nodes {
		killed.Go(func() { c.kill(i) })
	}
	killed.Wait()
	c.wipe(0)
	c.wipe(3)
	c.start(0, 1, 2, 3, 4)
	c.waitFor("a leader", func() bool { _, _, err := c.nodes[1].node.Configuration(context.Background()); return err == nil })
	for i := range upstreams {
		late := departing(i)
		late.Seq = 10
		announce(1, late)
	}
	for i, n := range c.nodes {
		for _, u := range n.node.Upstreams() {
			if !u.Leaving {
				t.Errorf("node %d lists %s as ready", i, u.ID)
			}
			is.True(strings.HasPrefix(u.ID, "u-"))
		}
	}
}

// TestDepartureNeedsThreeDisks guards against acknowledging a departure that is on two disks only, when it is applied or
// when it is repeated after that. Those are a majority of a group of three, but both may be lost at once.
func TestDepartureNeedsThreeDisks(t *testing.T) {
	const upstreams = 2 // one leaves, the other drains
	is := is.New(t)
	c := newCluster(t, 19880, 3)
	c.start(0, 1)
	depart := func(node, i int) error {
		u := departing(i)
		if i%2 == 0 {
			return c.nodes[node].node.Leave(context.Background(), u.ID, u.Born)
		}
		u.Seq, u.Leaving = 2, true
		_, err := c.nodes[node].node.Announce(context.Background(), u)
		return err
	}
	kept := func(i int) bool {
		for _, n := range c.nodes[:2] {
			if !n.node.KeepsDeparture(departing(i).ID) {
				return false
			}
		}
		return true
	}
	for i := range upstreams {
		c.waitFor("announcement", func() bool {
			_, err := c.nodes[0].node.Announce(context.Background(), departing(i))
			return err == nil
		})
	}
	for i := range upstreams {
		c.waitFor("a departure on two disks", func() bool {
			is.True(depart(i%2, i) != nil) // two disks are too few
			return kept(i)
		})
		for node := range 2 {
			is.True(depart(node, i) != nil) // for a repeat, too
		}
	}
	c.start(2)
	for i := range upstreams {
		c.waitFor("the departure", func() bool { return depart(i%3, i) == nil })
	}
}
