package ratelimit

import (
	"maps"
	"math"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

const (
	// burstTime is the time whose permits are kept if no node asks for them.
	burstTime = 250 * time.Millisecond
	// probeInterval is the longest time between two permits. An upstream that takes no
	// calls, or next to none, gets one now and then: only its answer shows that the limit
	// has ended. A deployment has about twice that time to recover.
	probeInterval = 5 * time.Second
	// wantTTL is how long a node's want counts in the order of those that wait.
	wantTTL = 500 * time.Millisecond
	// bucketTTL is how long the permits of an upstream are kept that no node asks for.
	bucketTTL = time.Minute
)

// effectiveRate returns the permits per second that a limit yields.
func effectiveRate(limit float64) float64 { return max(limit, 1/probeInterval.Seconds()) }

// Allocator hands out the permits of all upstreams. It belongs to one leader and starts
// without permits.
type Allocator struct {
	buckets map[fleet.Incarnation]*bucket
}

// bucket holds the permits of one upstream that are not handed out.
type bucket struct {
	permits  float64
	filledAt time.Duration
	askedAt  time.Duration
	// waiting holds the latest wants of the nodes where calls wait.
	waiting map[string]waitingNode
}

type waitingNode struct {
	calls, priority int
	at              time.Duration
}

// NewAllocator returns an allocator without permits.
func NewAllocator() *Allocator { return &Allocator{buckets: map[fleet.Incarnation]*bucket{}} }

// Grant answers a node's want for an upstream with the given limit in calls per second.
func (a *Allocator) Grant(node string, w Want, limit float64, now time.Duration) Grant {
	b := a.buckets[w.Upstream]
	if b == nil {
		a.dropUnused(now)
		b = &bucket{filledAt: now, waiting: map[string]waitingNode{}}
		a.buckets[w.Upstream] = b
	}
	rate := effectiveRate(limit)
	b.fill(rate, now)
	b.askedAt = now
	maps.DeleteFunc(b.waiting, func(_ string, n waitingNode) bool { return now-n.at > wantTTL })
	delete(b.waiting, node)
	moreUrgent, equals := b.countOthers(w.Priority)
	g := Grant{Upstream: w.Upstream}
	switch {
	case w.Waiting > 0:
		g.Permits = max(0, min(w.Waiting, int(b.permits)-moreUrgent))
		if left := w.Waiting - g.Permits; left > 0 {
			b.waiting[node] = waitingNode{calls: left, priority: w.Priority, at: now}
		}
	case len(b.waiting) == 0:
		g.Permits = min(w.Recent, b.spare(rate))
	}
	b.permits -= float64(g.Permits)
	g.PerSecond = rate / float64(equals+1)
	// Nodes of equal priority get their permits in the order in which they happen to ask.
	ahead := float64(moreUrgent) + float64(equals)/2
	g.In = seconds(max(0, ahead+1-b.permits) / rate)
	return g
}

// fill adds the permits since the last time, up to those of burstTime and one.
func (b *bucket) fill(rate float64, now time.Duration) {
	most := 1 + rate*burstTime.Seconds()
	b.permits = min(most, b.permits+rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// spare returns the permits that a node may have in advance: half of them, or one if there
// are as many as there can be.
func (b *bucket) spare(rate float64) int {
	if half := int(b.permits / 2); half > 0 {
		return half
	}
	if b.permits >= 1+rate*burstTime.Seconds() {
		return 1
	}
	return 0
}

// countOthers returns the calls of higher priority that wait at other nodes, and the number
// of nodes where calls of the same priority wait.
func (b *bucket) countOthers(priority int) (moreUrgentCalls, equalNodes int) {
	for _, n := range b.waiting {
		switch {
		case n.priority < priority:
			moreUrgentCalls = min(moreUrgentCalls+n.calls, math.MaxInt32)
		case n.priority == priority:
			equalNodes++
		}
	}
	return moreUrgentCalls, equalNodes
}

// dropUnused drops the permits of upstreams that no node has asked for lately.
func (a *Allocator) dropUnused(now time.Duration) {
	maps.DeleteFunc(a.buckets, func(_ fleet.Incarnation, b *bucket) bool { return now-b.askedAt > bucketTTL })
}
