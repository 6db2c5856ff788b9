package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/ledger"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Limits of calls that may run at most once.
const (
	// maxRecordedAnswerBytes is the maximum size of an answer body that the ledger
	// stores. A larger answer is recorded without its body.
	maxRecordedAnswerBytes = 32 << 10
	// claimPollInterval is the wait between two checks of a claim that another call
	// holds.
	claimPollInterval = 50 * time.Millisecond
	// claimBackoff is the wait before a request to the ledger is repeated after an
	// error.
	claimBackoff = 100 * time.Millisecond
	// runOnceTimeout bounds a sent call, which continues after its caller has gone.
	runOnceTimeout = 10 * time.Minute
	// recordTimeout is how long a graceful shutdown waits until an outcome is recorded.
	// It also bounds each try to record one. Tries continue in the background until the
	// gateway is closed.
	recordTimeout = 30 * time.Second
)

// runOnceOutcome is the outcome of a call that may run at most once.
type runOnceOutcome struct {
	state  ledger.State
	answer *ledger.Answer
	// resp is set if the answer is too large to be recorded. Its body is still open,
	// and head is the part of the body that was already read.
	resp *answer
	head []byte
	// ofTokens is set if the answer is an engine's stream.
	ofTokens bool
	err      error
}

// runOnce claims the call, waits for its admission and sends it at most once. A call
// without an idempotency key needs no claim, because its caller cannot repeat it.
func (g *Gateway) runOnce(w http.ResponseWriter, r *http.Request, c *Call) error {
	claim := ledger.Claim{
		Key:         ledger.Key{Customer: c.Customer(), Idempotency: c.IdempotencyKey},
		Fingerprint: c.Fingerprint(),
		Owner:       g.claims.Owner(),
		Attempt:     uuid.NewString(),
	}
	if c.IdempotencyKey != "" {
		replayed, err := g.claimCall(r.Context(), w, c, claim)
		if replayed || err != nil {
			return err
		}
	}
	ticket, err := g.admit(r.Context(), c)
	if err != nil {
		g.inBackground(func() { g.recordOutcome(c, claim, runOnceOutcome{state: ledger.NotRun}) })
		return err
	}
	return g.sendClaimed(w, c, claim, ticket)
}

// fingerprint returns a digest of the method, target, path, query, content type and
// body of the call. It tells a repeat of a call from another call with the same
// idempotency key.
func fingerprint(c *Call) string {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Service, c.Model.Name, c.Adapter, c.Path, c.Query, c.Header.Get("Content-Type")} {
		// Write of a hash.Hash never returns an error.
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// claimCall obtains the right to send the call. It returns true if it sent the recorded
// answer of an earlier call instead. While another call with the same key is in
// progress it waits, at most until the deadline.
func (g *Gateway) claimCall(ctx context.Context, w http.ResponseWriter, c *Call, claim ledger.Claim) (bool, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	for {
		res, err := g.claims.Claim(ctx, claim)
		if err != nil {
			if !pause.For(ctx, claimBackoff) {
				g.inBackground(func() { g.withdrawClaim(claim) })
				return false, refuse(ReasonClaimUnavailable, "the call could not be claimed; this submission was not run, an earlier one may have").withRan(RanUnknown).withDefaultRetryAfter()
			}
			continue
		}
		switch res.Verdict {
		case ledger.Granted:
			return false, nil
		case ledger.InProgress:
			if !pause.For(ctx, claimPollInterval) {
				return false, refuse(ReasonInProgress, "the call with this idempotency key is still in progress").withRan(RanUnknown).withDefaultRetryAfter()
			}
		case ledger.Settled:
			return g.replay(w, res.Record)
		case ledger.Mismatch:
			return false, refuse(ReasonKeyReused, "the idempotency key was used for another call")
		default:
			return false, refuse(ReasonKeyExpired, "the idempotency key was used and its outcome is no longer held").withRan(RanUnknown)
		}
	}
}

// inBackground runs work in a goroutine. Running counts it, so that a graceful shutdown
// waits for it.
func (g *Gateway) inBackground(work func()) {
	g.running.Add(1)
	go func() {
		defer g.running.Add(-1)
		work()
	}()
}

// withdrawClaim releases a claim of which it is unknown whether it was recorded. It
// repeats the claim with the same attempt ID until the ledger answers, and settles it
// as not run if it was granted.
func (g *Gateway) withdrawClaim(claim ledger.Claim) {
	g.retryUntilDone(func(ctx context.Context) bool {
		res, err := g.claims.Claim(ctx, claim)
		if err != nil {
			return false
		}
		return res.Verdict != ledger.Granted ||
			g.claims.Finish(ctx, ledger.Finish{Key: claim.Key, Attempt: claim.Attempt, State: ledger.NotRun}) == nil
	})
}

// retryUntilDone calls try until it succeeds or the gateway is closed. It returns after
// recordTimeout at the latest, while the tries continue in the background.
func (g *Gateway) retryUntilDone(try func(ctx context.Context) bool) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !g.tryOnce(try) && pause.For(g.closeCtx, claimBackoff) {
		}
	}()
	timer := time.NewTimer(g.recordTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// tryOnce calls try with a context that ends after recordTimeout or when the gateway is
// closed.
func (g *Gateway) tryOnce(try func(ctx context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(g.closeCtx, g.recordTimeout)
	defer cancel()
	return try(ctx)
}

// replay sends the recorded answer of an earlier call. It returns a refusal if the
// outcome is unknown or the answer is no longer stored.
func (g *Gateway) replay(w http.ResponseWriter, rec ledger.Record) (bool, error) {
	if rec.State != ledger.Ran {
		return false, refuse(ReasonOutcomeUnknown, "the call with this idempotency key may have run; its outcome is lost").withRan(RanUnknown)
	}
	if rec.Answer == nil || rec.Answer.BodyDropped {
		return false, refuse(ReasonAnswerNotHeld, "the call with this idempotency key ran; its answer is no longer held").withRan(DidRun)
	}
	g.metrics.Replayed.Add(1)
	w.Header().Set(headerReplayed, "true")
	return true, writeAnswer(w, rec.Answer)
}

// writeAnswer sends an answer in the form that the ledger records.
func writeAnswer(w http.ResponseWriter, a *ledger.Answer) error {
	header := http.Header{}
	for _, f := range a.Header {
		header.Add(f.Name, f.Value)
	}
	return newRelay(w, true).sendWhole(&answer{status: a.Status, header: header}, a.Body)
}

// sendClaimed sends a claimed call. Sending continues after the caller has gone or its
// deadline has passed, so that the outcome is recorded. The caller gets the outcome
// once it is recorded, or at the deadline if it is known by then. Otherwise the caller
// gets a refusal with RanUnknown.
func (g *Gateway) sendClaimed(w http.ResponseWriter, c *Call, claim ledger.Claim, ticket Ticket) error {
	ctx, cancel := context.WithTimeout(context.Background(), runOnceTimeout)
	outcomes := make(chan runOnceOutcome, 1)
	recorded := make(chan struct{})
	g.inBackground(func() {
		defer ticket.Release()
		outcome := g.sender.runOnce(ctx, c)
		outcomes <- outcome
		g.recordOutcome(c, claim, outcome)
		close(recorded)
	})
	timer := time.NewTimer(time.Until(c.Deadline))
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
	select {
	case outcome := <-outcomes:
		defer cancel()
		return g.sendOutcome(w, outcome)
	default:
		go discardLateAnswer(outcomes, cancel)
		return refuse(ReasonDeadline, "the call was sent and has not been answered in time").withRan(RanUnknown).withDefaultRetryAfter()
	}
}

// discardLateAnswer closes an answer that arrives after its caller was refused.
func discardLateAnswer(outcomes <-chan runOnceOutcome, cancel context.CancelFunc) {
	defer cancel()
	if outcome := <-outcomes; outcome.resp != nil {
		outcome.resp.close()
	}
}

// sendOutcome sends the answer to the caller, or returns the refusal of a call without
// an answer.
func (g *Gateway) sendOutcome(w http.ResponseWriter, outcome runOnceOutcome) error {
	switch {
	case outcome.resp != nil:
		defer outcome.resp.close()
		if outcome.ofTokens {
			return sendTokens(w, outcome)
		}
		return newRelay(w, true).sendAndStream(outcome.resp, outcome.head)
	case outcome.state == ledger.Ran:
		return writeAnswer(w, outcome.answer)
	case outcome.state == ledger.NotRun:
		return refusalFromError(outcome.err, NotRun)
	default:
		return refusalFromError(outcome.err, RanUnknown)
	}
}

// isTokenStream reports whether an answer is a stream of an engine, which ends with the end marker.
func isTokenStream(c *Call, resp *answer) bool {
	return c.Service == "" && resp.status == http.StatusOK && strings.HasPrefix(resp.header.Get("Content-Type"), "text/event-stream")
}

// sendTokens sends a large stream to the caller. The connection is closed if it is not whole.
func sendTokens(w http.ResponseWriter, outcome runOnceOutcome) error {
	whole := *outcome.resp
	whole.body = io.NopCloser(io.MultiReader(bytes.NewReader(outcome.head), outcome.resp.body))
	if err := newRelay(w, true).relayStream(&whole); err != nil {
		return errors.Mark(errors.Wrap(err, "relay stream"), errAnswerAborted)
	}
	return nil
}

// refusalFromError returns the *Refusal that err wraps, or else a new one with the
// reason ReasonUpstreamFailed.
func refusalFromError(err error, ran Ran) error {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	r := refuse(ReasonUpstreamFailed, "%v", err).withRan(ran)
	if ran == NotRun {
		return r.withDefaultRetryAfter()
	}
	return r
}

// recordOutcome records the outcome before the caller gets it. If the control group
// does not answer, it continues in the background: a claim left pending would block
// every repeat of the call as long as this process runs.
func (g *Gateway) recordOutcome(c *Call, claim ledger.Claim, outcome runOnceOutcome) {
	if c.IdempotencyKey == "" {
		return
	}
	f := ledger.Finish{Key: claim.Key, Attempt: claim.Attempt, State: outcome.state, Answer: outcome.answer}
	g.retryUntilDone(func(ctx context.Context) bool {
		err := g.claims.Finish(ctx, f)
		if err != nil {
			g.log.WithError(err).WithField("request", c.ID).Warn("recording the outcome of a call failed, will retry")
		}
		return err == nil
	})
}

// runOnce sends the call to one upstream after another until one of them may have run
// it.
func (s *sender) runOnce(ctx context.Context, c *Call) runOnceOutcome {
	search := s.newUpstreamSearch(c)
	for attemptNumber := 1; ; attemptNumber++ {
		route, err := search.nextRoute(ctx)
		if err != nil {
			return runOnceOutcome{state: ledger.NotRun, err: search.finalRefusal(err)}
		}
		outcome := s.attemptOnce(ctx, c, newAttempt(route))
		if outcome.state != ledger.NotRun {
			return outcome
		}
		search.recordFailure(route.Upstream, outcome.err)
		if refusedByUpstream(outcome.err) {
			attemptNumber--
			continue
		}
		if !s.waitBeforeRetry(ctx, c, FailedAttempt{Upstream: route.Upstream, Ran: NotRun, Number: attemptNumber}) {
			return outcome
		}
	}
}

// attemptOnce sends the call in one attempt, reads the answer and reports the result to
// the router.
func (s *sender) attemptOnce(ctx context.Context, c *Call, a attempt) runOnceOutcome {
	resp, err := s.roundTrip(ctx, c, a)
	if err != nil {
		a.route.reportLoss(err)
		a.route.Done(resultOfSendError(err))
		return failedOutcome(err)
	}
	outcome := readOutcome(resp)
	if outcome.state == ledger.Ran && isTokenStream(c, resp) {
		outcome.ofTokens = true
		if outcome.resp == nil {
			if err := checkTokens(outcome.answer.Body); err != nil {
				s.noteForeign(c, a, err)
				// The caller must not get what the error quotes of the stream.
				outcome = runOnceOutcome{state: ledger.Unknown, err: errors.New("stream is not whole")}
			}
		}
	}
	if outcome.state == ledger.Ran {
		a.route.Done(AttemptOK)
	} else {
		a.route.reportLoss(outcome.err)
		a.route.Done(AttemptFailed)
	}
	return outcome
}

// failedOutcome returns the outcome of an attempt that failed with err before its
// answer began: not run if that is proved, otherwise unknown.
func failedOutcome(err error) runOnceOutcome {
	outcome := runOnceOutcome{state: ledger.Unknown, err: err}
	var ae *attemptError
	if errors.As(err, &ae) && ae.ran == NotRun {
		outcome.state = ledger.NotRun
	}
	return outcome
}

// readOutcome reads the answer and prepares its record. If the body is larger than
// maxRecordedAnswerBytes, the record has no body and the answer stays open for the
// caller.
func readOutcome(resp *answer) runOnceOutcome {
	head, err := io.ReadAll(io.LimitReader(resp.body, maxRecordedAnswerBytes+1))
	if err != nil {
		resp.close()
		return runOnceOutcome{state: ledger.Unknown, err: errors.Wrap(err, "read answer")}
	}
	rec := &ledger.Answer{Status: resp.status}
	header := http.Header{}
	copyAnswerHeader(header, resp.header)
	for _, name := range sortedHeaderNames(header) {
		for _, v := range header[name] {
			rec.Header = append(rec.Header, ledger.HeaderField{Name: name, Value: v})
		}
	}
	outcome := runOnceOutcome{state: ledger.Ran, answer: rec}
	if len(head) > maxRecordedAnswerBytes {
		rec.BodyDropped = true
		outcome.resp = resp
		outcome.head = head
		return outcome
	}
	resp.close()
	rec.Body = head
	return outcome
}
