package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/pause"
)

// Backoff and time limit of the search for an upstream with free capacity.
const (
	minBusyBackoff = 10 * time.Millisecond
	maxBusyBackoff = 200 * time.Millisecond
	// resumeTimeout bounds the search for an upstream that resumes a started stream.
	// The deadline of the call does not apply once its answer has started.
	resumeTimeout = 20 * time.Second
)

// ErrBusy marks an error of Router.Pick that may pass before the call's deadline: no
// upstream has free capacity at present, or all of them were tried.
var ErrBusy = errors.New("no upstream has free capacity")

// upstreamSearch holds the state of the search for an upstream over all attempts of one
// call.
type upstreamSearch struct {
	sender *sender
	call   *Call
	// tried lists the upstreams that are skipped until the next backoff.
	tried []string
	// software is the version of the software that began the stream; nil before its first event.
	software *string
	// deadline is when the search ends.
	deadline time.Time
	// answerStarted reports whether the header of the answer was sent to the caller.
	answerStarted bool
	backoff       time.Duration
	// ran tells whether any attempt so far ran the call.
	ran Ran
	// lastErr is the error of the latest failed attempt; nil if none has failed.
	lastErr error
}

func (s *sender) newUpstreamSearch(c *Call) *upstreamSearch {
	return &upstreamSearch{sender: s, call: c, deadline: c.Deadline, backoff: minBusyBackoff, ran: NotRun}
}

// nextRoute chooses the upstream of the next attempt. While all upstreams are busy it
// retries with backoff until the deadline, and upstreams that were tried become
// eligible again after each backoff. After the deadline no attempt is made that would
// start the answer.
func (s *upstreamSearch) nextRoute(ctx context.Context) (Route, error) {
	for {
		if !s.answerStarted && time.Until(s.deadline) <= 0 {
			return Route{}, refuse(ReasonDeadline, "the call could not start in time").withDefaultRetryAfter()
		}
		route, err := s.sender.router.Pick(s.call, s.tried, s.software)
		if err == nil || !errors.Is(err, ErrBusy) {
			return route, err
		}
		if time.Until(s.deadline) <= s.backoff || !pause.For(ctx, s.backoff) {
			return Route{}, err
		}
		s.tried = nil
		s.backoff = min(2*s.backoff, maxBusyBackoff)
	}
}

// recordFailure records that an attempt at upstream failed with err.
func (s *upstreamSearch) recordFailure(upstream string, err error) {
	s.tried = append(s.tried, upstream)
	s.lastErr = err
	if ran := ranFromError(err); ran != NotRun {
		s.ran = ran
	}
}

// extendForResume moves the deadline to resumeTimeout from now, because the stream has
// made progress.
func (s *upstreamSearch) extendForResume() { s.deadline = time.Now().Add(resumeTimeout) }

// finalRefusal returns the refusal of a call whose attempts all failed; err is the
// error that ended the search. The refusal says that the call was not run only if this
// holds for every attempt.
func (s *upstreamSearch) finalRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) && s.lastErr == nil {
		return r
	}
	reason := ReasonUpstreamFailed
	switch {
	case time.Until(s.call.Deadline) <= maxBusyBackoff:
		reason = ReasonDeadline
	case errors.As(s.lastErr, &r):
		reason = r.Reason
	}
	return refuse(reason, "%v", s.lastErr).withRan(s.ran).withDefaultRetryAfter()
}

// refusedByUpstream reports whether an upstream refused an attempt for lack of
// capacity. This proves that the attempt did not run, and it costs no retry budget.
func refusedByUpstream(err error) bool {
	var ae *attemptError
	return errors.As(err, &ae) && ae.refused
}
