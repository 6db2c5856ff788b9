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
	budget *Budget
	cut    func() bool
	waited time.Duration
}

// NewRoom returns the room of a call that ends with ctx. cut closes the connection of one other call whose body is incomplete and may
// be cut, and reports whether there was one.
func (b *Budget) NewRoom(ctx context.Context, cut func() bool) *Room {
	return &Room{ctx: ctx, budget: b, cut: cut}
}

// Make waits until some memory becomes free, and reports whether some did. All calls of Make together wait for roomTime.
func (r *Room) Make() bool {
	before := r.budget.Used()
	for !r.cut() {
		if r.waited >= roomTime || r.ctx.Err() != nil {
			return false
		}
		start := time.Now()
		time.Sleep(roomInterval)
		r.waited += time.Since(start)
		if r.budget.Used() < before {
			return true
		}
	}
	for start := time.Now(); r.budget.Used() >= before && time.Since(start) < releaseTime; {
		time.Sleep(time.Millisecond)
	}
	return true
}

// MakeFor makes room for a body of the given size, or -1 if that is unknown. It reports whether the budget has it now.
func (r *Room) MakeFor(size int64) bool {
	for !r.budget.Fits(size) {
		if !r.Make() {
			return false
		}
	}
	return true
}
