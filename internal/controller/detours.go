package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateslip/agateslip/internal/boottime"
)

// maxDetours is the number of other entry nodes that an entry node is told of.
const maxDetours = 16

// entryNode is what the leader knows of an entry node.
type entryNode struct {
	// watchedAt is when its latest watch request arrived.
	watchedAt time.Duration
	// detours is the address at which it accepts detours.
	detours string
}

// noteEntryNode records a watch request. It runs on the loop.
func (c *Controller) noteEntryNode(name, detours string) {
	if known, ok := c.entryNodes[name]; !ok || known.detours != detours {
		c.detoursRevision++
	}
	c.entryNodes[name] = entryNode{watchedAt: boottime.Now(), detours: detours}
}

// detoursFor returns where the given entry node may ask for detours: at some of the others, which differ
// from node to node so that all of them help.
func (c *Controller) detoursFor(name string) []string {
	type scored struct {
		score uint64
		addr  string
	}
	var others []scored
	for other, n := range c.entryNodes {
		if other != name && n.detours != "" {
			others = append(others, scored{xxhash.Sum64String(name + " " + other), n.detours})
		}
	}
	slices.SortFunc(others, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	var addrs []string
	for _, o := range others[:min(len(others), maxDetours)] {
		addrs = append(addrs, o.addr)
	}
	return addrs
}
