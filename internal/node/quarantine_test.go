package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/quarantine"
)

func crashingCall(customer, body string) *gateway.Call {
	return &gateway.Call{
		Contract: &contract.Contract{Customer: customer}, Service: "app", Method: "POST", Path: "/x", Body: []byte(body),
	}
}

// exchange sends a report of a node to the leader and applies the answer.
func exchange(w *crashWatch, j *crashJudge, now time.Duration) {
	w.apply(1, j.accept(w.report(now), now), now)
}

// convict reports the loss of a call with three upstreams and waits until it is in quarantine at the node.
func convict(w *crashWatch, j *crashJudge, c *gateway.Call, now time.Duration) {
	for i := range 3 {
		w.reporter.RecordLoss(quarantine.Loss{
			Engine: fleet.Incarnation{ID: fmt.Sprint("e", i), Born: 1}, Service: crashScope(c), Traits: crashTraits(c),
		})
	}
	exchange(w, j, now)
	exchange(w, j, now+time.Second)
}

// TestCrashingCallIsRefusedOnAllNodes lets one node lose a call with three upstreams. Another node refuses it,
// but neither other calls nor the same call of another customer.
func TestCrashingCallIsRefusedOnAllNodes(t *testing.T) {
	is := is.New(t)
	j := newCrashJudge(0)
	first, other := newCrashWatch(), newCrashWatch()
	convict(&first, &j, crashingCall("a", "deadly"), time.Second)
	exchange(&other, &j, 3*time.Second)
	for _, w := range []*crashWatch{&first, &other} {
		is.True(w.match(crashingCall("a", "deadly"), 3*time.Second) != nil)
		is.True(w.match(crashingCall("a", "sound"), 3*time.Second) == nil)
		is.True(w.match(crashingCall("b", "deadly"), 3*time.Second) == nil)
	}
}

// TestNewLeaderAdoptsQuarantine replaces the leader, whose successor learns from the nodes what is in
// quarantine and how many trials there were.
func TestNewLeaderAdoptsQuarantine(t *testing.T) {
	is := is.New(t)
	j := newCrashJudge(0)
	w := newCrashWatch()
	c := crashingCall("a", "deadly")
	convict(&w, &j, c, time.Second)
	w.inForce[0].Trials = 2
	next := newCrashJudge(10 * time.Second)
	restarted := newCrashWatch()
	exchange(&w, &next, 11*time.Second)
	exchange(&restarted, &next, 11*time.Second)
	is.True(restarted.match(c, 11*time.Second) != nil)
	is.Equal(restarted.inForce[0].Trials, 2)
	// A report that comes later does not bring back what has ended meanwhile.
	late := newCrashJudge(20 * time.Second)
	is.Equal(len(late.accept(&crashReport{InForce: w.inForce}, 30*time.Second).InForce), 0)
}

// TestOneNodeGetsTheTrial has two nodes ask for the trial of a call. One may send it once, and its
// answer ends the quarantine at both.
func TestOneNodeGetsTheTrial(t *testing.T) {
	is := is.New(t)
	j := newCrashJudge(0)
	first, other := newCrashWatch(), newCrashWatch()
	c := crashingCall("a", "sound after all")
	convict(&first, &j, c, time.Second)
	exchange(&first, &j, 3*time.Second)
	now := 10 * time.Second
	for _, w := range []*crashWatch{&first, &other} {
		exchange(w, &j, now)
		is.True(w.match(c, now) != nil) // asks for the trial with the next report
	}
	exchange(&other, &j, now)
	exchange(&first, &j, now)
	is.True(first.match(c, now) != nil)
	is.True(other.match(c, now) == nil)
	is.True(other.useTrial(c))
	is.True(other.match(c, now) != nil) // only once
	other.reporter.RecordServed(crashScope(c), crashTraits(c), now)
	exchange(&other, &j, now+time.Second)
	exchange(&first, &j, now+time.Second)
	is.True(first.match(c, now+time.Second) == nil)
	is.True(other.match(c, now+time.Second) == nil)
}

// TestEarlierBuildsExchangeNoCrashes has nodes that report nothing on crashes, and leaders that answer
// nothing.
func TestEarlierBuildsExchangeNoCrashes(t *testing.T) {
	is := is.New(t)
	j := newCrashJudge(0)
	is.True(j.accept(nil, time.Second) == nil)
}
