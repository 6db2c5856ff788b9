package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/pause"
)

// Waits of an admitted call for an upstream with room.
const (
	minBusyWait = 10 * time.Millisecond
	maxBusyWait = 200 * time.Millisecond
	// resumeWait bounds the wait of a started stream, which has no deadline.
	resumeWait = 20 * time.Second
)

// ErrBusy marks a Router's refusal that may pass before the call's deadline: no
// upstream has room at present, or all were tried.
var ErrBusy = errors.New("no upstream has room")

// pursuit is one call's search for an upstream over all its attempts.
type pursuit struct {
	sender *sender
	call   *Call
	// tried are the upstreams that are not asked again for now.
	tried []string
	// until is when the search ends.
	until time.Time
	// begun says that a part of the answer is with the caller.
	begun bool
	wait  time.Duration
	// ran is what the attempts so far have proved.
	ran Ran
	// last is the failure of the latest attempt; nil before one failed.
	last error
}

func (s *sender) pursue(c *Call) *pursuit {
	return &pursuit{sender: s, call: c, until: c.Deadline, wait: minBusyWait, ran: NotRun}
}

// next chooses an upstream and waits for one with room. Upstreams tried before
// are asked again after each wait. An answer that has not begun is not begun after the deadline.
func (p *pursuit) next(ctx context.Context) (Route, error) {
	for {
		if !p.begun && time.Until(p.until) <= 0 {
			return Route{}, refuse(ReasonDeadline, "the call could not start in time").afterMoment()
		}
		route, err := p.sender.router.Pick(p.call, p.tried)
		if err == nil || !errors.Is(err, ErrBusy) {
			return route, err
		}
		if time.Until(p.until) <= p.wait || !pause.For(ctx, p.wait) {
			return Route{}, err
		}
		p.tried = nil
		p.wait = min(2*p.wait, maxBusyWait)
	}
}

// failed takes note of an attempt that failed.
func (p *pursuit) failed(upstream string, err error) {
	p.tried = append(p.tried, upstream)
	p.last = err
	if ran := ranOf(err); ran != NotRun {
		p.ran = ran
	}
}

// started gives the search the time of a stream that goes on.
func (p *pursuit) started() { p.until = time.Now().Add(resumeWait) }

// refusal is the final answer to a call whose attempts all failed. It says that
// the call was not run only where that holds for every attempt.
func (p *pursuit) refusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) && p.last == nil {
		return r
	}
	reason := ReasonUpstreamFailed
	switch {
	case time.Until(p.call.Deadline) <= maxBusyWait:
		reason = ReasonDeadline
	case errors.As(p.last, &r):
		reason = r.Reason
	}
	return refuse(reason, "%v", p.last).withRan(p.ran).afterMoment()
}

// isRefused says whether an upstream refused an attempt for want of room, which
// proves that it did not run and costs no retry budget.
func isRefused(err error) bool {
	var ae *attemptError
	return errors.As(err, &ae) && ae.refused
}
