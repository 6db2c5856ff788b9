package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
)

// TestServedSuspectsAreReportedOnce checks which parts this node clears: those that the leader
// asks about, that calls were served with lately, and that it has not cleared since.
func TestServedSuspectsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	p := NewReporter()
	first, other := Trait{Service: "s", ID: "first"}, Trait{Service: "s", ID: "other"}
	at := 100 * time.Second
	is.True(!p.RecordServed("s", []string{"first"}, at)) // nobody asks yet
	p.suspects = []Trait{first, other}
	served := p.ServedSuspects(at + time.Second)
	is.Equal(served, map[Trait]time.Duration{first: at})
	p.Confirm(1, 0, served, at)
	is.Equal(len(p.ServedSuspects(at+time.Second)), 0)
	is.True(p.RecordServed("s", []string{"first"}, at+2*time.Second)) // served again
	is.Equal(len(p.ServedSuspects(at+2*time.Second)), 1)
	is.Equal(len(p.ServedSuspects(at+2*time.Second+2*servedTTL+1)), 0) // too long ago
	is.True(!p.RecordServed("other service", []string{"other"}, at+30*time.Second))
}

// TestEvidenceIsBounded has a node without a leader lose calls and serve ever other prompts.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	p := NewReporter()
	for i := range 3 * maxUnreportedLosses {
		p.RecordLoss(Loss{Service: "s", Traits: []string{fmt.Sprint(i)}})
	}
	is.Equal(len(p.losses), maxUnreportedLosses)
	is.Equal(p.losses[0].Traits[0], fmt.Sprint(2*maxUnreportedLosses)) // the latest are kept
	// Losses that come while a report is under way are kept, also if earlier ones yielded to them.
	_, until := p.Losses()
	p.RecordLoss(Loss{Service: "s", Traits: []string{"later"}})
	p.Confirm(1, until, nil, 0)
	later, _ := p.Losses()
	is.Equal(len(later), 1)
	is.Equal(later[0].Traits[0], "later")
	for i := range 100 {
		p.RecordServed("s", []string{fmt.Sprint(i)}, time.Duration(i)*time.Second)
	}
	is.True(len(p.served)+len(p.servedBefore) <= 3*int(servedTTL/time.Second))
}

// TestNextLeaderLearnsOfLosses replaces a leader that was cut off from the others after it had received the
// losses of two nodes, and that could not pass them on. The next one must know the request after them.
func TestNextLeaderLearnsOfLosses(t *testing.T) {
	is := is.New(t)
	first, other := NewReporter(), NewReporter()
	request := RequestID("deadly")
	lose := func(r *Reporter, id string) {
		r.RecordLoss(Loss{Engine: fleet.Incarnation{ID: id}, Service: "s", Traits: []string{request}})
	}
	// That a leader is new shows with its answer to the first report.
	report := func(r *Reporter, d *Detector, term uint64, now time.Duration, wantAgain bool) {
		losses, until := r.Losses()
		for _, l := range losses {
			d.Lost(l, nil, now)
		}
		is.Equal(r.Confirm(term, until, nil, now), wantAgain)
	}
	at := time.Second
	lose(&first, "a")
	lose(&other, "b")
	cutOff := New(nil, at)
	report(&first, cutOff, 1, at, false)
	report(&other, cutOff, 1, at, false)
	next := New(nil, 2*at)
	lose(&first, "c")
	for _, wantAgain := range []bool{true, false} {
		report(&first, next, 2, 2*at, wantAgain)
		report(&other, next, 2, 2*at, wantAgain)
	}
	is.Equal(next.Decide(nil, 3*at), []Signature{{Service: "s", Traits: []string{request}}})
	// Much later, they say nothing of what lies so far back.
	report(&first, New(nil, 0), 3, 2*at+confirmedTTL+1, false)
}
