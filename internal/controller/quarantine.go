package controller

import (
	"context"
	"slices"
	"time"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/quarantine"
)

const (
	// quarantineTimeout bounds the proposal of a changed quarantine or of changed evidence.
	quarantineTimeout = 2 * time.Second
	// evidenceInterval is the least time between two proposals of changed evidence, so that
	// one crash with many calls causes a few.
	evidenceInterval = 250 * time.Millisecond
)

// quarantineWatch is the leader's knowledge of calls that crash upstreams. It is accessed only
// on the controller's loop, and begins anew in each term, with the evidence of the term before.
type quarantineWatch struct {
	detector *quarantine.Detector
	// published is the state for the entry nodes.
	published nodelink.QuarantineState
	// wanted is a decided quarantine that is not in force yet, if undecided is not set.
	wanted    []quarantine.Signature
	undecided bool
	// proposing is set while a changed quarantine is being proposed, and proposingEvidence
	// while changed evidence is. evidenceAt is when the next evidence may be proposed.
	proposing, proposingEvidence bool
	evidenceAt                   time.Duration
}

func newQuarantineWatch(evidence []quarantine.Evidence, now time.Duration) quarantineWatch {
	return quarantineWatch{detector: quarantine.New(evidence, now), undecided: true}
}

// recordCrashEvidence passes an entry node's evidence to the detector.
func (c *Controller) recordCrashEvidence(from string, r *nodelink.DemandRequest, now time.Duration) {
	inForce := c.stateMachine.quarantine()
	for _, l := range r.Losses {
		c.quarantine.detector.Lost(l, inForce, now)
		c.log.Event("call lost with its upstream", eventlog.Fields{
			"upstream": l.Engine.ID, "born": l.Engine.Born, "service": l.Service, "traits": l.Traits, "toldBy": from,
		})
	}
	c.quarantine.detector.Served(r.Served, now)
	c.quarantine.detector.Alive(r.Alive)
}

// grantTrials returns the signatures of which the entry node may send one call.
func (c *Controller) grantTrials(from string, wanted []quarantine.Signature, now time.Duration) []quarantine.Signature {
	var granted []quarantine.Signature
	for _, s := range wanted {
		if !c.quarantine.detector.TakeTrial(s, c.stateMachine.quarantine(), now) {
			continue
		}
		c.metrics.Count("trial granted")
		c.log.Event("trial granted", eventlog.Fields{"service": s.Service, "traits": s.Traits, "trial": s.Trials, "node": from})
		granted = append(granted, s)
	}
	return granted
}

// reviewQuarantine proposes a changed quarantine if the evidence demands one, and publishes what
// the entry nodes need to know.
func (c *Controller) reviewQuarantine(ctx context.Context, now time.Duration) {
	p := &c.quarantine
	inForce := c.stateMachine.quarantine()
	if p.undecided {
		p.wanted = p.detector.Decide(inForce, now)
		p.undecided = false
	}
	switch {
	case quarantine.Equal(p.wanted, inForce):
		p.undecided = true
	case !p.proposing:
		c.proposeQuarantine(ctx, inForce, p.wanted)
	}
	c.keepEvidence(ctx, now)
	next := nodelink.QuarantineState{
		InForce: inForce, Trials: p.detector.OpenTrials(inForce),
		Suspects: p.detector.Suspects(inForce), Doubted: p.detector.Doubted(),
	}
	if p.published.Revision > 0 && sameQuarantine(&next, &p.published) {
		return
	}
	next.Revision = p.published.Revision + 1
	p.published = next
	c.notifier.notify()
}

// sameQuarantine reports whether two states are equal but for their revisions.
func sameQuarantine(a, b *nodelink.QuarantineState) bool {
	return quarantine.Equal(a.InForce, b.InForce) && quarantine.Equal(a.Trials, b.Trials) &&
		slices.Equal(a.Suspects, b.Suspects) && slices.Equal(a.Doubted, b.Doubted)
}

// proposeQuarantine proposes the signatures that shall be in quarantine.
func (c *Controller) proposeQuarantine(ctx context.Context, before, after []quarantine.Signature) {
	c.quarantine.proposing = true
	c.metrics.Count("quarantine changed")
	c.log.Event("quarantine changes", eventlog.Fields{"term": c.term, "before": before, "after": after})
	c.proposeForTerm(ctx, "quarantine not changed", confstate.SetQuarantine(after), func() {
		c.quarantine.proposing = false
	})
}

// keepEvidence proposes the detector's evidence if it has changed, for the leaders to come.
func (c *Controller) keepEvidence(ctx context.Context, now time.Duration) {
	p := &c.quarantine
	if p.proposingEvidence || now < p.evidenceAt {
		return
	}
	evidence := p.detector.Evidence()
	if quarantine.EqualEvidence(evidence, c.stateMachine.evidence()) {
		return
	}
	p.proposingEvidence, p.evidenceAt = true, now+evidenceInterval
	c.log.Event("evidence changes", eventlog.Fields{"term": c.term, "evidence": evidence})
	c.proposeForTerm(ctx, "evidence not changed", confstate.SetEvidence(evidence), func() {
		c.quarantine.proposingEvidence = false
	})
}

// proposeForTerm proposes a command without waiting for it. If that fails, it logs failure. ended
// runs on the loop afterwards, unless the term has ended.
func (c *Controller) proposeForTerm(ctx context.Context, failure string, command confstate.Command, ended func()) {
	term := c.term
	go func() {
		ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
		defer cancel()
		if _, err := c.propose(ctx, command); err != nil {
			c.log.Event(failure, eventlog.Fields{"term": term, "error": err.Error()})
		}
		c.loop.Post(func() {
			if c.term == term {
				ended()
			}
		})
	}()
}

// quarantineSince returns the published state if an entry node with the given revision lacks it,
// otherwise nil. A node that was told by another leader lacks it whatever its revision is.
func (c *Controller) quarantineSince(revision uint64, newTerm bool) *nodelink.QuarantineState {
	if !newTerm && revision == c.quarantine.published.Revision {
		return nil
	}
	published := c.quarantine.published
	return &published
}
