package bodybuffer

import (
	"context"
	"time"
)

const (
	// roomTime bounds how long a call waits in all for memory. Its caller, or the upstream that answers it, can't send on meanwhile.
	roomTime = time.Second
	// roomInterval is the interval at which a waiting call looks for memory.
	roomInterval = 2 * time.Millisecond
	// releaseTime bounds the wait for the memory of a body whose connection was cut: its call ends when it reads on.
	releaseTime = 100 * time.Millisecond
)

// Room frees memory of a budget for one call: it waits for other calls to end, and cuts bodies that others have not sent. It is not
// safe for concurrent use.
type Room struct {
	ctx    context.Context
	share  *Share
	cut    func() bool
	waited time.Duration
	// stalled is the call's wait, from its first one on.
	stalled *stalledCall
}

// NewRoom returns the room of the call that has the share and ends with ctx, and makes it that of the share. cut closes the connection
// of one other call whose body is incomplete and may be cut, and reports whether there was one.
func (s *Share) NewRoom(ctx context.Context, cut func() bool) *Room {
	r := &Room{ctx: ctx, share: s, cut: cut, stalled: s.budget.stalls.newCall()}
	s.MakeRoom = r.Make
	return r
}

// Make waits until some memory becomes free, and reports whether some did. All calls of Make together wait for roomTime, or less if the
// call is to make room for others.
func (r *Room) Make() bool {
	budget := r.share.budget
	if !r.share.running {
		budget.stalls.begin(r.stalled, r.share.size(), budget.limit/stalledShare)
		defer budget.stalls.end(r.stalled)
	}
	before := budget.Used()
	for !r.cut() {
		if r.waited >= roomTime || r.ctx.Err() != nil || r.stalled.givesWay.Load() {
			return false
		}
		start := time.Now()
		time.Sleep(roomInterval)
		r.waited += time.Since(start)
		if budget.Used() < before {
			return true
		}
	}
	for start := time.Now(); budget.Used() >= before && time.Since(start) < releaseTime; {
		time.Sleep(time.Millisecond)
	}
	return true
}

// MakeFor makes room for a body of the given size, or -1 if that is unknown. It reports whether the budget has it now.
func (r *Room) MakeFor(size int64) bool {
	r.stalled.announced = size >= 0
	for !r.share.budget.Fits(size) {
		if !r.Make() {
			return false
		}
	}
	return true
}
