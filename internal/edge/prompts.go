package edge

import (
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
	// reasonQuarantined is why calls are refused whose prompts crash engines.
	reasonQuarantined = "prompt crashes engines"
	// quarantineRetryAfter is the Retry-After time of these refusals. A quarantine lasts for
	// minutes, and ends early only if it was wrong.
	quarantineRetryAfter = time.Minute
	// servedTTL is how long, at least, a part of a prompt is remembered as served.
	servedTTL = 5 * time.Second
	// aliveDelay is how long after a node learns of a doubt it looks for bytes of the engine.
	// What an engine sent before it crashed has arrived by half of that time.
	aliveDelay = 100 * time.Millisecond
	// maxUnreportedLosses bounds the losses that wait for a leader.
	maxUnreportedLosses = 64
	// soundEvents is the number of events after which a call has not crashed its engine: an
	// engine crashes when it begins to write the answer.
	soundEvents = 2
)

// promptEvidence is what this node knows of the prompts that crash engines and of those that
// do not. It is used on the loop only.
type promptEvidence struct {
	// losses are the lost calls of which the leader does not know yet.
	losses []quarantine.Loss
	// suspects are the parts that the leader asks about.
	suspects []quarantine.Trait
	// served and servedBefore hold when calls were last served with a part; servedBefore has
	// those from before rotatedAt.
	served, servedBefore map[quarantine.Trait]time.Duration
	rotatedAt            time.Duration
	// reported holds the times of served that the leader has received.
	reported map[quarantine.Trait]time.Duration
	// doubted holds the engines that the leader asks about, and since when.
	doubted map[fleet.Incarnation]time.Duration
}

func newPromptEvidence() promptEvidence {
	return promptEvidence{served: map[quarantine.Trait]time.Duration{}, reported: map[quarantine.Trait]time.Duration{}}
}

// recordLoss records a call that was lost with its engine.
func (p *promptEvidence) recordLoss(l quarantine.Loss) {
	p.losses = append(p.losses, l)
	p.losses = p.losses[max(0, len(p.losses)-maxUnreportedLosses):]
}

// recordServed records that a call with the given parts was served, and reports whether the
// leader asks about one of them.
func (p *promptEvidence) recordServed(service string, parts []string, now time.Duration) (asked bool) {
	if now-p.rotatedAt > servedTTL {
		p.served, p.servedBefore, p.rotatedAt = map[quarantine.Trait]time.Duration{}, p.served, now
	}
	for _, id := range parts {
		part := quarantine.Trait{Service: service, ID: id}
		p.served[part] = now
		asked = asked || slices.Contains(p.suspects, part)
	}
	return asked
}

// servedSuspects returns the suspects that were served lately and since the latest report, and
// when.
func (p *promptEvidence) servedSuspects(now time.Duration) map[quarantine.Trait]time.Duration {
	found := map[quarantine.Trait]time.Duration{}
	for _, part := range p.suspects {
		at, ok := p.served[part]
		if !ok {
			at, ok = p.servedBefore[part]
		}
		if ok && now-at <= 2*servedTTL && at > p.reported[part] {
			found[part] = at
		}
	}
	return found
}

// confirmReport records that the leader has received losses and served suspects.
func (p *promptEvidence) confirmReport(losses int, served map[quarantine.Trait]time.Duration) {
	p.losses = p.losses[min(losses, len(p.losses)):]
	for part, at := range served {
		p.reported[part] = at
	}
}

// aliveEngines returns the doubted engines that have sent bytes since the leader asked. It runs
// on the loop.
func (e *Edge) aliveEngines() []fleet.Incarnation {
	var alive []fleet.Incarnation
	for engine, since := range e.prompts.doubted {
		known, ok := e.upstreams[engine.ID]
		if ok && known.desc.Born == engine.Born && e.pool.LastRead(known.desc.Addr) > since+aliveDelay/2 {
			alive = append(alive, engine)
		}
	}
	return alive
}

// setDoubted sets the engines that the leader asks about.
func (p *promptEvidence) setDoubted(engines []fleet.Incarnation, now time.Duration) {
	before := p.doubted
	p.doubted = map[fleet.Incarnation]time.Duration{}
	for _, engine := range engines {
		since, ok := before[engine]
		if !ok {
			since = now
		}
		p.doubted[engine] = since
	}
}

// applyPromptState applies the leader's knowledge. It runs on the loop.
func (e *Edge) applyPromptState(s *nodelink.PromptState) {
	before := e.quarantine.Load()
	if before == nil || !quarantine.Equal(*before, s.InForce) {
		e.quarantine.Store(&s.InForce)
		e.log.Event("prompts in quarantine", eventlog.Fields{"signatures": s.InForce})
	}
	e.prompts.suspects = s.Suspects
	for part := range e.prompts.reported {
		if !slices.Contains(s.Suspects, part) {
			delete(e.prompts.reported, part)
		}
	}
	now := boottime.Now()
	e.prompts.setDoubted(s.Doubted, now)
	if len(e.prompts.servedSuspects(now)) > 0 {
		e.signalDemand()
	}
	if len(s.Doubted) > 0 {
		time.AfterFunc(aliveDelay, e.signalDemand)
	}
}

// quarantined reports whether the call is refused because its prompt crashes engines.
func (c *call) quarantined() bool {
	inForce := c.edge.quarantine.Load()
	return inForce != nil && len(c.caller.SharedParts) > 0 && slices.ContainsFunc(*inForce,
		func(s quarantine.Signature) bool { return s.Matches(c.dispatchCall.Service, c.caller.SharedParts) })
}

// reportPromptOutcome records what an attempt that has ended shows about the call's prompt.
func (c *call) reportPromptOutcome(u *fleet.Upstream, result dispatch.Result) {
	parts, service := c.caller.SharedParts, c.dispatchCall.Service
	// What this node ends itself shows nothing about the upstream.
	lost := result == dispatch.Lost && c.events == 0 && !c.movedOnStall.Load() && boottime.Now() < c.deadline
	served := result == dispatch.Served || c.events >= soundEvents
	if len(parts) == 0 || !lost && !served {
		return
	}
	c.edge.loop.Post(func() {
		if lost {
			engine := fleet.Incarnation{ID: u.ID, Born: u.Born}
			c.edge.prompts.recordLoss(quarantine.Loss{Engine: engine, Service: service, Traits: parts})
			c.edge.signalDemand()
		} else if c.edge.prompts.recordServed(service, parts, boottime.Now()) {
			c.edge.signalDemand()
		}
	})
}
