package quarantine

import (
	"slices"
	"time"
)

// requestTrials and partTrials are the times from the start of a quarantine to the first trial, and
// from each trial to the next. A restart of an upstream takes some seconds. No request may
// crash more than three upstreams on trial. Parts of prompts are quarantined on better evidence,
// so that the first trial can wait.
var (
	requestTrials = []time.Duration{2 * time.Second, 20 * time.Second, 200 * time.Second}
	partTrials    = []time.Duration{20 * time.Second, 200 * time.Second}
)

func (s *Signature) trialDelays() []time.Duration {
	if slices.ContainsFunc(s.Traits, IsRequest) {
		return requestTrials
	}
	return partTrials
}

// RetryAfter is when a caller whose call is refused should try again.
func (s *Signature) RetryAfter() time.Duration {
	delays := s.trialDelays()
	return delays[min(s.Trials, len(delays)-1)]
}

// term is what a detector knows of a signature in quarantine beside the signature itself.
type term struct {
	// from is when the detector first saw it.
	from time.Duration
	// trialAt is when the next trial is due.
	trialAt time.Duration
	// proposed is the latest trial that this detector decided on; zero if there is none. It is
	// open from when it is in force until a node takes it.
	proposed int
	taken    bool
}

// newTerm returns the term of a signature that the detector sees for the first time at now.
func newTerm(s *Signature, now time.Duration) *term {
	t := &term{from: now}
	t.trialAt = now + s.RetryAfter()
	return t
}

// trialDue reports whether another trial should be decided on.
func (t *term) trialDue(s *Signature, now time.Duration) bool {
	return s.Trials < len(s.trialDelays()) && now >= t.trialAt && (t.proposed == 0 || t.taken)
}

// open reports whether a node may take a trial.
func (t *term) open(s *Signature) bool { return t.proposed > 0 && s.Trials == t.proposed && !t.taken }

// OpenTrials returns the signatures in force of which one call may be sent.
func (d *Detector) OpenTrials(inForce []Signature) []Signature {
	var open []Signature
	for i := range inForce {
		if t := d.terms[inForce[i].Key()]; t != nil && t.open(&inForce[i]) {
			open = append(open, inForce[i])
		}
	}
	return open
}

// TakeTrial reports whether a node that asks may send one call with the signature. Nobody else
// may from then on, until the next trial.
func (d *Detector) TakeTrial(wanted Signature, inForce []Signature, now time.Duration) bool {
	for i := range inForce {
		s := &inForce[i]
		if s.Key() != wanted.Key() {
			continue
		}
		t := d.terms[s.Key()]
		if t == nil || !t.open(s) {
			return false
		}
		t.taken = true
		t.trialAt = now + s.RetryAfter()
		return true
	}
	return false
}
