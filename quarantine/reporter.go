package quarantine

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

const (
	// servedTTL is how long, at least, a trait is remembered as served.
	servedTTL = 5 * time.Second
	// maxServed bounds the traits that are remembered as served within servedTTL; without
	// room for more, only suspects are added.
	maxServed = 16384
	// maxUnreportedLosses bounds the losses that wait for a leader: the calls of a few engines.
	maxUnreportedLosses = 256
	// confirmedTTL is how long a loss is kept for the next leader: a node also remembers as
	// long, at most, that calls with its traits were served.
	confirmedTTL = 2 * servedTTL
)

// Reporter is what one node knows of the calls that crash upstreams and of those that do not,
// between its reports to the leader. NewReporter returns an empty one.
type Reporter struct {
	// losses are the latest lost calls of which the leader does not know yet; recorded counts
	// all lost calls.
	losses   []Loss
	recorded uint64
	// confirmed are the latest losses that a leader has received. The next leader may not
	// know of them.
	confirmed []confirmedLoss
	// term is that of the leader that received the latest report; zero before the first.
	term uint64
	// suspects are the traits that the leader asks about.
	suspects []Trait
	// served and servedBefore hold when calls were last served with a trait; servedBefore has
	// those from before rotatedAt.
	served, servedBefore map[Trait]time.Duration
	rotatedAt            time.Duration
	// reported holds the times of served that the leader has received.
	reported map[Trait]time.Duration
	// doubted holds the upstreams that the leader asks about, and since when.
	doubted map[fleet.Incarnation]time.Duration
}

// confirmedLoss is a loss and when a leader received it.
type confirmedLoss struct {
	Loss
	at time.Duration
}

// NewReporter returns a reporter that knows nothing.
func NewReporter() Reporter {
	return Reporter{served: map[Trait]time.Duration{}, reported: map[Trait]time.Duration{}}
}

// RecordLoss records a call that was lost with its upstream.
func (r *Reporter) RecordLoss(l Loss) {
	r.recorded++
	r.losses = append(r.losses, l)
	r.losses = r.losses[max(0, len(r.losses)-maxUnreportedLosses):]
}

// RecordServed records that a call with the given traits was served, and reports whether the
// leader asks about one of them.
func (r *Reporter) RecordServed(service string, traits []string, now time.Duration) (asked bool) {
	if now-r.rotatedAt > servedTTL {
		r.served, r.servedBefore, r.rotatedAt = map[Trait]time.Duration{}, r.served, now
	}
	for _, id := range traits {
		trait := Trait{Service: service, ID: id}
		isAsked := slices.Contains(r.suspects, trait)
		if _, known := r.served[trait]; known || isAsked || len(r.served) < maxServed {
			r.served[trait] = now
		}
		asked = asked || isAsked
	}
	return asked
}

// ServedSuspects returns the suspects that were served lately and since the latest report, and
// when.
func (r *Reporter) ServedSuspects(now time.Duration) map[Trait]time.Duration {
	found := map[Trait]time.Duration{}
	for _, trait := range r.suspects {
		at, ok := r.served[trait]
		if !ok {
			at, ok = r.servedBefore[trait]
		}
		if ok && now-at <= 2*servedTTL && at > r.reported[trait] {
			found[trait] = at
		}
	}
	return found
}

// Confirm records that the leader of a term has received the losses up to a number that Losses
// returned, and served suspects. It reports whether there are losses to report once more,
// because the leader is a new one.
func (r *Reporter) Confirm(term, until uint64, served map[Trait]time.Duration, now time.Duration) (again bool) {
	if term != r.term {
		r.term = term
		again = r.repeatConfirmed(now)
	}
	confirmed := max(0, len(r.losses)-int(r.recorded-until))
	for _, l := range r.losses[:confirmed] {
		r.confirmed = append(r.confirmed, confirmedLoss{l, now})
	}
	r.confirmed = r.confirmed[max(0, len(r.confirmed)-maxUnreportedLosses):]
	r.losses = r.losses[confirmed:]
	for trait, at := range served {
		r.reported[trait] = at
	}
	return again
}

// SetAsked sets the suspects and the upstreams that the leader asks about.
func (r *Reporter) SetAsked(suspects []Trait, doubted []fleet.Incarnation, now time.Duration) {
	r.suspects = suspects
	for trait := range r.reported {
		if !slices.Contains(suspects, trait) {
			delete(r.reported, trait)
		}
	}
	before := r.doubted
	r.doubted = map[fleet.Incarnation]time.Duration{}
	for _, u := range doubted {
		since, ok := before[u]
		if !ok {
			since = now
		}
		r.doubted[u] = since
	}
}

// repeatConfirmed has the latest losses reported once more, to a leader that may not know of
// them. It reports whether there are any.
func (r *Reporter) repeatConfirmed(now time.Duration) bool {
	var again []Loss
	for _, l := range r.confirmed {
		if now-l.at <= confirmedTTL {
			again = append(again, l.Loss)
		}
	}
	r.confirmed = nil
	for _, l := range again {
		r.RecordLoss(l)
	}
	return len(again) > 0
}

// Losses returns a copy of the losses that the leader does not know of, and the number of the
// last one for Confirm.
func (r *Reporter) Losses() (losses []Loss, until uint64) { return slices.Clone(r.losses), r.recorded }

// Doubted returns the upstreams that the leader asks about, and since when. The map is the
// reporter's own.
func (r *Reporter) Doubted() map[fleet.Incarnation]time.Duration { return r.doubted }
