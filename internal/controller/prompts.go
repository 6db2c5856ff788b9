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

// quarantineTimeout bounds the proposal of a changed quarantine.
const quarantineTimeout = 2 * time.Second

// promptWatch is the leader's knowledge of prompts that crash engines. It is accessed only on
// the controller's loop, and begins anew in each term.
type promptWatch struct {
	detector *quarantine.Detector
	// published is the state for the entry nodes.
	published nodelink.PromptState
	// wanted is a decided quarantine that is not in force yet, if undecided is not set.
	wanted    []quarantine.Signature
	undecided bool
	// proposing is set while a changed quarantine is being proposed.
	proposing bool
}

func newPromptWatch() promptWatch { return promptWatch{detector: quarantine.New(), undecided: true} }

// recordPromptEvidence passes an entry node's evidence to the detector.
func (c *Controller) recordPromptEvidence(from string, r *nodelink.DemandRequest, now time.Duration) {
	inForce := c.stateMachine.quarantine()
	for _, l := range r.Losses {
		c.prompts.detector.Lost(l, inForce, now)
		c.log.Event("call lost with its engine", eventlog.Fields{
			"upstream": l.Engine.ID, "born": l.Engine.Born, "service": l.Service, "parts": l.Traits, "toldBy": from,
		})
	}
	c.prompts.detector.Served(r.Served, now)
	c.prompts.detector.Alive(r.Alive)
}

// reviewPrompts proposes a changed quarantine if the evidence demands one, and publishes what
// the entry nodes need to know.
func (c *Controller) reviewPrompts(ctx context.Context, now time.Duration) {
	p := &c.prompts
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
	suspects, doubted := p.detector.Suspects(inForce), p.detector.Doubted()
	if quarantine.Equal(inForce, p.published.InForce) && slices.Equal(suspects, p.published.Suspects) &&
		slices.Equal(doubted, p.published.Doubted) {
		return
	}
	p.published = nodelink.PromptState{
		Revision: p.published.Revision + 1, InForce: inForce, Suspects: suspects, Doubted: doubted,
	}
	c.notifier.notify()
}

// proposeQuarantine proposes the signatures that shall be in quarantine.
func (c *Controller) proposeQuarantine(ctx context.Context, before, after []quarantine.Signature) {
	c.prompts.proposing = true
	term := c.term
	c.metrics.Count("quarantine changed")
	c.log.Event("quarantine changes", eventlog.Fields{"term": term, "before": before, "after": after})
	go func() {
		ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
		defer cancel()
		_, err := c.propose(ctx, confstate.Command{Quarantine: &after})
		if err != nil {
			c.log.Event("quarantine not changed", eventlog.Fields{"term": term, "error": err.Error()})
		}
		c.loop.Post(func() {
			if c.term == term {
				c.prompts.proposing = false
			}
		})
	}()
}

// promptsSince returns the published state if an entry node with the given revision lacks it,
// otherwise nil. A node that was told by another leader lacks it whatever its revision is.
func (c *Controller) promptsSince(revision uint64, newTerm bool) *nodelink.PromptState {
	if !newTerm && revision == c.prompts.published.Revision {
		return nil
	}
	published := c.prompts.published
	return &published
}
