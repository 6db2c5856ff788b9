package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/ledger"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Bounds of a call that may run at most once.
const (
	// maxRecordedAnswer bounds an answer body that the ledger keeps, in bytes.
	maxRecordedAnswer = 32 << 10
	// claimPoll is the wait between looks at a claim that another holds.
	claimPoll = 50 * time.Millisecond
	// claimBackoff is the wait after a claim whose answer was lost.
	claimBackoff = 100 * time.Millisecond
	// runOnceLimit bounds a sent call whose caller may be gone.
	runOnceLimit = 10 * time.Minute
	// settleLimit is how long a planned stop waits for the recording of an
	// outcome. The recording itself goes on while the process lives.
	settleLimit = 30 * time.Second
)

// onceOutcome is how a sent call ended.
type onceOutcome struct {
	state  ledger.State
	answer *ledger.Answer
	// resp is set where the answer is too large to be recorded; head is what was
	// read of it.
	resp *answer
	head []byte
	err  error
}

// runOnce claims the call, has it admitted and sends it at most once. A call
// without a key cannot be repeated by its caller and needs no claim.
func (g *Gateway) runOnce(w http.ResponseWriter, r *http.Request, c *Call) error {
	claim := ledger.Claim{
		Key:         ledger.Key{Customer: c.Customer(), Idempotency: c.Key},
		Fingerprint: fingerprint(c),
		Owner:       g.claims.Owner(),
		Attempt:     uuid.NewString(),
	}
	if c.Key != "" {
		replayed, err := g.claim(r.Context(), w, c, claim)
		if replayed || err != nil {
			return err
		}
	}
	ticket, err := g.admit(r.Context(), c)
	if err != nil {
		g.inBackground(func() { g.settle(c, claim, onceOutcome{state: ledger.NotRun}) })
		return err
	}
	return g.sendOnce(w, c, claim, ticket)
}

// fingerprint digests everything of a call that its upstream sees.
func fingerprint(c *Call) string {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Service, c.Model.Name, c.Adapter, c.Path, c.Query, c.Header.Get("Content-Type")} {
		// A hash's Write never fails.
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// claim obtains the right to send the call. It is true where the recorded
// answer of an earlier call was sent instead.
func (g *Gateway) claim(ctx context.Context, w http.ResponseWriter, c *Call, claim ledger.Claim) (bool, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	for {
		res, err := g.claims.Claim(ctx, claim)
		if err != nil {
			if !pause.For(ctx, claimBackoff) {
				g.inBackground(func() { g.withdraw(claim) })
				return false, refuse(ReasonClaim, "the call could not be claimed; this submission was not run, an earlier one may have").withRan(RanUnknown).afterMoment()
			}
			continue
		}
		switch res.Verdict {
		case ledger.Granted:
			return false, nil
		case ledger.InProgress:
			if !pause.For(ctx, claimPoll) {
				return false, refuse(ReasonInProgress, "the call with this idempotency key is still in progress").withRan(RanUnknown).afterMoment()
			}
		case ledger.Settled:
			return g.replay(w, res.Record)
		case ledger.Mismatch:
			return false, refuse(ReasonKeyReused, "the idempotency key was used for another call")
		default:
			return false, refuse(ReasonKeyForgotten, "the idempotency key was used and its outcome is no longer held").withRan(RanUnknown)
		}
	}
}

// inBackground runs work that a planned stop waits for.
func (g *Gateway) inBackground(work func()) {
	g.running.Add(1)
	go func() {
		defer g.running.Add(-1)
		work()
	}()
}

// withdraw settles a claim that may or may not have been made. It claims again
// with the same attempt until it knows, then gives the claim back.
func (g *Gateway) withdraw(claim ledger.Claim) {
	g.persist(func(ctx context.Context) bool {
		res, err := g.claims.Claim(ctx, claim)
		if err != nil {
			return false
		}
		return res.Verdict != ledger.Granted ||
			g.claims.Finish(ctx, ledger.Finish{Key: claim.Key, Attempt: claim.Attempt, State: ledger.NotRun}) == nil
	})
}

// persist tries until it succeeds or the gateway is closed. It returns after
// settleLimit at the latest; then the trying goes on in the background.
func (g *Gateway) persist(try func(ctx context.Context) bool) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !g.tryOnce(try) && pause.For(g.life, claimBackoff) {
		}
	}()
	timer := time.NewTimer(g.settleLimit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (g *Gateway) tryOnce(try func(ctx context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(g.life, g.settleLimit)
	defer cancel()
	return try(ctx)
}

// replay answers a repeat from the record of the first call.
func (g *Gateway) replay(w http.ResponseWriter, rec ledger.Record) (bool, error) {
	if rec.State != ledger.Ran {
		return false, refuse(ReasonOutcomeUnknown, "the call with this idempotency key may have run; its outcome is lost").withRan(RanUnknown)
	}
	if rec.Answer == nil || rec.Answer.BodyDropped {
		return false, refuse(ReasonAnswerDropped, "the call with this idempotency key ran; its answer is no longer held").withRan(DidRun)
	}
	g.metrics.Replayed.Add(1)
	w.Header().Set(headerReplayed, "true")
	return true, writeAnswer(w, rec.Answer)
}

func writeAnswer(w http.ResponseWriter, a *ledger.Answer) error {
	header := http.Header{}
	for _, f := range a.Header {
		header.Add(f.Name, f.Value)
	}
	return newRelay(w).whole(&answer{status: a.Status, header: header}, a.Body)
}

// sendOnce sends a claimed call. The sending goes on when the caller is gone or
// its deadline passes, so that the outcome is recorded. The caller hears the
// outcome once it is recorded, or at the deadline.
func (g *Gateway) sendOnce(w http.ResponseWriter, c *Call, claim ledger.Claim, ticket Ticket) error {
	ctx, cancel := context.WithTimeout(context.Background(), runOnceLimit)
	known := make(chan onceOutcome, 1)
	settled := make(chan struct{})
	g.inBackground(func() {
		defer ticket.Release()
		out := g.sender.runOnce(ctx, c)
		known <- out
		g.settle(c, claim, out)
		close(settled)
	})
	timer := time.NewTimer(time.Until(c.Deadline))
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	}
	select {
	case out := <-known:
		defer cancel()
		return g.answerOnce(w, out)
	default:
		go dropLate(known, cancel)
		return refuse(ReasonDeadline, "the call was sent and has not been answered in time").withRan(RanUnknown).afterMoment()
	}
}

// dropLate ends an answer that nobody waits for any more.
func dropLate(known <-chan onceOutcome, cancel context.CancelFunc) {
	defer cancel()
	if out := <-known; out.resp != nil {
		out.resp.close()
	}
}

func (g *Gateway) answerOnce(w http.ResponseWriter, out onceOutcome) error {
	switch {
	case out.resp != nil:
		defer out.resp.close()
		return newRelay(w).rest(out.resp, out.head)
	case out.state == ledger.Ran:
		return writeAnswer(w, out.answer)
	case out.state == ledger.NotRun:
		return refusalOf(out.err, NotRun)
	default:
		return refusalOf(out.err, RanUnknown)
	}
}

func refusalOf(err error, ran Ran) error {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	r := refuse(ReasonUpstreamFailed, "%v", err).withRan(ran)
	if ran == NotRun {
		return r.afterMoment()
	}
	return r
}

// settle records the outcome before the caller hears it. Without an answer of
// the control group it goes on trying in the background, because a claim left
// pending would hold up every repeat of the call while this process lives.
func (g *Gateway) settle(c *Call, claim ledger.Claim, out onceOutcome) {
	if c.Key == "" {
		return
	}
	f := ledger.Finish{Key: claim.Key, Attempt: claim.Attempt, State: out.state, Answer: out.answer}
	g.persist(func(ctx context.Context) bool {
		err := g.claims.Finish(ctx, f)
		if err != nil {
			g.log.WithError(err).WithField("request", c.ID).Warn("outcome is not recorded yet")
		}
		return err == nil
	})
}

// runOnce sends the call to one upstream after another until one may have run
// it.
func (s *sender) runOnce(ctx context.Context, c *Call) onceOutcome {
	p := s.pursue(c)
	for n := 1; ; n++ {
		route, err := p.next(ctx)
		if err != nil {
			return onceOutcome{state: ledger.NotRun, err: p.refusal(err)}
		}
		out := s.sendOnce(ctx, c, newAttempt(route))
		if out.state != ledger.NotRun {
			return out
		}
		p.failed(route.Upstream, out.err)
		if isRefused(out.err) {
			n--
			continue
		}
		if !s.waitRetry(ctx, c, FailedAttempt{Upstream: route.Upstream, Ran: NotRun, Number: n}) {
			return out
		}
	}
}

func (s *sender) sendOnce(ctx context.Context, c *Call, a attempt) onceOutcome {
	resp, err := s.roundTrip(ctx, c, a)
	if err != nil {
		a.route.Done(resultOf(err))
		return failedOnce(err)
	}
	out := readOnce(resp)
	if out.state == ledger.Ran {
		a.route.Done(AttemptOK)
	} else {
		a.route.Done(AttemptFailed)
	}
	return out
}

func failedOnce(err error) onceOutcome {
	out := onceOutcome{state: ledger.Unknown, err: err}
	var ae *attemptError
	if errors.As(err, &ae) && ae.ran == NotRun {
		out.state = ledger.NotRun
	}
	return out
}

// readOnce reads an answer to record it. A larger one is recorded without its
// body.
func readOnce(resp *answer) onceOutcome {
	head, err := io.ReadAll(io.LimitReader(resp.body, maxRecordedAnswer+1))
	if err != nil {
		resp.close()
		return onceOutcome{state: ledger.Unknown, err: errors.Wrap(err, "read answer")}
	}
	rec := &ledger.Answer{Status: resp.status}
	header := http.Header{}
	copyAnswerHeader(header, resp.header)
	for _, name := range sortedNames(header) {
		for _, v := range header[name] {
			rec.Header = append(rec.Header, ledger.HeaderField{Name: name, Value: v})
		}
	}
	out := onceOutcome{state: ledger.Ran, answer: rec}
	if len(head) > maxRecordedAnswer {
		rec.BodyDropped = true
		out.resp = resp
		out.head = head
		return out
	}
	resp.close()
	rec.Body = head
	return out
}
