package currency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// bound is the time after which a withdrawn right must not be used; watchWait and timeout are those of a node
	// that asks a leader.
	bound     = 5 * time.Second
	watchWait = time.Second
	timeout   = watchWait + 700*time.Millisecond
	// election is how long no leader answers after one was lost.
	election = time.Second
)

// fault is one kind of trouble from a time on, for some time.
type fault struct {
	kind         string
	start, lasts time.Duration
}

var faultKinds = []string{"cut", "answers lost", "node frozen", "node restarted", "leader frozen", "new leader applies slowly"}

func (f fault) covers(t time.Duration) bool { return t >= f.start && t < f.start+f.lasts }

// answer is the word of a leader on its way to the node.
type answer struct {
	askedAt, arrives time.Duration
	current          uint64
}

// world is one node that asks leaders for proofs, in virtual time. Version 2 withdraws a right that version 1 has.
type world struct {
	step     time.Duration
	hold     time.Duration
	faults   []fault
	withdraw time.Duration
	// rate is the speed of the node's clock.
	rate float64

	tracker  Tracker
	applied  uint64
	waiting  bool
	askedAt  time.Duration
	inFlight []answer
}

func (w *world) clock(t time.Duration) time.Duration { return time.Duration(float64(t) * w.rate) }

func (w *world) during(kind string, t time.Duration) bool {
	for _, f := range w.faults {
		if f.kind == kind && f.covers(t) {
			return true
		}
	}
	return false
}

// mayUse reports whether the node uses the right at time t.
func (w *world) mayUse(t time.Duration) bool {
	age, ok := w.tracker.Age(w.clock(t), w.applied)
	return ok && age <= Validity(bound) && w.applied == 1
}

// stateOf returns what a leader knows at time t: the version in force, and whether it may say that it is current.
func (w *world) stateOf(t time.Duration) (version uint64, current, answers bool) {
	version = 1
	if t >= w.withdraw {
		version = 2
	}
	for _, f := range w.faults {
		if f.kind == "leader frozen" && f.covers(t) && t < f.start+election {
			return 0, false, false
		}
		if f.kind == "new leader applies slowly" && t >= f.start {
			if t < f.start+election {
				return 0, false, false
			}
			if t < f.start+election+f.lasts {
				return 1, false, true // what was acknowledged before may not be applied yet
			}
		}
	}
	return version, true, true
}

// ask sends a request at time t. The leader checks its lease at once, and answers at once if it has news.
func (w *world) ask(t time.Duration) {
	w.waiting, w.askedAt = true, t
	version, current, answers := w.stateOf(t)
	if !answers || w.during("cut", t) {
		return
	}
	a := answer{askedAt: t, arrives: t + w.step}
	if current {
		a.current = version
	}
	if version <= w.applied {
		a.arrives = t + w.hold
	}
	for _, f := range w.faults {
		// A leader that freezes between the check and the answer answers once it goes on.
		if f.kind == "leader frozen" && a.arrives >= f.start && t < f.start {
			a.arrives = max(a.arrives, f.start+f.lasts)
		}
	}
	w.inFlight = append(w.inFlight, a)
}

// advance lets the node act at time t.
func (w *world) advance(t time.Duration) {
	if w.during("node frozen", t) {
		return
	}
	if w.during("node restarted", t) {
		w.tracker, w.applied, w.waiting, w.inFlight = Tracker{}, 0, false, nil
		return
	}
	kept := w.inFlight[:0]
	for _, a := range w.inFlight {
		if a.arrives > t {
			kept = append(kept, a)
			continue
		}
		if w.during("cut", t) || w.during("answers lost", t) {
			continue
		}
		if a.current > 0 {
			w.tracker.Add(w.clock(a.askedAt), a.current)
			w.applied = max(w.applied, a.current)
		}
		w.waiting = w.waiting && a.askedAt != w.askedAt
	}
	w.inFlight = kept
	if !w.waiting || t-w.askedAt >= timeout {
		w.ask(t)
	}
}

// TestWithdrawnRightsAreNotUsedLater brings about all pairs of faults at all steps around the withdrawal of a right.
// No node may use the right later than the bound after the acknowledgement. The node's clock is as slow as is tolerated.
func TestWithdrawnRightsAreNotUsedLater(t *testing.T) {
	const step, end = 250 * time.Millisecond, 20 * time.Second
	var faults []fault
	for _, kind := range faultKinds {
		for start := 2 * time.Second; start < 5*time.Second; start += step {
			for _, lasts := range []time.Duration{step, 2 * time.Second, 7 * time.Second} {
				faults = append(faults, fault{kind, start, lasts})
			}
		}
	}
	used := 0
	for i, first := range faults {
		for _, second := range faults[i:] {
			// Just after the node may have asked.
			for withdraw := 3*time.Second + time.Millisecond; withdraw <= 6*time.Second; withdraw += time.Second {
				late := withdraw + bound + time.Millisecond
				w := &world{
					step: step, hold: Hold(bound, watchWait), withdraw: withdraw, rate: 1 - 1.0/64,
					faults: []fault{first, second},
				}
				for now := time.Duration(0); now < end; now += step {
					if w.mayUse(now) && now > withdraw {
						used++
					}
					if now >= late && (w.mayUse(late) || w.mayUse(now)) {
						t.Fatalf("used later than %v after the withdrawal at %v: %+v", bound, withdraw, w.faults)
					}
					w.advance(now)
				}
				if !w.mayUse(end) && w.applied != 2 {
					t.Fatalf("version 2 is not in force at the end: %+v", w.faults)
				}
			}
		}
	}
	is.New(t).True(used > 0) // the faults delay the change
}

// TestProofOutlastsLossOfLeader cuts a node off at any time. Until then it has a proof at all times, and for three
// fifths of the bound after.
func TestProofOutlastsLossOfLeader(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, rate := range []float64{1, 1 + 1.0/128} {
		for cut := 4 * time.Second; cut < 7*time.Second; cut += step {
			w := &world{
				step: 2 * step, hold: Hold(bound, watchWait), withdraw: time.Hour, rate: rate,
				faults: []fault{{"cut", cut, time.Hour}},
			}
			for now := time.Duration(0); now <= cut+bound*3/5; now += step {
				w.advance(now)
				if now > 100*time.Millisecond && !w.mayUse(now) {
					t.Fatalf("no proof at %v, cut off at %v", now, cut)
				}
			}
		}
	}
}

// TestUnappliedChangesProveNothing guards against a proof by the word of a leader on changes that the node could not
// apply.
func TestUnappliedChangesProveNothing(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	_, ok := tracker.Age(time.Second, 9)
	is.True(!ok)
	tracker.Add(time.Second, 7)
	_, ok = tracker.Age(2*time.Second, 6)
	is.True(!ok)
	age, ok := tracker.Age(4*time.Second, 7)
	is.True(ok)
	is.Equal(age, 3*time.Second)
	tracker.Add(500*time.Millisecond, 7) // a late answer to an earlier request
	age, _ = tracker.Age(4*time.Second, 7)
	is.Equal(age, 3*time.Second)
}

func TestHoldSuitsBound(t *testing.T) {
	for _, b := range []time.Duration{200 * time.Millisecond, 2 * time.Second, bound, time.Minute} {
		t.Run(fmt.Sprint(b), func(t *testing.T) {
			is := is.New(t)
			hold := Hold(b, watchWait)
			is.True(hold >= minHold && hold <= watchWait)
			is.True(Validity(b) < b)
		})
	}
}
