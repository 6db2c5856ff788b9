package edge

import (
	"context"
	"slices"
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/quarantine"
)

const (
	// reasonQuarantined is why calls are refused that crash upstreams.
	reasonQuarantined = "request crashes upstreams"
	// aliveDelay is how long after a node learns of a doubt it looks for bytes of the
	// upstream. What an upstream sent before it crashed has arrived by half of that time.
	aliveDelay = 100 * time.Millisecond
	// soundEvents is the number of events after which the parts of a call's prompt have not
	// crashed its engine: an engine crashes on them when it begins to write the answer.
	soundEvents = 2
	// minSilence is the least silence of an upstream at the end of an attempt that makes it suspect.
	minSilence = 400 * time.Millisecond
	// maxProbes and probePause are the number of connections that a silent upstream must not accept, and the
	// time between them; a lost packet must not count.
	maxProbes  = 3
	probePause = 300 * time.Millisecond
	// maxUnheard is how recently a node must have heard some upstream directly to judge others by their silence.
	maxUnheard = 2 * time.Second
	// trialTimeout bounds the wait for the leader's word on whether a call is sent on trial.
	trialTimeout = 300 * time.Millisecond
)

// quarantineList is what the leader last told of the calls to refuse. It is immutable.
type quarantineList struct {
	inForce, trials []quarantine.Signature
	// replaced is closed once there is a newer list.
	replaced chan struct{}
}

// match returns the signatures that a call matches.
func (l *quarantineList) match(service string, traits []string) []quarantine.Signature {
	var matches []quarantine.Signature
	for i := range l.inForce {
		if s := &l.inForce[i]; s.Matches(service, traits) {
			matches = append(matches, *s)
		}
	}
	return matches
}

// onTrial reports whether the leader lets some node send one call with the signature.
func (l *quarantineList) onTrial(s *quarantine.Signature) bool {
	return slices.ContainsFunc(l.trials, func(o quarantine.Signature) bool { return o.Key() == s.Key() })
}

// applyQuarantine applies the leader's knowledge. It runs on the loop.
func (e *Edge) applyQuarantine(s *nodelink.QuarantineState) {
	before := e.quarantine.Load()
	if before == nil || !quarantine.Equal(before.inForce, s.InForce) || !quarantine.Equal(before.trials, s.Trials) {
		e.quarantine.Store(&quarantineList{inForce: s.InForce, trials: s.Trials, replaced: make(chan struct{})})
		e.log.Event("calls in quarantine", eventlog.Fields{"signatures": s.InForce, "trials": s.Trials})
		if before != nil {
			close(before.replaced)
		}
	}
	now := boottime.Now()
	e.crashEvidence.SetAsked(s.Suspects, s.Doubted, now)
	if len(e.crashEvidence.ServedSuspects(now)) > 0 {
		e.signalDemand()
	}
	if len(s.Doubted) > 0 {
		time.AfterFunc(aliveDelay, e.signalDemand)
	}
}

// aliveUpstreams returns the doubted upstreams that have sent bytes since the leader asked. It
// runs on the loop.
func (e *Edge) aliveUpstreams() []fleet.Incarnation {
	var alive []fleet.Incarnation
	for u, since := range e.crashEvidence.Doubted() {
		known, ok := e.upstreams[u.ID]
		if ok && known.desc.Born == u.Born && e.pool.LastRead(known.desc.Addr) > since+aliveDelay/2 {
			alive = append(alive, u)
		}
	}
	return alive
}

// traits returns what the call has in common with others that could crash an upstream.
func (c *call) traits() []string {
	traits := []string{quarantine.RequestID(c.fingerprint)}
	for _, part := range c.caller.SharedParts {
		if !quarantine.IsRequest(part) {
			traits = append(traits, part)
		}
	}
	return traits
}

// quarantined returns the signature because of which the call is refused; nil if it is not.
// onTrial is set if the call may ask to be sent on trial nevertheless.
func (c *call) quarantined() (s *quarantine.Signature, onTrial bool) {
	list := c.edge.quarantine.Load()
	if list == nil || len(list.inForce) == 0 {
		return nil, false
	}
	matches := list.match(c.dispatchCall.Service, c.traits())
	if len(matches) == 0 {
		return nil, false
	}
	return &matches[0], len(matches) == 1 && list.onTrial(&matches[0])
}

// quarantineReplaced returns a channel that is closed once there is another list of the calls
// to refuse.
func (c *call) quarantineReplaced() <-chan struct{} {
	if list := c.edge.quarantine.Load(); list != nil {
		return list.replaced
	}
	return nil
}

// refuseIfQuarantined refuses the call if it is in quarantine and not on trial, and reports
// whether it did.
func (c *call) refuseIfQuarantined() bool {
	s, onTrial := c.quarantined()
	if s == nil || onTrial {
		return false
	}
	c.giveUp(reasonQuarantined, s.RetryAfter())
	return true
}

// trialWaiter is a call that waits for the leader's word on a trial.
type trialWaiter struct {
	signature quarantine.Signature
	granted   chan bool
}

// mayStart reports whether the call, for which there is an upstream now, may be sent: it is not in
// quarantine, or the leader grants this node the trial.
func (c *call) mayStart() (allowed bool, s *quarantine.Signature) {
	s, onTrial := c.quarantined()
	if s == nil || !onTrial {
		return s == nil, s
	}
	w := trialWaiter{signature: *s, granted: make(chan bool, 1)}
	c.edge.loop.Post(func() {
		c.edge.trialWaiters = append(c.edge.trialWaiters, w)
		c.edge.signalDemand()
	})
	timer := time.NewTimer(trialTimeout)
	defer timer.Stop()
	select {
	case allowed = <-w.granted:
	case <-timer.C:
	case <-c.r.Context().Done():
	}
	if allowed {
		c.log("sent on trial", eventlog.Fields{"traits": s.Traits, "trial": s.Trials})
	}
	return allowed, s
}

// wantedTrials returns the signatures that the waiters want a trial of, each once.
func wantedTrials(waiters []trialWaiter) []quarantine.Signature {
	var wanted []quarantine.Signature
	for _, w := range waiters {
		if !slices.ContainsFunc(wanted, func(s quarantine.Signature) bool { return s.Key() == w.signature.Key() }) {
			wanted = append(wanted, w.signature)
		}
	}
	return wanted
}

// answerTrials gives each granted trial to the first of the waiters that want it, and turns the
// others away.
func answerTrials(waiters []trialWaiter, granted []quarantine.Signature) {
	granted = slices.Clone(granted)
	for _, w := range waiters {
		i := slices.IndexFunc(granted, func(s quarantine.Signature) bool { return s.Key() == w.signature.Key() })
		if i >= 0 {
			granted = slices.Delete(granted, i, i+1)
		}
		w.granted <- i >= 0
	}
}

// reportCrashEvidence records what an attempt that has ended shows about the call: whether it may
// have crashed its upstream.
func (c *call) reportCrashEvidence(u *fleet.Upstream, result dispatch.Result) {
	traits, service := c.traits(), c.dispatchCall.Service
	now := boottime.Now()
	// What this node ends itself shows nothing yet about the upstream.
	endedHere := result == dispatch.Abandoned || c.movedOnStall.Load() || now >= c.deadline || c.edge.ending.Err() != nil
	lost := result == dispatch.Lost && !endedHere
	served := result == dispatch.Served
	request, parts := traits[:1], traits[1:]
	if c.events >= soundEvents && !served {
		c.edge.loop.Post(func() { c.edge.noteServed(service, parts) })
	}
	if !served && c.events > 0 {
		traits = request
	}
	loss := quarantine.Loss{Engine: fleet.Incarnation{ID: u.ID, Born: u.Born}, Service: service, Traits: traits}
	switch {
	case served:
		c.edge.loop.Post(func() { c.edge.noteServed(service, traits) })
	case lost:
		c.edge.loop.Post(func() { c.edge.recordLosses([]quarantine.Loss{loss}) })
	case endedHere && (result == dispatch.Lost || result == dispatch.Abandoned):
		c.suspect(u, loss, now)
	}
}

// suspect records that the call may have been lost with its upstream, if that was silent when this node ended the
// attempt. A node that was suspended may have bytes that it has not read.
func (c *call) suspect(u *fleet.Upstream, loss quarantine.Loss, now time.Duration) {
	silentSince := max(c.sentAt, c.edge.pool.LastRead(u.Addr))
	if c.sentAt == 0 || now-silentSince < minSilence || now-c.deadline > maxCheckDelay {
		return
	}
	c.log("upstream silent at the end of an attempt", eventlog.Fields{"upstream": u.ID, "silentMillis": (now - silentSince).Milliseconds()})
	c.edge.loop.Post(func() { c.edge.suspicions.Add(loss, u.Addr, silentSince) })
}

// recordLosses records calls that were lost with their upstreams. It runs on the loop.
func (e *Edge) recordLosses(losses []quarantine.Loss) {
	for _, l := range losses {
		e.crashEvidence.RecordLoss(l)
	}
	if len(losses) > 0 {
		e.signalDemand()
	}
}

// reviewSuspicions begins to probe the upstreams that have been silent for long. It runs on the loop.
func (e *Edge) reviewSuspicions(now time.Duration) {
	for _, u := range e.suspicions.Review(e.pool.LastRead, now) {
		go e.probeSilent(u)
	}
}

// probeSilent finds out whether a silent upstream accepts connections. If not, it has ended, unless this node is cut
// off itself: then it hears no other upstream directly.
func (e *Edge) probeSilent(u quarantine.SilentUpstream) {
	for i := range maxProbes {
		if i > 0 {
			time.Sleep(probePause)
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		conn, err := e.dial(ctx, u.Addr)
		cancel()
		if err == nil {
			conn.Close()
			e.log.Event("silent upstream accepts connections", eventlog.Fields{"upstream": u.Incarnation.ID})
			return
		}
	}
	e.loop.Post(func() {
		now := boottime.Now()
		heard := e.pool.LastDirectRead()
		if heard < u.Since+minSilence || now-heard > maxUnheard {
			return
		}
		losses := e.suspicions.Ended(u.Incarnation, e.pool.LastRead, now)
		e.log.Event("silent upstream accepts no connection", eventlog.Fields{"upstream": u.Incarnation.ID, "lostCalls": len(losses)})
		e.recordLosses(losses)
	})
}

// noteEnded records the calls that were lost with an upstream that the leader lists as ended. It runs on the loop.
func (e *Edge) noteEnded(u *fleet.Upstream) {
	known, ok := e.upstreams[u.ID]
	if ok && (known.desc.Leaving || known.saidLeaving) {
		return // it ended as announced
	}
	e.recordLosses(e.suspicions.Ended(fleet.Incarnation{ID: u.ID, Born: u.Born}, e.pool.LastRead, boottime.Now()))
}

// noteServed records that a call with the given traits was served. It runs on the loop.
func (e *Edge) noteServed(service string, traits []string) {
	if e.crashEvidence.RecordServed(service, traits, boottime.Now()) {
		e.signalDemand()
	}
}
