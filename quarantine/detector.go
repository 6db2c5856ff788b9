package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

const (
	// minCrashes is the number of crashed upstreams that put a trait in quarantine. Two calls
	// of one caller may be lost by chance on two upstreams.
	minCrashes = 3
	// settleTime is how long the entry nodes have to clear a trait that was present in
	// enough crashes.
	settleTime = 250 * time.Millisecond
	// clearedTTL is how long a cleared trait is no suspect, and how recently a trait of some
	// call for a service must have been cleared to show that its upstreams work at all.
	clearedTTL = 5 * time.Second
	// evidenceTTL is how long a crash counts against a trait.
	evidenceTTL = 10 * time.Minute
	// maxSuspects bounds the traits that are tracked. One crash ends up to a few hundred
	// calls with several traits each.
	maxSuspects = 1024
	// maxListed bounds the suspects and the upstreams that the entry nodes are asked about,
	// and the evidence that outlasts the leader.
	maxListed = 128
	// Duration is how long a signature stays in quarantine.
	Duration = time.Hour
	// maxSignatures bounds the signatures in quarantine.
	maxSignatures = 128
)

// suspect is the evidence against a trait.
type suspect struct {
	// crashes holds when a call with the trait was last lost on each crashed upstream.
	crashes map[fleet.Incarnation]time.Duration
	// companions are the parts of prompts that were present in all of these calls, sorted.
	companions []string
	// enoughAt is when the crashes first were enough for a quarantine; zero until then.
	enoughAt time.Duration
	lastAt   time.Duration
	// late is set if a crash became known late.
	late bool
}

// Detector collects the evidence of all entry nodes. The zero value is not usable; New
// returns an empty one.
type Detector struct {
	suspects map[Trait]*suspect
	// cleared holds when a trait was last cleared, and soundAt, by service, when any was.
	cleared map[Trait]time.Duration
	soundAt map[string]time.Duration
	// explained holds the crashes whose cause is known, and when it became known.
	explained map[fleet.Incarnation]time.Duration
	// terms holds what is known of each signature in quarantine, by its key.
	terms map[string]*term
}

// New returns a detector that goes on with the evidence of an earlier one.
func New(evidence []Evidence, now time.Duration) *Detector {
	d := &Detector{
		suspects: map[Trait]*suspect{}, cleared: map[Trait]time.Duration{}, soundAt: map[string]time.Duration{},
		explained: map[fleet.Incarnation]time.Duration{}, terms: map[string]*term{},
	}
	for _, e := range evidence {
		for _, engine := range e.Crashes {
			d.addEvidence(e.Trait, Loss{Engine: engine, Service: e.Trait.Service, Traits: e.Companions}, now)
		}
	}
	return d
}

// Lost records the loss of a call. inForce is what is in quarantine: such a call, sent
// before that, explains the crash of its upstream, which no longer counts against other traits.
func (d *Detector) Lost(l Loss, inForce []Signature, now time.Duration) {
	if slices.ContainsFunc(inForce, func(s Signature) bool { return s.Matches(l.Service, l.Traits) }) {
		d.explain(l.Engine, now)
		return
	}
	if _, ok := d.explained[l.Engine]; ok {
		return
	}
	for _, id := range l.Traits {
		trait := Trait{l.Service, id}
		if at, ok := d.cleared[trait]; ok && now-at < clearedTTL {
			continue
		}
		d.addEvidence(trait, l, now)
	}
	d.limitSuspects()
}

// addEvidence adds the loss of a call to the evidence against one of its traits.
func (d *Detector) addEvidence(trait Trait, l Loss, now time.Duration) {
	s := d.suspects[trait]
	if s == nil {
		s = &suspect{crashes: map[fleet.Incarnation]time.Duration{}}
		s.companions = slices.DeleteFunc(slices.Sorted(slices.Values(l.Traits)), IsRequest)
		d.suspects[trait] = s
	}
	s.companions = slices.DeleteFunc(s.companions, func(id string) bool { return !slices.Contains(l.Traits, id) })
	maps.DeleteFunc(s.crashes, func(_ fleet.Incarnation, at time.Duration) bool { return now-at > evidenceTTL })
	s.crashes[l.Engine], s.lastAt, s.late = now, now, s.late || l.Late
	switch {
	case len(s.crashes) < minCrashes:
		s.enoughAt = 0
	case s.enoughAt == 0:
		s.enoughAt = now
	}
}

// explain drops a crash from the evidence, because its cause is known.
func (d *Detector) explain(e fleet.Incarnation, now time.Duration) {
	maps.DeleteFunc(d.explained, func(_ fleet.Incarnation, at time.Duration) bool { return now-at > evidenceTTL })
	d.explained[e] = now
	d.dropCrash(e, func(Trait) bool { return true })
}

// dropCrash removes the crash of an upstream from the evidence against the chosen traits.
func (d *Detector) dropCrash(e fleet.Incarnation, chosen func(Trait) bool) {
	for trait, s := range d.suspects {
		if _, ok := s.crashes[e]; !ok || !chosen(trait) {
			continue
		}
		delete(s.crashes, e)
		if len(s.crashes) < minCrashes {
			s.enoughAt = 0
		}
		if len(s.crashes) == 0 {
			delete(d.suspects, trait)
		}
	}
}

// Alive drops the crashes of upstreams that have sent bytes since a call on them was lost: the
// answer was lost on its way, or the upstream broke it off.
func (d *Detector) Alive(engines []fleet.Incarnation) {
	for _, e := range engines {
		d.dropCrash(e, func(Trait) bool { return true })
	}
}

// limitSuspects drops the suspects with the least evidence beyond maxSuspects.
func (d *Detector) limitSuspects() {
	if len(d.suspects) <= maxSuspects {
		return
	}
	// A tenth more is dropped than needed, so that this is done for a few calls only.
	for _, trait := range d.byEvidence(slices.Collect(maps.Keys(d.suspects)))[maxSuspects*9/10:] {
		delete(d.suspects, trait)
	}
}

// byEvidence sorts suspects: those with the most crashes first, and of equal ones the latest.
func (d *Detector) byEvidence(traits []Trait) []Trait {
	slices.SortFunc(traits, func(a, b Trait) int {
		x, y := d.suspects[a], d.suspects[b]
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(y.lastAt, x.lastAt), compareTrait(a, b))
	})
	return traits
}

// Served clears the traits of calls that an entry node has seen answered.
func (d *Detector) Served(traits []Trait, now time.Duration) {
	for _, trait := range traits {
		delete(d.suspects, trait)
		d.cleared[trait], d.soundAt[trait.Service] = now, now
	}
	maps.DeleteFunc(d.cleared, func(_ Trait, at time.Duration) bool { return now-at > clearedTTL })
}

// minSuspectCrashes is the number of crashes from which on the entry nodes are asked to clear
// a trait: early enough before minCrashes, and not for each call that is lost by itself.
const minSuspectCrashes = minCrashes - 1

// listed returns the suspects with several crashes against them, sorted, at most those with the
// most evidence.
func (d *Detector) listed() []Trait {
	var traits []Trait
	for trait, s := range d.suspects {
		if len(s.crashes) >= minSuspectCrashes {
			traits = append(traits, trait)
		}
	}
	traits = d.byEvidence(traits)
	traits = traits[:min(len(traits), maxListed)]
	slices.SortFunc(traits, compareTrait)
	return traits
}

// Suspects returns the traits that the entry nodes are asked to clear, sorted: those with
// several crashes against them and those in quarantine.
func (d *Detector) Suspects(inForce []Signature) []Trait {
	traits := d.listed()
	for _, s := range inForce {
		for _, id := range s.Traits {
			traits = append(traits, Trait{s.Service, id})
		}
	}
	slices.SortFunc(traits, compareTrait)
	return slices.Compact(traits)
}

// Doubted returns the upstreams whose crashes count against the suspects, sorted. The entry
// nodes are asked whether they still send bytes.
func (d *Detector) Doubted() []fleet.Incarnation {
	var engines []fleet.Incarnation
	for _, trait := range d.listed() {
		engines = slices.AppendSeq(engines, maps.Keys(d.suspects[trait].crashes))
	}
	slices.SortFunc(engines, compareEngine)
	engines = slices.Compact(engines)
	return engines[:min(len(engines), maxListed)]
}

// Evidence returns what a detector of another leader needs to go on.
func (d *Detector) Evidence() []Evidence {
	var evidence []Evidence
	for _, trait := range d.listed() {
		s := d.suspects[trait]
		crashes := slices.SortedFunc(maps.Keys(s.crashes), compareEngine)
		evidence = append(evidence, Evidence{Trait: trait, Crashes: crashes, Companions: slices.Clone(s.companions)})
	}
	return evidence
}

// Decide returns what shall be in quarantine from now on: the signatures in force without
// those that have been there for too long and without the traits that were cleared, with the
// trials that are due, and the signatures of traits with enough evidence against them.
func (d *Detector) Decide(inForce []Signature, now time.Duration) []Signature {
	next := d.review(inForce, now)
	found := d.requestSignatures(now)
	for {
		s, ok := d.nextPartSignature(now)
		if !ok {
			break
		}
		found = append(found, s)
	}
	for _, s := range found {
		if !slices.ContainsFunc(next, func(o Signature) bool { return o.Key() == s.Key() }) {
			next = append(next, s)
		}
	}
	return limitSignatures(next)
}

// limitSignatures drops signatures beyond maxSignatures: the oldest of those that no trial has
// confirmed, then the oldest.
func limitSignatures(signatures []Signature) []Signature {
	for len(signatures) > maxSignatures {
		oldest := max(0, slices.IndexFunc(signatures, func(s Signature) bool { return s.Trials == 0 }))
		signatures = slices.Delete(signatures, oldest, oldest+1)
	}
	return signatures
}

// review returns the signatures that stay in quarantine.
func (d *Detector) review(inForce []Signature, now time.Duration) []Signature {
	var kept []Signature
	terms := map[string]*term{}
	for _, s := range inForce {
		t := d.terms[s.Key()]
		if t == nil {
			t = newTerm(&s, now)
		}
		s.Traits = slices.DeleteFunc(slices.Clone(s.Traits), func(id string) bool {
			at, ok := d.cleared[Trait{s.Service, id}]
			return ok && at >= t.from
		})
		if len(s.Traits) == 0 || now-t.from > Duration {
			continue
		}
		terms[s.Key()] = t
		if t.trialDue(&s, now) {
			s.Trials++
			t.proposed, t.taken = s.Trials, false
		}
		kept = append(kept, s)
	}
	d.terms = terms
	return kept
}

// requestSignatures returns the signatures of the requests with enough evidence against them, if
// the entry nodes had the time to clear one of them. A sound request that was lost with
// each of the crashed upstreams cannot be told from the one that crashed them: both are
// returned. The crashes then count against no part of a prompt.
func (d *Detector) requestSignatures(now time.Duration) []Signature {
	var enough []Trait
	settled := false
	for trait, s := range d.suspects {
		if IsRequest(trait.ID) && s.enoughAt != 0 {
			enough = append(enough, trait)
			settled = settled || now-s.enoughAt >= settleTime
		}
	}
	if !settled {
		return nil
	}
	slices.SortFunc(enough, compareTrait)
	var signatures []Signature
	for _, trait := range enough {
		signature := Signature{Service: trait.Service, Traits: []string{trait.ID}}
		if d.suspects[trait].late {
			// The calls that were sent until the crashes were known take the place of the first trial.
			signature.Trials = 1
		}
		signatures = append(signatures, signature)
		for engine := range d.suspects[trait].crashes {
			d.dropCrash(engine, func(t Trait) bool { return !IsRequest(t.ID) })
		}
		delete(d.suspects, trait)
	}
	return signatures
}

// nextPartSignature returns the signature of the part of prompts with the most crashes, if these
// are enough, the entry nodes had the time to clear it, and the service serves other calls.
// Its crashes are explained from then on.
func (d *Detector) nextPartSignature(now time.Duration) (Signature, bool) {
	var worst Trait
	var found *suspect
	for trait, s := range d.suspects {
		soundAt, sound := d.soundAt[trait.Service]
		if IsRequest(trait.ID) || s.enoughAt == 0 || now-s.enoughAt < settleTime || !sound || now-soundAt > clearedTTL {
			continue
		}
		if found == nil || len(s.crashes) > len(found.crashes) || len(s.crashes) == len(found.crashes) && compareTrait(trait, worst) < 0 {
			worst, found = trait, s
		}
	}
	if found == nil {
		return Signature{}, false
	}
	signature := Signature{Service: worst.Service}
	for _, id := range found.companions {
		if d.suspects[Trait{worst.Service, id}] != nil {
			signature.Traits = append(signature.Traits, id)
		}
	}
	for engine := range found.crashes {
		d.explain(engine, now)
	}
	delete(d.suspects, worst)
	return signature, true
}
