package dispatch

import (
	"slices"
	"time"
)

const (
	// stallShare is the share of the time until a call is due after which its
	// upstream's silence counts, so that another one can still be on time.
	stallShare = 0.4
	// leastStall is the least such time: a sound upstream with a queue may be silent
	// for a few hundred milliseconds.
	leastStall = 500 * time.Millisecond
	// begunStall is that time for an answer that has begun. It is late then already,
	// and a busy engine may pause for about a second.
	begunStall = 1500 * time.Millisecond
	// stallCheck is the pause before a silent upstream is looked at again.
	stallCheck = 250 * time.Millisecond
)

// Stall says what becomes of a call at an upstream that may be silent.
type Stall struct {
	// Move says that the call goes on at another upstream.
	Move bool
	// Check is when to ask again otherwise; zero if the call has ended.
	Check time.Duration
}

// Stalled decides on a call that may run again: it moves on if its upstream has said
// nothing to this node for too long and another one has room for it now. It answers
// upstreams that go dark or hang while their connections stay open. sent is when the
// call was sent, heard when any byte last came from the upstream, begun whether the
// answer has begun.
func (d *Dispatcher) Stalled(t Token, sent, heard time.Duration, begun bool, now time.Duration) Stall {
	r := d.running[t]
	if r == nil {
		return Stall{}
	}
	patience := begunStall
	if !begun {
		patience = max(leastStall, time.Duration(stallShare*float64(r.call.Target-r.call.Arrived)))
	}
	if due := max(sent, heard) + patience; now < due {
		return Stall{Check: due}
	}
	next := r.call
	next.Avoid = append(slices.Clone(next.Avoid), r.upstream.desc.ID)
	if _, outcome := d.choose(&next, now); outcome != chosen {
		return Stall{Check: now + stallCheck}
	}
	return Stall{Move: true}
}
