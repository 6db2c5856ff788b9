package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/internal/eventstream"
	"github.com/agateslip/agateslip/internal/pause"
)

const (
	// maxBufferedAnswerBytes is the size up to which an answer is read in full before
	// its first byte is sent, so that a failed attempt can still be retried.
	maxBufferedAnswerBytes = 1 << 20
)

// runCall checks the idempotency key, waits for admission and runs the call.
func (g *Gateway) runCall(w http.ResponseWriter, r *http.Request, c *Call) error {
	if c.IdempotencyKey != "" && !validIdempotencyKey(c.IdempotencyKey) {
		return refuse(ReasonKeyMalformed, "the idempotency key must be printable ASCII of at most %d bytes", maxIdempotencyKeyBytes)
	}
	if len(r.Header.Values(headerIdempotencyKey)) > 1 {
		return refuse(ReasonKeyMalformed, "a call has at most one idempotency key")
	}
	if c.RunsOnce {
		return g.runOnce(w, r, c)
	}
	ticket, err := g.admit(r.Context(), c)
	if err != nil {
		return err
	}
	defer ticket.Release()
	return g.sender.runRepeatable(r.Context(), w, c)
}

// admit waits for the call's admission, at most until its deadline.
func (g *Gateway) admit(ctx context.Context, c *Call) (Ticket, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return g.admitter.Admit(ctx, c)
}

// runRepeatable sends the call until an upstream answers, within the deadline and the
// retry budget. An attempt that delivered a part of the answer resets the count of
// attempts, so that a long stream survives the failure of several upstreams.
func (s *sender) runRepeatable(ctx context.Context, w http.ResponseWriter, c *Call) error {
	out := newRelay(w, false)
	search := s.newUpstreamSearch(c)
	stallTimeout := s.streamStallTimeout
	for attemptNumber := 1; ; attemptNumber++ {
		route, err := search.nextRoute(ctx)
		if err != nil {
			return finalError(search, out, err)
		}
		a := newAttempt(route)
		a.resumeFrom = out.tokensSent
		err = s.runAttempt(ctx, c, a, out, stallTimeout)
		if err == nil {
			return nil
		}
		search.recordFailure(route.Upstream, err)
		search.answerStarted = out.headerSent
		if out.tokensSent > 0 && search.software == nil {
			search.software = &route.Software
		}
		if ctx.Err() != nil || errors.Is(err, errAnswerAborted) || (out.headerSent && !route.Resumes) {
			return finalError(search, out, err)
		}
		progressed := out.tokensSent > a.resumeFrom
		if progressed {
			attemptNumber = 1
			search.tried = []string{route.Upstream}
			search.extendForResume()
		}
		if refusedByUpstream(err) || (out.headerSent && ranFromError(err) == NotRun) {
			attemptNumber--
			continue
		}
		failed := FailedAttempt{
			Upstream:   route.Upstream,
			Ran:        ranFromError(err),
			Resumable:  out.headerSent,
			Progressed: progressed,
			Number:     attemptNumber,
		}
		if !s.waitBeforeRetry(ctx, c, failed) {
			return finalError(search, out, err)
		}
		s.metrics.Resumed.Add(boolToInt64(out.headerSent))
		if errors.Is(err, errStalled) {
			search.tried = nil
			stallTimeout = s.nextStallTimeout(stallTimeout, progressed)
		}
	}
}

// nextStallTimeout returns the stall timeout after a stall: the initial one if the
// attempt delivered an event, otherwise double the last one, up to
// maxStreamStallTimeout.
func (s *sender) nextStallTimeout(last time.Duration, progressed bool) time.Duration {
	if progressed {
		return s.streamStallTimeout
	}
	return min(2*last, maxStreamStallTimeout)
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// ranFromError returns whether the attempt that failed with err ran the call.
func ranFromError(err error) Ran {
	var ae *attemptError
	if errors.As(err, &ae) {
		return ae.ran
	}
	return RanUnknown
}

// waitBeforeRetry waits for the backoff before another attempt. It returns false if the
// router allows none or ctx ends first.
func (s *sender) waitBeforeRetry(ctx context.Context, c *Call, f FailedAttempt) bool {
	wait, ok := s.router.MayRetry(c, f)
	if !ok || !pause.For(ctx, wait) {
		return false
	}
	s.metrics.Retries.Add(1)
	return true
}

// runAttempt sends the call once, relays its answer and reports the result to the
// router.
func (s *sender) runAttempt(caller context.Context, c *Call, a attempt, out *relay, stallTimeout time.Duration) error {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	a.watchdog = newWatchdog(cancel)
	defer a.watchdog.disarm()
	stopTimer := s.cancelAtDeadline(cancel, c, out)
	resp, err := s.roundTrip(ctx, c, a)
	if err != nil {
		stopTimer()
		a.route.reportLoss(err)
		a.route.Done(resultOfSendError(err))
		return err
	}
	defer resp.close()
	if !resumesAt(resp, a.resumeFrom) {
		err := errors.Mark(errors.Newf("upstream %s did not resume at token %d", a.route.Upstream, a.resumeFrom), errAnswerAborted)
		a.route.Done(AttemptInterrupted)
		return err
	}
	out.watchdog = a.watchdog
	err = s.relayAnswer(resp, out, stopTimer, stallTimeout)
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		err = &attemptError{ran: DidRun, err: errStalled}
	}
	s.noteForeign(c, a, err)
	a.route.reportLoss(err)
	a.route.Done(resultOfRelay(caller, err, out.tokensSent > a.resumeFrom))
	return err
}

// noteForeign counts and logs an attempt whose stream contained what is not its own; err is how the attempt ended.
func (s *sender) noteForeign(c *Call, a attempt, err error) {
	if err != nil && errors.IsAny(err, eventstream.ErrForeignLine, errForeignToken) {
		s.metrics.ForeignEvents.Add(1)
		s.log.WithError(err).WithFields(logrus.Fields{"request": c.ID, "upstream": a.route.Upstream}).Warn("foreign bytes in a stream")
	}
}

// resumesAt reports whether the answer begins at the requested token. An answer that
// begins elsewhere would repeat or skip tokens.
func resumesAt(resp *answer, token int) bool {
	return token == 0 || resp.header.Get(headerResumeFrom) == strconv.Itoa(token)
}

// resultOfRelay returns the result of an attempt whose answer was relayed, with err or
// to its end.
func resultOfRelay(caller context.Context, err error, progressed bool) AttemptResult {
	switch {
	case err == nil:
		return AttemptOK
	case caller.Err() != nil, errors.Is(err, errAnswerAborted):
		return AttemptCanceled
	case progressed:
		return AttemptInterrupted
	default:
		return AttemptFailed
	}
}

// cancelAtDeadline cancels the attempt at the call's deadline unless the answer has
// already started. The returned function stops the timer.
func (s *sender) cancelAtDeadline(cancel context.CancelCauseFunc, c *Call, out *relay) func() {
	if out.headerSent {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(c.Deadline), func() { cancel(context.DeadlineExceeded) })
	return func() { timer.Stop() }
}

// resultOfSendError returns the result of an attempt that failed before its answer
// began.
func resultOfSendError(err error) AttemptResult {
	var ae *attemptError
	switch {
	case errors.Is(err, context.Canceled):
		return AttemptCanceled
	case errors.As(err, &ae) && ae.refused:
		return AttemptRefused
	case ae != nil && ae.doubtful:
		return AttemptDoubtful
	default:
		return AttemptFailed
	}
}

// relayAnswer relays a stream event by event, and any other answer once its body was
// read in full. An answer larger than maxBufferedAnswerBytes is sent as it arrives.
func (s *sender) relayAnswer(resp *answer, out *relay, stopTimer func(), stallTimeout time.Duration) error {
	// Another status than the first one's must not look like the rest of the stream.
	if strings.HasPrefix(resp.header.Get("Content-Type"), "text/event-stream") && (!out.headerSent || resp.status == http.StatusOK) {
		stopTimer()
		out.watchdog.arm(stallTimeout)
		return out.relayStream(resp)
	}
	if out.headerSent {
		return &attemptError{ran: DidRun, err: errors.Newf("resumed stream answered with status %d", resp.status)}
	}
	head, err := io.ReadAll(io.LimitReader(resp.body, maxBufferedAnswerBytes+1))
	stopTimer()
	if err != nil {
		return &attemptError{ran: DidRun, err: errors.Wrap(err, "read answer")}
	}
	if len(head) <= maxBufferedAnswerBytes {
		return out.sendWhole(resp, head)
	}
	return out.sendAndStream(resp, head)
}

// finalError returns the error of a call that is given up: a refusal, or an error
// marked with errAnswerAborted if the answer has already started.
func finalError(search *upstreamSearch, out *relay, err error) error {
	if out.headerSent {
		return errors.Mark(errors.Wrap(err, "relay stream"), errAnswerAborted)
	}
	return search.finalRefusal(err)
}

func contentLength(body []byte) string { return strconv.Itoa(len(body)) }
