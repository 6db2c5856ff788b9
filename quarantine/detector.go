package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

const (
	// minCrashes is the number of crashed engines that put a part in quarantine. Two calls of one
	// caller may be lost by chance on two engines.
	minCrashes = 3
	// settleTime is how long the entry nodes have to clear a part that was present in
	// enough crashes.
	settleTime = 250 * time.Millisecond
	// clearedTTL is how long a cleared part is no suspect, and how recently a part of some
	// call for a service must have been cleared to show that its engines work at all.
	clearedTTL = 5 * time.Second
	// evidenceTTL is how long a crash counts against a part.
	evidenceTTL = 10 * time.Minute
	// maxSuspects bounds the parts that are tracked; those with the oldest evidence yield.
	maxSuspects = 256
	// Duration is how long a signature stays in quarantine.
	Duration = 10 * time.Minute
	// MaxSignatures bounds the signatures in quarantine; the oldest ones yield.
	MaxSignatures = 32
)

// Trait identifies a part of the prompts for a service.
type Trait struct {
	Service string `json:"s"`
	ID      string `json:"p"`
}

// Signature identifies the calls for a service that have all of the given parts in their
// prompts. Traits is sorted and not empty.
type Signature struct {
	Service string   `json:"s"`
	Traits  []string `json:"p"`
}

// Matches reports whether a call for a service has all parts of the signature.
func (s *Signature) Matches(service string, parts []string) bool {
	if s.Service != service {
		return false
	}
	return !slices.ContainsFunc(s.Traits, func(id string) bool { return !slices.Contains(parts, id) })
}

// equal reports whether two signatures are the same.
func (s Signature) equal(o Signature) bool {
	return s.Service == o.Service && slices.Equal(s.Traits, o.Traits)
}

// Equal reports whether two lists hold the same signatures in the same order.
func Equal(a, b []Signature) bool {
	return slices.EqualFunc(a, b, func(x, y Signature) bool { return x.equal(y) })
}

// Loss is a call that was lost with its engine before its answer began.
type Loss struct {
	Engine  fleet.Incarnation `json:"e"`
	Service string            `json:"s"`
	Traits  []string          `json:"p"`
}

// suspect is the evidence against a part.
type suspect struct {
	// crashes holds when a call with the part was last lost on each crashed engine.
	crashes map[fleet.Incarnation]time.Duration
	// companions are the parts that were present in all of these calls, sorted.
	companions []string
	// enoughAt is when the crashes first were enough for a quarantine; zero until then.
	enoughAt time.Duration
	lastAt   time.Duration
}

// Detector collects the evidence of all entry nodes. The zero value is not usable; New
// returns an empty one.
type Detector struct {
	suspects map[Trait]*suspect
	// cleared holds when a part was last cleared, and soundAt, by service, when any was.
	cleared map[Trait]time.Duration
	soundAt map[string]time.Duration
	// explained holds the crashes whose cause is known, and when it became known.
	explained map[fleet.Incarnation]time.Duration
	// since holds when this detector first saw each signature in quarantine, by its key.
	since map[string]time.Duration
}

// New returns a detector without evidence.
func New() *Detector {
	return &Detector{
		suspects: map[Trait]*suspect{}, cleared: map[Trait]time.Duration{},
		soundAt: map[string]time.Duration{}, explained: map[fleet.Incarnation]time.Duration{}, since: map[string]time.Duration{},
	}
}

// Lost records the loss of a call. inForce is what is in quarantine: such a call, sent
// before that, explains the crash of its engine, which no longer counts against other parts.
func (d *Detector) Lost(l Loss, inForce []Signature, now time.Duration) {
	if slices.ContainsFunc(inForce, func(s Signature) bool { return s.Matches(l.Service, l.Traits) }) {
		d.explain(l.Engine, now)
		return
	}
	if _, ok := d.explained[l.Engine]; ok {
		return
	}
	for _, id := range l.Traits {
		part := Trait{l.Service, id}
		if at, ok := d.cleared[part]; ok && now-at < clearedTTL {
			continue
		}
		d.addEvidence(part, l, now)
	}
	d.limitSuspects()
}

// addEvidence adds the loss of a call to the evidence against one of its parts.
func (d *Detector) addEvidence(part Trait, l Loss, now time.Duration) {
	s := d.suspects[part]
	if s == nil {
		s = &suspect{crashes: map[fleet.Incarnation]time.Duration{}, companions: slices.Sorted(slices.Values(l.Traits))}
		d.suspects[part] = s
	}
	s.companions = slices.DeleteFunc(s.companions, func(id string) bool { return !slices.Contains(l.Traits, id) })
	maps.DeleteFunc(s.crashes, func(_ fleet.Incarnation, at time.Duration) bool { return now-at > evidenceTTL })
	s.crashes[l.Engine], s.lastAt = now, now
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
	d.dropCrash(e)
}

// dropCrash removes the crash of an engine from the evidence.
func (d *Detector) dropCrash(e fleet.Incarnation) {
	for part, s := range d.suspects {
		if _, ok := s.crashes[e]; !ok {
			continue
		}
		delete(s.crashes, e)
		if len(s.crashes) < minCrashes {
			s.enoughAt = 0
		}
		if len(s.crashes) == 0 {
			delete(d.suspects, part)
		}
	}
}

// Alive drops the crashes of engines that have sent bytes since a call on them was lost: the
// answer was lost on its way, or the engine broke it off.
func (d *Detector) Alive(engines []fleet.Incarnation) {
	for _, e := range engines {
		d.dropCrash(e)
	}
}

// limitSuspects drops the suspects with the oldest evidence beyond maxSuspects.
func (d *Detector) limitSuspects() {
	for len(d.suspects) > maxSuspects {
		var oldest Trait
		for part, s := range d.suspects {
			if o := d.suspects[oldest]; o == nil || s.lastAt < o.lastAt || s.lastAt == o.lastAt && compareTrait(part, oldest) < 0 {
				oldest = part
			}
		}
		delete(d.suspects, oldest)
	}
}

// Served clears the parts of calls that an entry node has seen answered.
func (d *Detector) Served(parts []Trait, now time.Duration) {
	for _, part := range parts {
		delete(d.suspects, part)
		d.cleared[part], d.soundAt[part.Service] = now, now
	}
	maps.DeleteFunc(d.cleared, func(_ Trait, at time.Duration) bool { return now-at > clearedTTL })
}

// minSuspectCrashes is the number of crashes from which on the entry nodes are asked to clear
// a part: early enough before minCrashes, and not for each call that is lost by itself.
const minSuspectCrashes = minCrashes - 1

// Suspects returns the parts that the entry nodes are asked to clear, sorted: those with
// several crashes against them and those in quarantine.
func (d *Detector) Suspects(inForce []Signature) []Trait {
	var parts []Trait
	for part, s := range d.suspects {
		if len(s.crashes) >= minSuspectCrashes {
			parts = append(parts, part)
		}
	}
	for _, s := range inForce {
		for _, id := range s.Traits {
			parts = append(parts, Trait{s.Service, id})
		}
	}
	slices.SortFunc(parts, compareTrait)
	return slices.Compact(parts)
}

// Doubted returns the engines whose crashes count against the suspects, sorted. The entry
// nodes are asked whether they still send bytes.
func (d *Detector) Doubted() []fleet.Incarnation {
	var engines []fleet.Incarnation
	for _, s := range d.suspects {
		if len(s.crashes) >= minSuspectCrashes {
			engines = slices.AppendSeq(engines, maps.Keys(s.crashes))
		}
	}
	slices.SortFunc(engines, func(a, b fleet.Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
	return slices.Compact(engines)
}

func compareTrait(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}

// Decide returns what shall be in quarantine from now on: the signatures in force without
// those that have been there for Duration and without the parts that were cleared, and the
// signatures of parts with enough evidence against them.
func (d *Detector) Decide(inForce []Signature, now time.Duration) []Signature {
	next := d.review(inForce, now)
	for {
		s, ok := d.nextSignature(now)
		if !ok {
			break
		}
		next = append(next, s)
	}
	return next[max(0, len(next)-MaxSignatures):]
}

// review returns the signatures that stay in quarantine.
func (d *Detector) review(inForce []Signature, now time.Duration) []Signature {
	var kept []Signature
	since := map[string]time.Duration{}
	for _, s := range inForce {
		key := s.key()
		from, known := d.since[key]
		if !known {
			from = now
		}
		s.Traits = slices.DeleteFunc(slices.Clone(s.Traits), func(id string) bool {
			at, ok := d.cleared[Trait{s.Service, id}]
			return ok && at >= from
		})
		if len(s.Traits) == 0 || now-from > Duration {
			continue
		}
		since[s.key()] = from
		kept = append(kept, s)
	}
	d.since = since
	return kept
}

// key returns a string that identifies the signature.
func (s *Signature) key() string {
	key := s.Service
	for _, id := range s.Traits {
		key += "\x00" + id
	}
	return key
}

// nextSignature returns the signature of the part with the most crashes, if these are enough, the
// entry nodes had the time to clear it, and the service serves other calls. Its crashes are
// explained from then on.
func (d *Detector) nextSignature(now time.Duration) (Signature, bool) {
	var worst Trait
	var found *suspect
	for part, s := range d.suspects {
		soundAt, sound := d.soundAt[part.Service]
		if s.enoughAt == 0 || now-s.enoughAt < settleTime || !sound || now-soundAt > clearedTTL {
			continue
		}
		if found == nil || len(s.crashes) > len(found.crashes) || len(s.crashes) == len(found.crashes) && compareTrait(part, worst) < 0 {
			worst, found = part, s
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
