package edge

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/quarantine"
)

const (
	// servedTTL is how long, at least, a trait is remembered as served.
	servedTTL = 5 * time.Second
	// maxServed bounds the traits that are remembered as served within servedTTL; without
	// room for more, only suspects are added.
	maxServed = 16384
	// maxUnreportedLosses bounds the losses that wait for a leader: the calls of a few engines.
	maxUnreportedLosses = 256
)

// crashEvidence is what this node knows of the calls that crash upstreams and of those that do
// not. It is used on the loop only.
type crashEvidence struct {
	// losses are the lost calls of which the leader does not know yet.
	losses []quarantine.Loss
	// suspects are the traits that the leader asks about.
	suspects []quarantine.Trait
	// served and servedBefore hold when calls were last served with a trait; servedBefore has
	// those from before rotatedAt.
	served, servedBefore map[quarantine.Trait]time.Duration
	rotatedAt            time.Duration
	// reported holds the times of served that the leader has received.
	reported map[quarantine.Trait]time.Duration
	// doubted holds the upstreams that the leader asks about, and since when.
	doubted map[fleet.Incarnation]time.Duration
}

func newCrashEvidence() crashEvidence {
	return crashEvidence{served: map[quarantine.Trait]time.Duration{}, reported: map[quarantine.Trait]time.Duration{}}
}

// recordLoss records a call that was lost with its upstream.
func (p *crashEvidence) recordLoss(l quarantine.Loss) {
	p.losses = append(p.losses, l)
	p.losses = p.losses[max(0, len(p.losses)-maxUnreportedLosses):]
}

// recordServed records that a call with the given traits was served, and reports whether the
// leader asks about one of them.
func (p *crashEvidence) recordServed(service string, traits []string, now time.Duration) (asked bool) {
	if now-p.rotatedAt > servedTTL {
		p.served, p.servedBefore, p.rotatedAt = map[quarantine.Trait]time.Duration{}, p.served, now
	}
	for _, id := range traits {
		trait := quarantine.Trait{Service: service, ID: id}
		isAsked := slices.Contains(p.suspects, trait)
		if _, known := p.served[trait]; known || isAsked || len(p.served) < maxServed {
			p.served[trait] = now
		}
		asked = asked || isAsked
	}
	return asked
}

// servedSuspects returns the suspects that were served lately and since the latest report, and
// when.
func (p *crashEvidence) servedSuspects(now time.Duration) map[quarantine.Trait]time.Duration {
	found := map[quarantine.Trait]time.Duration{}
	for _, trait := range p.suspects {
		at, ok := p.served[trait]
		if !ok {
			at, ok = p.servedBefore[trait]
		}
		if ok && now-at <= 2*servedTTL && at > p.reported[trait] {
			found[trait] = at
		}
	}
	return found
}

// confirmReport records that the leader has received losses and served suspects.
func (p *crashEvidence) confirmReport(losses int, served map[quarantine.Trait]time.Duration) {
	p.losses = p.losses[min(losses, len(p.losses)):]
	for trait, at := range served {
		p.reported[trait] = at
	}
}

// setAsked sets the suspects and the upstreams that the leader asks about.
func (p *crashEvidence) setAsked(s *nodelink.QuarantineState, now time.Duration) {
	p.suspects = s.Suspects
	for trait := range p.reported {
		if !slices.Contains(s.Suspects, trait) {
			delete(p.reported, trait)
		}
	}
	before := p.doubted
	p.doubted = map[fleet.Incarnation]time.Duration{}
	for _, u := range s.Doubted {
		since, ok := before[u]
		if !ok {
			since = now
		}
		p.doubted[u] = since
	}
}
