package policybench

import (
	"container/heap"
	"time"
)

// event is a function to run at an instant of virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// clock runs events in the order of virtual time.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventQueue
}

func (c *clock) at(at time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: max(at, c.now), seq: c.seq, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// runUntil runs events up to an instant.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
