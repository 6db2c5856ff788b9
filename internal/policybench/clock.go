package policybench

import (
	"container/heap"
	"time"
)

// event is a function that runs at an instant of virtual time.
type event struct {
	at time.Duration
	// seq orders events of the same instant by their creation.
	seq uint64
	run func()
}

// eventQueue is a heap of events ordered by time, then by sequence number.
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

// clock is the virtual clock. It runs events in the order of their times.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventQueue
}

// at schedules an event at an instant; an instant in the past means now.
func (c *clock) at(at time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: max(at, c.now), seq: c.seq, run: run})
}

// after schedules an event after a delay.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// runUntil runs all events up to and including an instant and sets the time to it.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
