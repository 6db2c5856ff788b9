package dispatch

import (
	"slices"
	"time"
)

const (
	// stallTargetFraction is the share of the time from a call's arrival to its target
	// for which its upstream may be silent. It leaves another upstream the time to
	// answer by the target.
	stallTargetFraction = 0.4
	// minStallTimeout is the lower bound of that time. A healthy upstream with a queue may
	// be silent for a few hundred milliseconds.
	minStallTimeout = 500 * time.Millisecond
	// midAnswerStallTimeout is the time for which an upstream may be silent once the
	// answer has begun. An answer that stalls is late in any case, and a busy engine may
	// pause for about a second.
	midAnswerStallTimeout = 1500 * time.Millisecond
	// stallRecheckInterval is the time between checks of a silent upstream while no other
	// one can take the call.
	stallRecheckInterval = 250 * time.Millisecond
)

// Stall is the decision on a call whose upstream may have fallen silent.
type Stall struct {
	// Move is set when the call should move to another upstream.
	Move bool
	// Check is when to ask again if the call stays; zero if the call is not running.
	Check time.Duration
}

// Stalled decides whether a call that may run again moves to another upstream. It moves
// if its upstream has sent nothing to this node for too long and another one has a free
// slot for it now. pinned is set if the caller has received an event, so that only an upstream with
// the same software can go on. This detects upstreams that hang or become unreachable while their
// connections stay open. sent is when the call was sent, heard is when any byte last
// arrived from the upstream, and begun reports whether the answer has begun.
func (d *Dispatcher) Stalled(id CallID, sent, heard time.Duration, begun, pinned bool, now time.Duration) Stall {
	r := d.running[id]
	if r == nil {
		return Stall{}
	}
	timeout := midAnswerStallTimeout
	if !begun {
		timeout = max(minStallTimeout, time.Duration(stallTargetFraction*float64(r.call.Target-r.call.Arrived)))
	}
	if due := max(sent, heard) + timeout; now < due {
		return Stall{Check: due}
	}
	next := r.call
	next.Avoid = append(slices.Clone(next.Avoid), r.upstream.desc.ID)
	if pinned && !next.Pinned {
		next.Pinned, next.Software = true, r.upstream.desc.Software
	}
	if _, outcome := d.choose(&next, now); outcome != selected {
		return Stall{Check: now + stallRecheckInterval}
	}
	return Stall{Move: true}
}
