package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/pause"
)

// Bounds of a repeatable call.
const (
	// maxBufferedAnswer bounds an answer that is read whole before its first
	// byte goes out, so that a further attempt is still possible, in bytes.
	maxBufferedAnswer = 1 << 20
)

// run has a call admitted and runs it.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, c *Call) error {
	if c.Key != "" && !validKey(c.Key) {
		return refuse(ReasonKeyMalformed, "the idempotency key must be printable ASCII of at most %d bytes", maxKeyBytes)
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

// admit waits for the call's turn until its deadline at the latest.
func (g *Gateway) admit(ctx context.Context, c *Call) (Ticket, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return g.admitter.Admit(ctx, c)
}

// runRepeatable sends the call until an upstream answers, within the deadline
// and the retry budget. An attempt that brought a part of the answer starts the
// count anew, so that a long stream outlives several upstreams.
func (s *sender) runRepeatable(ctx context.Context, w http.ResponseWriter, c *Call) error {
	out := newRelay(w)
	p := s.pursue(c)
	stall := s.streamStall
	for n := 1; ; n++ {
		route, err := p.next(ctx)
		if err != nil {
			return giveUp(p, out, err)
		}
		a := newAttempt(route)
		a.resumeFrom = out.tokens
		err = s.runAttempt(ctx, c, a, out, stall)
		if err == nil {
			return nil
		}
		p.failed(route.Upstream, err)
		p.begun = out.started
		if ctx.Err() != nil || errors.Is(err, errBroken) || (out.started && !route.Resumes) {
			return giveUp(p, out, err)
		}
		progressed := out.tokens > a.resumeFrom
		if progressed {
			n = 1
			p.tried = []string{route.Upstream}
			p.started()
		}
		if isRefused(err) || (out.started && ranOf(err) == NotRun) {
			n--
			continue
		}
		failed := FailedAttempt{
			Upstream:   route.Upstream,
			Ran:        ranOf(err),
			Resumable:  out.started,
			Progressed: progressed,
			Number:     n,
		}
		if !s.waitRetry(ctx, c, failed) {
			return giveUp(p, out, err)
		}
		s.metrics.Resumed.Add(boolCount(out.started))
		if errors.Is(err, errStalled) {
			p.tried = nil
			stall = s.nextStall(stall, progressed)
		}
	}
}

// nextStall doubles the patience after a silence without any event.
func (s *sender) nextStall(stall time.Duration, progressed bool) time.Duration {
	if progressed {
		return s.streamStall
	}
	return min(2*stall, maxStreamStall)
}

func boolCount(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// ranOf says whether a failed attempt ran.
func ranOf(err error) Ran {
	var ae *attemptError
	if errors.As(err, &ae) {
		return ae.ran
	}
	return RanUnknown
}

// waitRetry waits before a further attempt. It is false where the budget or the
// deadline allows none.
func (s *sender) waitRetry(ctx context.Context, c *Call, f FailedAttempt) bool {
	wait, ok := s.router.MayRetry(c, f)
	if !ok || !pause.For(ctx, wait) {
		return false
	}
	s.metrics.Retries.Add(1)
	return true
}

// runAttempt sends the call once and relays its answer.
func (s *sender) runAttempt(caller context.Context, c *Call, a attempt, out *relay, stall time.Duration) error {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	a.dog = watch(cancel)
	defer a.dog.rest()
	stopTimer := s.limitStart(cancel, c, out)
	resp, err := s.roundTrip(ctx, c, a)
	if err != nil {
		stopTimer()
		a.route.Done(resultOf(err))
		return err
	}
	defer resp.close()
	if !resumesAt(resp, a.resumeFrom) {
		err := errors.Mark(errors.Newf("upstream %s did not resume at token %d", a.route.Upstream, a.resumeFrom), errBroken)
		a.route.Done(AttemptInterrupted)
		return err
	}
	out.dog = a.dog
	err = s.relayAnswer(resp, out, stopTimer, stall)
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		err = &attemptError{ran: DidRun, err: errStalled}
	}
	a.route.Done(endOf(caller, err, out.tokens > a.resumeFrom))
	return err
}

// resumesAt says whether an answer begins at the token that was asked for. One
// that begins elsewhere would repeat or skip tokens.
func resumesAt(resp *answer, token int) bool {
	return token == 0 || resp.header.Get(headerResume) == strconv.Itoa(token)
}

// endOf is how an attempt ended whose answer had begun.
func endOf(caller context.Context, err error, progressed bool) AttemptResult {
	switch {
	case err == nil:
		return AttemptOK
	case caller.Err() != nil, errors.Is(err, errBroken):
		return AttemptCancelled
	case progressed:
		return AttemptInterrupted
	default:
		return AttemptFailed
	}
}

// limitStart cancels the attempt at the deadline unless the answer has started.
func (s *sender) limitStart(cancel context.CancelCauseFunc, c *Call, out *relay) func() {
	if out.started {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(c.Deadline), func() { cancel(context.DeadlineExceeded) })
	return func() { timer.Stop() }
}

func resultOf(err error) AttemptResult {
	var ae *attemptError
	switch {
	case errors.Is(err, context.Canceled):
		return AttemptCancelled
	case errors.As(err, &ae) && ae.refused:
		return AttemptRefused
	default:
		return AttemptFailed
	}
}

// relayAnswer sends a stream of events on as it comes, and any other answer
// once it is here whole.
func (s *sender) relayAnswer(resp *answer, out *relay, stopTimer func(), stall time.Duration) error {
	if strings.HasPrefix(resp.header.Get("Content-Type"), "text/event-stream") {
		stopTimer()
		out.dog.expect(stall)
		return out.events(resp)
	}
	if out.started {
		return &attemptError{ran: DidRun, err: errors.Newf("resumed stream answered with status %d", resp.status)}
	}
	head, err := io.ReadAll(io.LimitReader(resp.body, maxBufferedAnswer+1))
	stopTimer()
	if err != nil {
		return &attemptError{ran: DidRun, err: errors.Wrap(err, "read answer")}
	}
	if len(head) <= maxBufferedAnswer {
		return out.whole(resp, head)
	}
	return out.rest(resp, head)
}

// giveUp is the final answer to a call whose attempts all failed.
func giveUp(p *pursuit, out *relay, err error) error {
	if out.started {
		return errors.Mark(errors.Wrap(err, "stream"), errBroken)
	}
	return p.refusal(err)
}

func contentLength(body []byte) string { return strconv.Itoa(len(body)) }
